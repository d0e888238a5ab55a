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

// Limits of a file. Values of the store are limited to 1 MB, and the depth
// bounds the recursion of the parser.
const (
	MaxBytes = 1 << 20
	maxDepth = 32
	// maxMessage bounds a syntax error, which quotes the whole literal.
	maxMessage = 200
)

var plainName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]*$`)

// Document is a parsed file.
type Document struct {
	root Value
}

// NewDocument returns a document with the given root.
func NewDocument(root Value) Document { return Document{root: root} }

// Root returns the value of the whole document.
func (d Document) Root() Value { return d.root }

// Load reads and parses a file. The error tells that it could not be read.
func Load(file string) (d Document, probs Problems, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Document{}, nil, fmt.Errorf("config.Load: %w", err)
	}
	d, probs = Parse(filepath.Clean(file), data)
	return d, probs, nil
}

// Parse parses JSON with comments. A file that isn't JSON has one problem;
// every duplicate field is a problem of its own, of which the first one is
// kept.
func Parse(file string, data []byte) (Document, Problems) {
	p := parser{file: file}
	if len(data) > MaxBytes {
		p.add(1, "", fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(data), MaxBytes))
		return p.failed(), p.problems
	}
	for i, c := range data {
		if c == '\n' {
			p.newlines = append(p.newlines, i)
		}
	}
	if at := tooDeep(data); at >= 0 {
		p.add(p.line(at), "", fmt.Sprintf("values are nested more than %d deep", maxDepth))
		return p.failed(), p.problems
	}
	v, err := hujson.Parse(data)
	if err != nil {
		line, msg := splitSyntaxError(err)
		p.add(line, "", msg)
		return p.failed(), p.problems
	}
	return Document{root: p.value("", v)}, p.problems
}

// splitSyntaxError takes the line out of an error of hujson, which has no type
// of its own.
func splitSyntaxError(err error) (line int, msg string) {
	msg = strings.Map(printable, strings.TrimPrefix(err.Error(), "hujson: "))
	if len(msg) > maxMessage {
		msg = strings.ToValidUTF8(msg[:maxMessage], "") + "..."
	}
	if _, scanErr := fmt.Sscanf(msg, "line %d,", &line); scanErr != nil {
		return 1, msg
	}
	_, msg, _ = strings.Cut(msg, ", ")
	return line, "not JSON: " + msg
}

// printable replaces line ends, which an invalid string may bring into a
// message, so that each problem stays on one line.
func printable(r rune) rune {
	if !unicode.IsPrint(r) {
		return ' '
	}
	return r
}

// tooDeep returns the offset at which the nesting exceeds maxDepth, or -1. It
// skips strings and comments.
func tooDeep(b []byte) int {
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
			i += skipTo(rest, "\n")
		case bytes.HasPrefix(rest, []byte("/*")):
			i += 2 + skipTo(rest[2:], "*/")
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

// skipTo returns the offset of the last byte of end in b, or of b.
func skipTo(b []byte, end string) int {
	if i := bytes.Index(b, []byte(end)); i >= 0 {
		return i + len(end) - 1
	}
	return len(b)
}

// parser converts the values of hujson.
type parser struct {
	file     string
	newlines []int
	problems Problems
}

func (p *parser) add(line int, field, msg string) {
	p.problems = append(p.problems, Problem{Origin: Origin{p.file, line}, Field: field, Message: msg})
}

// failed returns a document without content, so that later problems have a
// line, too.
func (p *parser) failed() Document {
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
			p.add(line, Join(path, name), fmt.Sprintf("duplicate field; it is already stated in line %d", at))
			continue
		}
		first[name] = line
		ms = append(ms, Member{Name: name, Value: p.value(Join(path, name), m.Value)})
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

// FileKind returns what the document looks like: settings have a host or
// listeners, overlays have a site, and anything else is a base.
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
