package caller

import "github.com/laburnummux/laburnummux/internal/listen"

const (
	// reservedFDs are the descriptors that aren't used for connections. Callers'
	// connections get one in connFDs of the others, as requests in progress and idle
	// connections to servers and other hosts need some, too.
	reservedFDs = 200
	connFDs     = 2
	// minConns is the least bound of connections.
	minConns = 16
	// backlogShare is the part of the bound of an address's connections, as a divisor,
	// that may be open in addition and not accepted yet, while the process gets no
	// processor time.
	backlogShare = 3
	// otherReadBuffer is the receive buffer of connections that aren't those of callers,
	// in bytes. Most of their requests are short.
	otherReadBuffer = 8 << 10
)

// Capacity is what a process may use.
type Capacity struct {
	Memory int64 // bytes; 0: unknown
	FDs    int   // descriptors; 0: unknown
	// ConnShare is the share of the memory for callers' connections, each of which is
	// counted with ConnBytes.
	ConnShare float64
	ConnBytes int
}

// MaxConns returns the bound of callers' connections, or 0 if there is none.
func (c Capacity) MaxConns() (n int) {
	if c.Memory > 0 {
		n = max(int(float64(c.Memory)*c.ConnShare)/c.ConnBytes, minConns)
	}
	if c.FDs > 0 {
		byFDs := max((c.FDs-min(c.FDs, reservedFDs))/connFDs, minConns)
		if n == 0 || byFDs < n {
			n = byFDs
		}
	}
	return n
}

// CallerBounds returns the bounds of the listener for callers, who have at most maxConns
// connections. They are those of the system if the memory isn't known.
func (c Capacity) CallerBounds(maxConns int) listen.Bounds {
	if c.Memory <= 0 {
		return listen.Bounds{}
	}
	return listen.Bounds{ReadBuffer: ReadBuffer, Backlog: max(maxConns/backlogShare, minConns)}
}

// OtherBounds returns the bounds of a listener that isn't for callers.
func (c Capacity) OtherBounds(maxConns int) listen.Bounds {
	if c.Memory <= 0 {
		return listen.Bounds{}
	}
	return listen.Bounds{ReadBuffer: otherReadBuffer, Backlog: max(maxConns/backlogShare, minConns)}
}

// ShareOfConns returns the bound of connections that aren't those of callers: the part,
// as a divisor, of the bound of callers' connections. 0 means no bound.
func ShareOfConns(maxConns, divisor int) int {
	if maxConns == 0 {
		return 0
	}
	return max(maxConns/divisor, minConns)
}
