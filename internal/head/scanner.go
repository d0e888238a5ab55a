package head

import "strings"

// tokenChars and valueChars say for each byte whether it may be in a field's name (RFC
// 9110, section 5.6.2) and in its value (section 5.5).
var tokenChars, valueChars = charTables()

func charTables() (token, value [256]bool) {
	for c := range 256 {
		value[c] = c >= ' ' && c != 0x7f || c == '\t'
		token[c] = c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		token[c] = true
	}
	return token, value
}

// position is where in a head the next byte is.
type position int

const (
	ended position = iota // behind the head, or before one has begun
	inStartLine
	inLineBegin // at the first byte of a field or of the empty line
	inName
	inValue
	afterValueCR
	afterEmptyLineCR
)

const (
	// statusLen is the length of the beginning of a status line up to the status, such as
	// "HTTP/1.1 200", and versionLen that of its version.
	statusLen  = 12
	versionLen = 8

	versionPrefix    = "HTTP/"
	transferEncoding = "Transfer-Encoding"
)

// Scanner checks the bytes of a head as they are received. Lines end with CR and LF, or
// with LF alone. The first line isn't checked.
type Scanner struct {
	at         position
	line       int              // number of the current line, from 1
	start      [statusLen]byte  // of the first line
	last       [versionLen]byte // bytes of the first line
	startLen   int              // length of the first line without CR
	oldVersion bool             // before HTTP/1.1
	// name has the beginning of the field's name, if the version is old, and
	// ignoredEncoding is set once it was that of a transfer encoding, see CheckFraming.
	name            []byte
	ignoredEncoding bool
}

// Begin begins a head.
func (s *Scanner) Begin() { *s = Scanner{at: inStartLine, line: 1} }

// End ends a head that is incomplete.
func (s *Scanner) End() { s.at = ended }

// Scanning reports whether a head has begun and isn't complete.
func (s *Scanner) Scanning() bool { return s.at != ended }

// CheckFraming returns an *Error if the end of the message whose head was scanned last isn't
// known, although that is well-formed: it is one of HTTP/1.0 and has a transfer encoding.
// net/http ignores that, so it takes the chunks of a response for its body, and those of a
// request for another request (RFC 9112, section 6.1).
func (s *Scanner) CheckFraming() error {
	if s.ignoredEncoding {
		return &Error{fault: FaultFraming, line: 1}
	}
	return nil
}

// Scan checks the next bytes. It returns how many of them are part of the head, or up to
// where the head is well-formed and an *Error.
func (s *Scanner) Scan(p []byte) (n int, err error) {
	for s.at != ended {
		switch s.at { // most bytes of a head
		case inName:
			k := span(p[n:], &tokenChars)
			s.addName(p[n : n+k])
			n += k
		case inValue:
			n += span(p[n:], &valueChars)
		}
		if n == len(p) {
			break
		}
		if f, ok := s.step(p[n]); !ok {
			return n, &Error{fault: f, line: s.line, char: p[n]}
		}
		n++
	}
	return n, nil
}

// span returns the length of the longest prefix of p that has only bytes of a table.
func span(p []byte, table *[256]bool) int {
	for i, b := range p {
		if !table[b] {
			return i
		}
	}
	return len(p)
}

// step checks one byte. ok is false if it has a fault.
func (s *Scanner) step(b byte) (f Fault, ok bool) {
	switch s.at {
	case inStartLine:
		s.stepStartLine(b)
		return 0, true
	case inLineBegin:
		return s.stepLineBegin(b)
	case inName:
		return s.stepName(b)
	case inValue:
		return s.stepValue(b)
	}
	return s.stepAfterCR(b)
}

// stepStartLine takes a byte of the first line. An empty one ends the head.
func (s *Scanner) stepStartLine(b byte) {
	switch {
	case b == '\n' && s.startLen == 0:
		s.endLine(ended)
	case b == '\n':
		s.oldVersion = isBefore11(s.version())
		s.endLine(inLineBegin)
	case b != '\r':
		if s.startLen < statusLen {
			s.start[s.startLen] = b
		}
		s.startLen++
		copy(s.last[:], s.last[1:])
		s.last[versionLen-1] = b
	}
}

// version returns the protocol's version, with which a status line begins and a request line
// ends.
func (s *Scanner) version() string {
	if v := string(s.start[:versionLen]); strings.HasPrefix(v, versionPrefix) {
		return v
	}
	return string(s.last[:])
}

func isBefore11(version string) bool {
	return version == versionPrefix+"1.0" || strings.HasPrefix(version, versionPrefix+"0.")
}

func (s *Scanner) stepLineBegin(b byte) (f Fault, ok bool) {
	switch {
	case b == '\r':
		s.at = afterEmptyLineCR
	case b == '\n':
		s.endLine(ended)
	case b == ' ' || b == '\t':
		return FaultFold, false
	default:
		s.at = inName
		s.name = s.name[:0]
		s.addName([]byte{b})
		return FaultName, tokenChars[b]
	}
	return 0, true
}

// addName adds bytes to the name of the field if the version is before HTTP/1.1, until it is
// longer than the one that matters.
func (s *Scanner) addName(p []byte) {
	if s.oldVersion && len(s.name) <= len(transferEncoding) {
		s.name = append(s.name, p...)
	}
}

func (s *Scanner) stepName(b byte) (f Fault, ok bool) {
	switch b {
	case ':':
		s.at = inValue
		s.ignoredEncoding = s.ignoredEncoding || strings.EqualFold(string(s.name), transferEncoding)
		return 0, true
	case '\r', '\n':
		return FaultColon, false
	}
	return FaultName, tokenChars[b]
}

func (s *Scanner) stepValue(b byte) (f Fault, ok bool) {
	switch b {
	case '\r':
		s.at = afterValueCR
	case '\n':
		s.endLine(inLineBegin)
	default:
		return FaultValue, valueChars[b]
	}
	return 0, true
}

// stepAfterCR takes the byte behind a CR, which has to end the line.
func (s *Scanner) stepAfterCR(b byte) (f Fault, ok bool) {
	switch {
	case b != '\n' && s.at == afterValueCR:
		return FaultValue, false
	case b != '\n':
		return FaultName, false
	case s.at == afterValueCR:
		s.endLine(inLineBegin)
	default:
		s.endLine(ended)
	}
	return 0, true
}

// endLine continues at the next line.
func (s *Scanner) endLine(next position) {
	s.line++
	s.at = next
}

// informational reports whether the head that was scanned last is that of an informational
// response, which another head follows. ok is false if its first line isn't a status line.
func (s *Scanner) informational() (yes, ok bool) {
	const switching = "101" // what follows isn't HTTP
	status := string(s.start[statusLen-len(switching):])
	if s.startLen < statusLen || s.start[statusLen-len(switching)-1] != ' ' || status[0] < '0' || status[0] > '9' {
		return false, false
	}
	return status[0] == '1' && status != switching, true
}
