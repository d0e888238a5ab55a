package head

import "io"

// Reader reads a response from a source and checks its head, and those of the informational
// responses before it. At a fault it returns the bytes before that and then the error, so
// that net/http knows that a response has begun.
type Reader struct {
	source  io.Reader
	scanner Scanner
	fault   error
}

// NewReader returns a Reader for the next response of source.
func NewReader(source io.Reader) *Reader {
	r := &Reader{source: source}
	r.Begin()
	return r
}

// Begin has the next bytes checked as the head of a response.
func (r *Reader) Begin() { r.scanner.Begin() }

// Fault returns the *Error of a malformed head that was read, or nil. The error of a parser
// may hide it.
func (r *Reader) Fault() error { return r.fault }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (n int, err error) {
	if r.fault != nil {
		return 0, r.fault
	}
	n, err = r.source.Read(p)
	if valid, fault := r.check(p[:n]); fault != nil {
		return valid, fault
	}
	return n, err
}

// check checks bytes that were read. It returns how many of them precede a fault.
func (r *Reader) check(p []byte) (n int, err error) {
	for n < len(p) && r.scanner.Scanning() {
		k, err := r.scanner.Scan(p[n:])
		n += k
		if err == nil && !r.scanner.Scanning() {
			if err = r.endHead(); err != nil {
				n-- // without the end of the head
			}
		}
		if err != nil {
			r.fault = err
			return n, err
		}
	}
	return n, nil
}

// endHead checks a head as a whole and begins the next one behind that of an informational
// response.
func (r *Reader) endHead() error {
	more, ok := r.scanner.informational()
	switch {
	case !ok:
		return &Error{fault: FaultStatus, line: 1}
	case more:
		r.scanner.Begin()
		return nil
	}
	return r.scanner.CheckFraming()
}
