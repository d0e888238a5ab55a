package listen

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fill writes to a connection until the peer's receive buffer and the own send buffer
// are full.
func fill(t *testing.T, c net.Conn) {
	t.Helper()
	buf := make([]byte, 64<<10)
	for {
		c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := c.Write(buf); err != nil {
			return
		}
	}
}

// Guards against connections that hold more than Held says, before they are accepted,
// after it, or after their buffer was made large and small again.
func TestHeld(t *testing.T) {
	tests := []struct {
		name   string
		accept bool
		sizes  []int // of the receive buffer, bytes, one after the other
	}{
		{"not accepted", false, nil},
		{"accepted", true, nil},
		{"large and short again", true, []int{64 << 10, 8 << 10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := Bounds{ReadBuffer: 8 << 10, Backlog: 1}
			l, err := Open("127.0.0.1:0", b)
			is.NoErr(err)
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer client.Close()
			if !tt.accept {
				fill(t, client)
			}
			server, err := l.Accept()
			is.NoErr(err)
			defer server.Close()
			socket, err := server.(*net.TCPConn).SyscallConn()
			is.NoErr(err)
			for _, n := range tt.sizes {
				is.NoErr(SetReadBuffer(socket, n))
			}
			if tt.accept {
				fill(t, client)
			}
			n, err := Unread(socket)
			is.NoErr(err)
			t.Log(n)
			is.True(n > 0)
			is.True(int64(n) <= b.Held(0)) // one connection, in the backlog
		})
	}
}

// Guards against a large receive buffer that has no effect on a connection that was
// accepted with a short one.
func TestSetReadBuffer(t *testing.T) {
	is := is.New(t)
	b := Bounds{ReadBuffer: 8 << 10}
	l, err := Open("127.0.0.1:0", b)
	is.NoErr(err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := l.Accept()
	is.NoErr(err)
	defer server.Close()
	socket, err := server.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(SetReadBuffer(socket, 64<<10))
	fill(t, client)
	buf := make([]byte, 4<<10)
	for range 64 { // the window grows as it is read
		_, err = server.Read(buf)
		is.NoErr(err)
	}
	fill(t, client)
	n, err := Unread(socket)
	is.NoErr(err)
	is.True(int64(n) > HeldFactor*int64(b.ReadBuffer))
	is.True(n <= HeldFactor*64<<10)
}

// Guards against a backlog that is that of the system: connections beyond it must not
// be opened.
func TestBacklog(t *testing.T) {
	is := is.New(t)
	l, err := Open("127.0.0.1:0", Bounds{Backlog: 2})
	is.NoErr(err)
	defer l.Close()
	opened := 0
	for range 6 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
		opened++
	}
	is.True(opened >= 2)
	is.True(opened <= 3) // Linux allows one more
}
