package relay

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of a header without the hop-by-hop headers: the fixed
// ones, and those that the Connection header lists.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+3)
	for name, v := range h {
		out[name] = v
	}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
