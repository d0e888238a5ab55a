package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// rawOperators responds to each request of an operator with the same bytes.
type rawOperators struct {
	listener net.Listener
	response string
}

func (s *rawOperators) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, s.response)
		}
		c.Close()
	}
}

// Guards against a command that reports success after a response with a malformed head.
func TestMalformedHeadOfOperators(t *testing.T) {
	for _, l := range heads.Lines() {
		for _, fields := range l.Placed("Content-Length: 2\r\n") {
			t.Run(fmt.Sprintf("%.80q", fields), func(t *testing.T) {
				is := is.New(t)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer ln.Close()
				s := &rawOperators{listener: ln, response: "HTTP/1.1 200 OK\r\n" + fields + "\r\n{}"}
				go s.run()
				cmd := dumpCommand()
				cmd.Writer = io.Discard
				err = cmd.Run(t.Context(), []string{"dump", "--operators", ln.Addr().String()})
				is.Equal(err == nil, l.Valid())
			})
		}
	}
}
