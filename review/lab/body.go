package lab

import (
	"io"
	"strings"
)

// newBody returns a request body, or nil if it is empty.
func newBody(s string) io.Reader {
	if s == "" {
		return nil
	}
	return strings.NewReader(s)
}
