// Package heads has lines of HTTP/1.1 heads for tests, well-formed and malformed ones,
// and decides by the grammar which they are. It uses no HTTP parser.
//
// # Usage
//
//	for _, l := range heads.Lines() {
//		want := l.Valid() // a message with this line has to be accepted
//	}
package heads

import (
	"fmt"
	"strings"
)

// tokenChars are the characters of a field's name (RFC 9110, section 5.6.2).
const tokenChars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// Line is a line of a head without its end.
type Line string

// Valid reports whether the line is a field by the grammar: a token, a colon without a
// blank before it, and a value without control characters other than tabs (RFC 9110,
// sections 5.1 and 5.5; RFC 9112, sections 5.1 and 5.2).
func (l Line) Valid() bool {
	name, value, ok := strings.Cut(string(l), ":")
	return ok && isToken(name) && isValue(value)
}

func isToken(name string) bool {
	for i := range len(name) {
		if strings.IndexByte(tokenChars, name[i]) < 0 {
			return false
		}
	}
	return name != ""
}

func isValue(value string) bool {
	for i := range len(value) {
		if b := value[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// Lines returns the lines of all forms.
func Lines() (lines []Line) {
	lines = []Line{
		"X-Foo: 1", "X-Foo:1", "X-Foo:", "X-Foo: \t ", "X-Foo: \t a  b\tc \t", "X-Foo: a:b", "X-Foo: !\"(),/:;<=>?@[\\]{|}~", "X-Foo: \x80\xff", "X-Foo: caf\u00e9", "x: y", "1: 2",
		tokenChars + ": 1", "X-Long: " + Line(strings.Repeat("v", 3000)),
		"X Foo: 1", "X-Foo : 1", "X-Foo  : 1", "X  Foo: 1", " X-Foo: 1", "\tX-Foo: 1", " ", "\t", " : 1", ": 1", "X-Foo", "X-Foo 1",
		"X(Foo): 1", "X/Foo: 1", "X\"Foo\": 1", "X\u00e9: 1", "\x80X-Foo: 1",
		"X-Foo: a\x00b", "X-Foo: a\x01b", "X-Foo: a\x1f", "X-Foo: \x7fb", "X-Foo: a\rb", "X-Foo: \r", "\rX-Foo: 1", "X-Foo\r: 1", "\r\r",
	}
	for _, c := range []byte{0x00, 0x01, 0x07, 0x08, '\t', 0x0b, 0x0c, 0x1b, 0x1f, 0x7f} {
		for _, form := range []string{"%cX-Foo: 1", "X%cFoo: 1", "X-Foo%c: 1"} {
			lines = append(lines, Line(fmt.Sprintf(form, c)))
		}
	}
	return lines
}

// LinesOf returns lines with a blank within, before and behind a name that the protocol
// of a test uses.
func LinesOf(name, value string) []Line {
	within := name[:len(name)/2] + " " + name[len(name)/2:]
	return []Line{Line(name + " : " + value), Line(name + "  : " + value), Line(" " + name + ": " + value), Line(within + ": " + value)}
}

// Placed returns fields with a line in front of them and behind them.
func (l Line) Placed(fields string) []string {
	return []string{string(l) + "\r\n" + fields, fields + string(l) + "\r\n"}
}
