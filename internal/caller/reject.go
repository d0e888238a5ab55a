package caller

import (
	"errors"
	"net/http"

	"go.uber.org/zap"
)

//go:generate go tool stringer -type=rejection -linecomment -output=rejection_string.go

// rejection is the reason why a request was rejected while it was being read.
type rejection int

// Reasons of rejections.
const (
	rejectedHeader     rejection = iota // header
	rejectedLongHeader                  // long-header
	rejectedSlowHeader                  // slow-header
	rejectedBody                        // body
	rejectedLongBody                    // long-body
	rejectedSlowBody                    // slow-body
	rejectedStalled                     // stalled
	rejectedMemory                      // memory
	rejectedNoConfig                    // no-config
)

// status returns the HTTP status of the response.
func (r rejection) status() int {
	switch r {
	case rejectedLongHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case rejectedLongBody:
		return http.StatusRequestEntityTooLarge
	case rejectedSlowHeader, rejectedSlowBody, rejectedStalled:
		return http.StatusRequestTimeout
	case rejectedMemory, rejectedNoConfig:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// protocolError is the error of a request that is rejected while it is being read.
type protocolError struct {
	reason rejection
	header http.Header // of the response
	host   string      // of the request, if its header was read
	path   string      // as host
	err    error
}

func (e *protocolError) Error() string { return e.err.Error() }

// withHostAndPath adds the host and path of a request to the error of its body.
func withHostAndPath(err error, r *http.Request) error {
	var pe *protocolError
	if errors.As(err, &pe) {
		pe.host, pe.path = r.Host, r.URL.Path
	}
	return err
}

// maxLoggedBytes and maxErrorBytes bound how much of a text of the caller, and of an error
// that quotes one, is logged.
const (
	maxLoggedBytes = 64
	maxErrorBytes  = 200
)

// LogText returns the beginning of a text that a caller has sent, for the log.
func LogText(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// reportRejection logs and counts a request that was rejected while it was being read.
func (c *conn) reportRejection(pe *protocolError) {
	cfg := &c.server.cfg
	cfg.Metrics.countRejection(pe.reason)
	ce := cfg.Log.Check(zap.InfoLevel, "request rejected")
	if ce == nil {
		return
	}
	text := pe.Error()
	fields := []zap.Field{
		zap.Stringer("why", pe.reason), zap.Int("status", pe.reason.status()), zap.String("error", text[:min(len(text), maxErrorBytes)]),
		zap.Int64("bytes", c.received), zap.String("caller", c.address),
	}
	if cfg.Version != nil {
		fields = append(fields, zap.Uint64("config", cfg.Version()))
	}
	if pe.path != "" {
		fields = append(fields, zap.String("vhost", LogText(pe.host)), zap.String("path", LogText(pe.path)))
	}
	if c.readErr != nil {
		fields = append(fields, zap.NamedError("cause", c.readErr))
	}
	ce.Write(fields...)
}
