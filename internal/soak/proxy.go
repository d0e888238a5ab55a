package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
)

//go:generate go tool stringer -type=Mode -linecomment -output=mode_string.go

// Mode is the fault that a proxy applies to its connections.
type Mode int

// Modes.
const (
	Pass      Mode = iota // pass
	Delay                 // delay
	Reset                 // reset
	Blackhole             // silence
	OneWay                // one-way: answers are held back
	numModes              // modes
)

const (
	// chunkDelay is the delay of each chunk in mode Delay.
	chunkDelay = 120 * clock.Millisecond
	// dialTimeout applies to the proxy's connections to the target, which is on
	// the same machine.
	dialTimeout = clock.Second
	chunkSize   = 16 << 10 // bytes
)

// proxy is a TCP proxy for an address of this machine that injects faults into
// its connections. Mode Blackhole drops all data, OneWay that of responses;
// neither holds data back, so that nothing arrives long after it was sent.
type proxy struct {
	listener net.Listener
	target   string // guarded by mu

	mu    sync.Mutex
	mode  Mode
	conns map[*proxyConn]bool
}

// proxyConn is a connection through the proxy.
type proxyConn struct {
	proxy          *proxy
	client, target net.Conn
}

// newProxy starts a proxy for a target.
func newProxy(target string) (p *proxy, err error) {
	p = &proxy{target: target, conns: make(map[*proxyConn]bool)}
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go p.loop()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *proxy) Addr() string { return p.listener.Addr().String() }

// Close closes the proxy and resets its connections.
func (p *proxy) Close() {
	p.listener.Close()
	p.resetAll()
}

// SetTarget sets the address to which further connections go.
func (p *proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// SetMode sets the fault that applies to the connections. When mode Blackhole
// or OneWay ends, all connections are reset, since they have lost data.
func (p *proxy) SetMode(m Mode) {
	p.mu.Lock()
	before := p.mode
	p.mode = m
	p.mu.Unlock()
	if m == Reset || before == Blackhole || before == OneWay {
		p.resetAll()
	}
}

func (p *proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

func (p *proxy) loop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the proxy is closed
		}
		c := &proxyConn{proxy: p, client: conn}
		go c.run()
	}
}

// run copies data in both directions until one side closes the connection.
func (c *proxyConn) run() {
	defer c.reset()
	c.proxy.mu.Lock()
	addr := c.proxy.target
	c.proxy.mu.Unlock()
	target, err := net.DialTimeout("tcp", addr, dialTimeout.Std())
	if err != nil {
		return // the deferred reset closes the client's connection
	}
	c.proxy.mu.Lock()
	c.target = target
	reset := c.proxy.mode == Reset
	c.proxy.conns[c] = true
	c.proxy.mu.Unlock()
	defer func() {
		c.proxy.mu.Lock()
		delete(c.proxy.conns, c)
		c.proxy.mu.Unlock()
	}()
	if reset {
		return
	}
	ended := make(chan struct{}, 2)
	requests := &pipe{conn: c, dst: c.target, src: c.client, ended: ended}
	responses := &pipe{conn: c, dst: c.client, src: c.target, responses: true, ended: ended}
	go requests.run()
	go responses.run()
	<-ended
	c.reset()
	<-ended
}

// pipe copies the data of a connection in one direction.
type pipe struct {
	conn      *proxyConn
	dst       io.Writer
	src       io.Reader
	responses bool // direction from the target to the client
	ended     chan<- struct{}
}

func (p *pipe) run() {
	defer func() { p.ended <- struct{}{} }()
	buf := make([]byte, chunkSize)
	for {
		n, err := p.src.Read(buf)
		if n > 0 && !p.conn.delayOrDrop(p.responses) {
			if _, err := p.dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delayOrDrop applies the fault to a chunk. It reports whether the chunk is
// dropped.
func (c *proxyConn) delayOrDrop(responses bool) (dropped bool) {
	switch c.proxy.currentMode() {
	case Blackhole:
		return true
	case OneWay:
		return responses
	case Delay:
		time.Sleep(chunkDelay.Std())
	}
	return false
}

// reset closes both sides of the connection with a TCP reset.
func (c *proxyConn) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if t, ok := conn.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
}
