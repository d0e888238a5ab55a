package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strings"
	"unicode"

	"github.com/tailscale/hujson"
)

const (
	// MaxDocumentBytes limits a file and an encoded value. The store accepts
	// values of up to 1 MB.
	MaxDocumentBytes = 1 << 20
	// maxDepth limits the nesting of values, and with it the recursion of the
	// parser.
	maxDepth = 32
	// maxMessageBytes limits a syntax error, which quotes the whole literal.
	maxMessageBytes = 200
)

var unquotedName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]*$`)

// Document is a parsed file.
type Document struct {
	root Value
}

func NewDocument(root Value) Document { return Document{root: root} }

// Root returns the value of the whole document.
func (d Document) Root() Value { return d.root }

// Load reads and parses a file. It returns an error only if the file can't be
// read.
func Load(file string) (d Document, probs Problems, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Document{}, nil, fmt.Errorf("config.Load: %w", err)
	}
	d, probs = Parse(filepath.Clean(file), data)
	return d, probs, nil
}

// Parse parses JSON with comments. A file that isn't JSON has one problem. Every
// duplicate field is one problem; the document has the first of the values.
func Parse(file string, data []byte) (Document, Problems) {
	p := parser{file: file}
	if len(data) > MaxDocumentBytes {
		p.addProblem(1, "", fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(data), MaxDocumentBytes))
		return p.emptyDocument(), p.problems
	}
	for i, c := range data {
		if c == '\n' {
			p.newlines = append(p.newlines, i)
		}
	}
	if at := excessDepthOffset(data); at >= 0 {
		p.addProblem(p.line(at), "", fmt.Sprintf("values are nested more than %d levels deep", maxDepth))
		return p.emptyDocument(), p.problems
	}
	v, err := hujson.Parse(data)
	if err != nil {
		line, msg := splitSyntaxError(err)
		p.addProblem(line, "", msg)
		return p.emptyDocument(), p.problems
	}
	return Document{root: p.value("", v)}, p.problems
}

// splitSyntaxError extracts the line from the text of a syntax error, because
// hujson has no error type with the line.
func splitSyntaxError(err error) (line int, msg string) {
	msg = strings.Map(replaceUnprintable, strings.TrimPrefix(err.Error(), "hujson: "))
	if len(msg) > maxMessageBytes {
		msg = strings.ToValidUTF8(msg[:maxMessageBytes], "") + "..."
	}
	if _, scanErr := fmt.Sscanf(msg, "line %d,", &line); scanErr != nil {
		return 1, msg
	}
	_, msg, _ = strings.Cut(msg, ", ")
	return line, "not JSON: " + msg
}

// replaceUnprintable replaces line breaks, which an invalid string may put into
// a message, so that each problem is printed on one line.
func replaceUnprintable(r rune) rune {
	if !unicode.IsPrint(r) {
		return ' '
	}
	return r
}

// excessDepthOffset returns the offset at which the nesting exceeds maxDepth, or
// -1. It skips strings and comments.
func excessDepthOffset(b []byte) int {
	depth := 0
	for i := 0; i < len(b); i++ {
		switch rest := b[i:]; {
		case b[i] == '"':
			for i++; i < len(b) && b[i] != '"'; i++ {
				if b[i] == '\\' {
					i++
				}
			}
		case bytes.HasPrefix(rest, []byte("//")):
			i += endOffset(rest, "\n")
		case bytes.HasPrefix(rest, []byte("/*")):
			i += 2 + endOffset(rest[2:], "*/")
		case b[i] == '{' || b[i] == '[':
			if depth++; depth > maxDepth {
				return i
			}
		case b[i] == '}' || b[i] == ']':
			depth--
		}
	}
	return -1
}

// endOffset returns the offset of the last byte of end in b, or len(b) if b
// doesn't contain it.
func endOffset(b []byte, end string) int {
	if i := bytes.Index(b, []byte(end)); i >= 0 {
		return i + len(end) - 1
	}
	return len(b)
}

// parser converts the values of hujson to Values.
type parser struct {
	file     string
	newlines []int
	problems Problems
}

func (p *parser) addProblem(line int, field, msg string) {
	p.problems = append(p.problems, Problem{Origin: Origin{p.file, line}, Field: field, Message: msg})
}

// emptyDocument returns a null document with the line of the first problem, so
// that problems that are found later have a line, too.
func (p *parser) emptyDocument() Document {
	return Document{root: Value{origin: p.problems[0].Origin}}
}

func (p *parser) line(offset int) int { return 1 + sort.SearchInts(p.newlines, offset) }

func (p *parser) value(path string, v hujson.Value) Value {
	w := Value{origin: Origin{p.file, p.line(v.StartOffset)}}
	switch t := v.Value.(type) {
	case hujson.Literal:
		w.kind, w.text = literal(t)
	case *hujson.Array:
		w.kind = Array
		for i, e := range t.Elements {
			w.elements = append(w.elements, p.value(fmt.Sprintf("%s[%d]", path, i), e))
		}
	case *hujson.Object:
		w.kind = Object
		w.members = p.members(path, t)
	}
	return w
}

func (p *parser) members(path string, obj *hujson.Object) (ms []Member) {
	first := make(map[string]int, len(obj.Members))
	for _, m := range obj.Members {
		lit, _ := m.Name.Value.(hujson.Literal)
		name, line := lit.String(), p.line(m.Name.StartOffset)
		if at, ok := first[name]; ok {
			p.addProblem(line, JoinPath(path, name), fmt.Sprintf("duplicate field; it is already stated in line %d", at))
			continue
		}
		first[name] = line
		ms = append(ms, Member{Name: name, Value: p.value(JoinPath(path, name), m.Value)})
	}
	return slices.Clip(ms)
}

func literal(l hujson.Literal) (Kind, string) {
	switch l.Kind() {
	case 't', 'f':
		return Bool, string(l)
	case '"':
		return String, l.String()
	case '0':
		return Number, string(l)
	}
	return Null, ""
}

// FileKind guesses the kind of a file from its fields: settings have host,
// listen, group or store, overlays have site, and any other document is a base.
func (d Document) FileKind() FileKind {
	for _, name := range []string{"host", "listen", "group", "store"} {
		if _, ok := d.root.Get(name); ok {
			return FileSettings
		}
	}
	if _, ok := d.root.Get("site"); ok {
		return FileOverlay
	}
	return FileBase
}
