package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/segment"
)

// Guards against a 100 Continue that is written into the response to an earlier request.
func TestContinueIsNotPartOfResponse(t *testing.T) {
	is := is.New(t)
	long := bytes.Repeat([]byte("x"), 16<<20)
	c := servePipelined(t, func(_ context.Context, req *Request) Response {
		if req.Path != "/long" {
			return Response{Status: http.StatusOK}
		}
		body, err := segment.Read(bytes.NewReader(long), int64(len(long)), int64(len(long)), func(int64) bool { return true })
		if err != nil {
			t.Error(err)
		}
		return Response{Status: http.StatusOK, Body: body}
	})
	_, err := io.WriteString(c, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	_, err = reader.Peek(1) // the response is being written
	is.NoErr(err)
	_, err = io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the server reads the header meanwhile
	resp, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(bytes.Equal(b, long))
	resp, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusContinue)
	_, err = io.WriteString(c, "x")
	is.NoErr(err)
	resp, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against an incomplete header that has the request before it cut or rejected.
func TestIncompleteHeaderBehindRequest(t *testing.T) {
	is := is.New(t)
	c := servePipelined(t, func(ctx context.Context, req *Request) Response {
		select {
		case <-ctx.Done():
		case <-time.After(600 * time.Millisecond): // longer than the header's timeout
		}
		return Response{Status: http.StatusOK}
	})
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHo")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	for _, status := range []int{http.StatusOK, http.StatusRequestTimeout} {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
	}
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}

// servePipelined returns a connection to a server with the limits of these tests.
func servePipelined(t *testing.T, handle func(context.Context, *Request) Response) net.Conn {
	limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: 300 * clock.Millisecond, Idle: clock.Second}
	return serveConn(t, Config{Handle: handle, Limits: func() intent.Limits { return limits }, Log: zap.NewNop()})
}

// serveConn starts a server and returns a connection to it, whose deadline is 10 s.
func serveConn(t *testing.T, cfg Config) net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	a := &acceptor{server: New(cfg), listener: l}
	go a.run()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err = c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}
