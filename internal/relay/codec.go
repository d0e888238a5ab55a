package relay

import (
	"net/http"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Meta has the fields of a caller's request header that the relay uses.
type Meta struct {
	ID         string     // identifies this attempt of the caller
	Remaining  clock.Span // time until the caller gives up
	HasTimeout bool       // the header has Remaining
	Key        owner.Key
	HasKey     bool
}

// Reply has the fields of a server's response header that the relay uses.
type Reply struct {
	ID     string // Meta.ID of the request that the response belongs to
	Signed bool
	NotRun bool // the server didn't run the request and never will
	// Leaving means that the server is about to end.
	Leaving bool
	// Pause is how long a server that rejected the request wants no other one from
	// this host.
	Pause clock.Span
	// Load is the number of requests that the server was running or had queued when
	// it sent the response, without this one.
	Load    int
	HasLoad bool // the header has Load
	// Slowdown is how long work takes at the server at the moment, where 1 is the usual
	// time; 0: unknown.
	Slowdown    float64
	LoadFigures int  // number of figures about the load
	BadLoad     bool // one of them is missing or invalid
	// Warmup is how much longer the server is cold, if it has stated that.
	Warmup    clock.Span
	HasWarmup bool
	BadWarmup bool // the header has an invalid Warmup
}

// Codec reads and writes the HTTP headers of a platform.
type Codec interface {
	// Meta reads the header of a caller's request.
	Meta(h http.Header) Meta
	// Forward sets the time until the deadline and the intended server in the
	// header of a forwarded request.
	Forward(h http.Header, left clock.Span, id keys.Server)
	// Reply reads the header of a server's response.
	Reply(status int, h http.Header) Reply
}
