package proxy

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/laburnummux/laburnummux/pkg/answer"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func dropHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// ForwardedHeader returns a copy of a caller's header for the next hop, without
// hop-by-hop headers and laburnummux's own headers.
func ForwardedHeader(h http.Header) http.Header {
	c := h.Clone()
	dropHopHeaders(c)
	DropOwnHeaders(c)
	return c
}

// DropOwnHeaders removes laburnummux's own headers, which callers must not set.
func DropOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, answer.HeaderPrefix) {
			delete(h, name)
		}
	}
}
