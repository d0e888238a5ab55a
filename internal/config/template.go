package config

import (
	"regexp"
	"slices"
	"strings"
)

// keyVariable is the variable of a path template that matches the key.
const keyVariable = "{key}"

// reservedPrefix is the first segment of the paths that laburnummux and backend
// servers use between them, so that no service may use it.
const reservedPrefix = "laburnummux"

const pathRule = "a path of segments that are literals or variables such as {key}, of which the first is a literal other than " + reservedPrefix

var (
	literalSegment  = regexp.MustCompile(`^[A-Za-z0-9_~-][A-Za-z0-9_~.-]*$`)
	variableSegment = regexp.MustCompile(`^\{[a-z][A-Za-z0-9]*\}$`)
)

// splitTemplate splits a gorilla/mux template into segments. Patterns and
// variables that are only a part of a segment are not supported, so that
// overlapping templates can be detected.
func splitTemplate(template string) (segs []string, ok bool) {
	if !strings.HasPrefix(template, "/") {
		return nil, false
	}
	segs = strings.Split(template[1:], "/")
	for _, s := range segs {
		if !literalSegment.MatchString(s) && !variableSegment.MatchString(s) {
			return nil, false
		}
	}
	return segs, true
}

func isVariable(segment string) bool { return strings.HasPrefix(segment, "{") }

// isServicePath reports whether a template is valid as the path of a service.
func isServicePath(template string) bool {
	segs, ok := splitTemplate(template)
	return ok && !isVariable(segs[0]) && segs[0] != reservedPrefix
}

// isOperationPath reports whether a template is valid as the path of an
// operation, which may be empty.
func isOperationPath(template string) bool {
	if template == "" {
		return true
	}
	_, ok := splitTemplate(template)
	return ok
}

// countSegment returns how often a segment occurs in a template.
func countSegment(template, segment string) (n int) {
	for s := range strings.SplitSeq(template, "/") {
		if s == segment {
			n++
		}
	}
	return n
}

// repeatedVariable returns a variable that occurs more than once, or "".
func repeatedVariable(template string) string {
	segs := strings.Split(template, "/")
	for i, s := range segs {
		if isVariable(s) && slices.Contains(segs[:i], s) {
			return s
		}
	}
	return ""
}

// pathsOverlap reports whether a path exists that matches both templates.
func pathsOverlap(a, b string) bool {
	return strings.Count(a, "/") == strings.Count(b, "/") && prefixesOverlap(a, b)
}

// prefixesOverlap reports whether a path exists that starts with both templates.
func prefixesOverlap(a, b string) bool {
	x, y := strings.Split(a, "/"), strings.Split(b, "/")
	for i := range min(len(x), len(y)) {
		if x[i] != y[i] && !isVariable(x[i]) && !isVariable(y[i]) {
			return false
		}
	}
	return true
}
