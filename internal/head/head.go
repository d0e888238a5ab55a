// Package head checks the heads of HTTP/1.1 messages by the grammar while they are
// received: the fields up to the empty line before the body.
//
// The parser of net/http accepts names with blanks, such as "X Foo" or
// "Content-Length ", and keeps them as they are. It also joins folded lines, so that a
// line that begins with a blank changes the value of the field before it. Recipients
// differ in what they make of such a head, also in where they see the end of the message,
// so a message with one is malformed as a whole (RFC 9112, section 5).
//
// # Usage
//
// Readers of a connection pass on what they receive:
//
//	var s head.Scanner
//	s.Begin()
//	for s.Scanning() {
//		n, err := conn.Read(p)
//		...
//		_, err = s.Scan(p[:n])
//	}
//
// Transport does that for an http.Client:
//
//	c := &http.Client{Transport: head.NewTransport(&http.Transport{}, reporter.From(head.SourceStore))}
//
// The fields behind a chunked body are in http.Response.Trailer or http.Request.Trailer
// once it was read, where CheckTrailer checks their names. A Reporter logs and counts the
// errors.
package head

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

//go:generate go tool stringer -type=Fault -linecomment -output=fault_string.go

// Fault is why a head is malformed.
type Fault int

// Faults of heads.
const (
	FaultName    Fault = iota // name
	FaultColon                // no-colon
	FaultValue                // value
	FaultFold                 // folded-line
	FaultStatus               // status-line
	FaultFraming              // framing
)

// Error is the error of a malformed head.
type Error struct {
	fault Fault
	line  int // from 1; 0: in the trailer
	char  byte
}

// Fault returns why the head is malformed.
func (e *Error) Fault() Fault { return e.fault }

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.fault == FaultStatus || e.fault == FaultFraming:
		return "malformed head: " + e.fault.String()
	case e.line == 0:
		return fmt.Sprintf("malformed trailer: %s: byte 0x%02x", e.fault, e.char)
	}
	return fmt.Sprintf("malformed head: %s: byte 0x%02x in line %d", e.fault, e.char, e.line)
}

// FaultOf returns the fault of the malformed head that an error is about, if it is
// about one.
func FaultOf(err error) (f Fault, ok bool) {
	var e *Error
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.fault, true
}

// CheckTrailer returns an *Error if a name of a trailer's fields isn't a token.
func CheckTrailer(h http.Header) error {
	for name := range h {
		if i := strings.IndexFunc(name, isNotToken); i >= 0 {
			return &Error{fault: FaultName, char: name[i]}
		}
	}
	return nil
}

func isNotToken(r rune) bool { return r >= 0x80 || !tokenChars[r] }
