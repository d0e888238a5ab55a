package config

import (
	"regexp"
	"slices"
	"strings"
)

// keyVariable is the variable of a path template that holds the key.
const keyVariable = "{key}"

// ownPrefix is the first segment of paths between laburnummux and backend
// servers.
const ownPrefix = "laburnummux"

const pathRule = "a path of segments that are literals or variables such as {key}, of which the first is a literal other than " + ownPrefix

var (
	literalSegment  = regexp.MustCompile(`^[A-Za-z0-9_~-][A-Za-z0-9_~.-]*$`)
	variableSegment = regexp.MustCompile(`^\{[a-z][A-Za-z0-9]*\}$`)
)

// segments splits a template of gorilla/mux. Patterns and variables that are
// only a part of a segment are not supported, so that overlaps can be found.
func segments(template string) (segs []string, ok bool) {
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

// isServicePath accepts the path of a service.
func isServicePath(template string) bool {
	segs, ok := segments(template)
	return ok && !isVariable(segs[0]) && segs[0] != ownPrefix
}

// isOperationPath accepts the path of an operation, which may be empty.
func isOperationPath(template string) bool {
	if template == "" {
		return true
	}
	_, ok := segments(template)
	return ok
}

// count returns how often a segment occurs in a template.
func count(template, segment string) (n int) {
	for s := range strings.SplitSeq(template, "/") {
		if s == segment {
			n++
		}
	}
	return n
}

// repeated returns a variable that occurs more than once, or "".
func repeated(template string) string {
	segs := strings.Split(template, "/")
	for i, s := range segs {
		if isVariable(s) && slices.Contains(segs[:i], s) {
			return s
		}
	}
	return ""
}

// samePath reports whether a path exists that matches both templates.
func samePath(a, b string) bool {
	return strings.Count(a, "/") == strings.Count(b, "/") && samePrefix(a, b)
}

// samePrefix reports whether a path exists that starts with both templates.
func samePrefix(a, b string) bool {
	x, y := strings.Split(a, "/"), strings.Split(b, "/")
	for i := range min(len(x), len(y)) {
		if x[i] != y[i] && !isVariable(x[i]) && !isVariable(y[i]) {
			return false
		}
	}
	return true
}
