package entry

import (
	"context"
	"net/http"

	"github.com/laburnummux/laburnummux/internal/auth"
	"go.uber.org/zap"
)

// auditRecord is the part of an audit line that handlers of a changing call set.
type auditRecord struct {
	operator string
	revision uint64
}

type auditKey struct{}

// callingOperator returns the name of the operator who makes the call. It is used
// as the author of a revision.
func callingOperator(ctx context.Context) string {
	if a, ok := ctx.Value(auditKey{}).(*auditRecord); ok {
		return a.operator
	}
	return ""
}

// setAuditRevision sets the revision that a changing call made or was based on.
// If it isn't called, the audit line has the revision in force.
func setAuditRevision(ctx context.Context, n uint64) {
	if a, ok := ctx.Value(auditKey{}).(*auditRecord); ok {
		a.revision = n
	}
}

// authenticate requires credentials for every path of the operators listener but
// the two health checks, which the balancer calls, and writes the audit log.
func (h *Host) authenticate(next http.Handler) http.Handler {
	audited := h.audit(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if readOnly(r) && (r.URL.Path == "/healthz" || r.URL.Path == "/readyz") {
			next.ServeHTTP(w, r)
			return
		}
		operator, err := h.security.authenticator.Authenticate(r)
		if err != nil {
			h.security.refusedCalls.Add(1)
			w.Header().Set("WWW-Authenticate", `Bearer realm="laburnummux operators"`)
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		// The token is removed, so that no handler can write it to a log.
		r = r.WithContext(context.WithValue(r.Context(), auditKey{}, &auditRecord{operator: operator}))
		r.Header = r.Header.Clone()
		r.Header.Del("Authorization")
		audited.ServeHTTP(w, r)
	})
}

func readOnly(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead }

// audit writes a log line after each changing call, also if the handler panics.
// The query isn't logged, because an operator may have put a secret in it.
func (h *Host) audit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if readOnly(r) {
			next.ServeHTTP(w, r)
			return
		}
		sw := &statusWriter{ResponseWriter: w}
		defer func() {
			rec, _ := r.Context().Value(auditKey{}).(*auditRecord)
			if rec == nil {
				rec = &auditRecord{operator: auth.Anonymous}
			}
			if rec.revision == 0 {
				h.mu.Lock()
				rec.revision = h.revision.Number()
				h.mu.Unlock()
			}
			h.auditLog.Info("operator's call", zap.String("who", rec.operator), zap.String("what", r.Method+" "+r.URL.Path),
				zap.Uint64("revision", rec.revision), zap.Int("status", sw.status), zap.String("from", r.RemoteAddr))
		}()
		next.ServeHTTP(sw, r)
		if sw.status == 0 {
			sw.status = http.StatusOK // net/http sends it after the handler
		}
	})
}

// statusWriter records the status of a response; 0 means that none was written yet.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *statusWriter) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
