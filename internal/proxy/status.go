package proxy

import "net/http"

// maxStatus is the highest status of a response.
const maxStatus = 599

// validStatus reports whether a response with this status can be passed on.
// net/http also accepts 000, 020 and +20, at which http.ResponseWriter panics, and
// returns 101, though no request asks for another protocol. It skips the other
// informational responses.
func validStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
