package head

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// scan scans a message in pieces of n bytes. It returns the length of its head.
func scan(message string, n int) (length int, err error) {
	var s Scanner
	s.Begin()
	for p := []byte(message); len(p) > 0 && s.Scanning(); {
		piece := p[:min(n, len(p))]
		p = p[len(piece):]
		k, err := s.Scan(piece)
		length += k
		if err != nil {
			return length, err
		}
	}
	return length, nil
}

// Guards against a malformed head that is taken as well-formed, against the reverse, and
// against a head that ends at another place, in whatever pieces it is received.
func TestScanner(t *testing.T) {
	for _, l := range heads.Lines() {
		for _, fields := range l.Placed("Id: me\r\nContent-Length: 3\r\n") {
			for _, n := range []int{1, 2, 7, 1 << 20} {
				t.Run(fmt.Sprintf("%d, %.80q", n, fields), func(t *testing.T) {
					is := is.New(t)
					head := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
					length, err := scan(head+"abc", n)
					is.Equal(err == nil, l.Valid())
					is.Equal(length == len(head), l.Valid())
				})
			}
		}
	}
}

// Guards against a fault that is reported as another one.
func TestFaults(t *testing.T) {
	tests := []struct {
		line string
		want string
	}{
		{"X Foo: 1", "malformed head: name: byte 0x20 in line 2"},
		{"X-Foo : 1", "malformed head: name: byte 0x20 in line 2"},
		{"X-Foo\x01: 1", "malformed head: name: byte 0x01 in line 2"},
		{": 1", "malformed head: name: byte 0x3a in line 2"},
		{" X-Foo: 1", "malformed head: folded-line: byte 0x20 in line 2"},
		{"X-Foo", "malformed head: no-colon: byte 0x0d in line 2"},
		{"X-Foo: a\x00", "malformed head: value: byte 0x00 in line 2"},
		{"X-Foo: a\rb", "malformed head: value: byte 0x62 in line 2"},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			is := is.New(t)
			_, err := scan("HTTP/1.1 200 OK\r\n"+tt.line+"\r\nId: me\r\n\r\n", 1)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Error(), tt.want)
		})
	}
}

// isWellFormed decides by the grammar whether a message begins with a complete head, and
// returns its length. The first line isn't checked.
func isWellFormed(message string) (length int, ok bool) {
	for first, rest := true, message; ; first = false {
		line, after, found := strings.Cut(rest, "\n")
		if !found {
			return 0, false
		}
		length += len(line) + 1
		if first && strings.Trim(line, "\r") == "" {
			return length, true
		}
		line = strings.TrimSuffix(line, "\r")
		switch {
		case first:
		case line == "":
			return length, true
		case !heads.Line(line).Valid():
			return 0, false
		}
		rest = after
	}
}

// Guards against bytes with which the scanner and the grammar differ.
func FuzzScanner(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX Foo: 1\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\nX-Foo: 1\r\nY:\n\nabc")
	f.Add("\r\r\n\r\n")
	f.Fuzz(func(t *testing.T, message string) {
		var s Scanner
		s.Begin()
		n, err := s.Scan([]byte(message))
		length, ok := isWellFormed(message)
		if ok != (err == nil && !s.Scanning()) || ok && n != length {
			t.Fatalf("scanned %d bytes, error %v, incomplete %v; by the grammar: well-formed %v, %d bytes", n, err, s.Scanning(), ok, length)
		}
	})
}
