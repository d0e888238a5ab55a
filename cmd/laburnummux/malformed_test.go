package main

import (
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// Guards against a command that reports success after a response with a malformed head.
func TestMalformedHeadOfOperators(t *testing.T) {
	for _, l := range heads.Lines() {
		for _, fields := range l.Placed("Content-Length: 2\r\n") {
			t.Run(fmt.Sprintf("%.80q", fields), func(t *testing.T) {
				is := is.New(t)
				s := heads.NewServer(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n{}")
				cmd := dumpCommand()
				cmd.Writer = io.Discard
				err := cmd.Run(t.Context(), []string{"dump", "--operators", s.Addr()})
				is.Equal(err == nil, l.Valid())
			})
		}
	}
}
