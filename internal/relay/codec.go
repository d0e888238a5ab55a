package relay

import (
	"net/http"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Meta is what a caller's request says of itself.
type Meta struct {
	ID     string     // of this attempt of the caller
	Left   clock.Span // how long the caller waits
	Bound  bool       // Left was stated
	Key    owner.Key
	HasKey bool
}

// Reply is what a server's response says of itself.
type Reply struct {
	ID     string // of the request that it belongs to
	Signed bool
	NotRun bool // the server has not run the request and never will
}

// Codec reads and writes the headers of a dialect.
type Codec interface {
	// Meta reads a caller's header.
	Meta(h http.Header) Meta
	// Forward sets what a server is told: the time that is left, and which
	// server is meant.
	Forward(h http.Header, left clock.Span, id keys.Server)
	// Reply reads the header of a response.
	Reply(status int, h http.Header) Reply
}
