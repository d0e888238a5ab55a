package entry

import (
	"context"
	"net/http"

	"github.com/laburnummux/laburnummux/internal/auth"
	"go.uber.org/zap"
)

// auditRecord is what a changing call says about itself.
type auditRecord struct {
	who      string
	revision uint64
}

type auditKey struct{}

// operatorOf returns the name of the operator who makes the call, which the
// author of a revision must be.
func operatorOf(ctx context.Context) string {
	if a, ok := ctx.Value(auditKey{}).(*auditRecord); ok {
		return a.who
	}
	return ""
}

// auditRevision states the revision that a changing call made or was based on.
// Without it the audit line has the revision in force.
func auditRevision(ctx context.Context, n uint64) {
	if a, ok := ctx.Value(auditKey{}).(*auditRecord); ok {
		a.revision = n
	}
}

// guard requires credentials for every operators' path but the two health
// checks, which the balancer calls, and writes the audit log.
func (h *Host) guard(next http.Handler) http.Handler {
	audited := h.audit(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if readOnly(r) && (r.URL.Path == "/healthz" || r.URL.Path == "/readyz") {
			next.ServeHTTP(w, r)
			return
		}
		who, err := h.secure.guard.Who(r)
		if err != nil {
			h.secure.refused.Add(1)
			w.Header().Set("WWW-Authenticate", `Bearer realm="laburnummux operators"`)
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		// Handlers must not meet the token, which could get into a log.
		r = r.WithContext(context.WithValue(r.Context(), auditKey{}, &auditRecord{who: who}))
		r.Header = r.Header.Clone()
		r.Header.Del("Authorization")
		audited.ServeHTTP(w, r)
	})
}

func readOnly(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead }

// audit writes a log line after each changing call, also when it panics. The
// query isn't logged, since it may have been meant as a secret.
func (h *Host) audit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if readOnly(r) {
			next.ServeHTTP(w, r)
			return
		}
		sw := &statusWriter{ResponseWriter: w}
		defer func() {
			a, _ := r.Context().Value(auditKey{}).(*auditRecord)
			if a == nil {
				a = &auditRecord{who: auth.Anonymous}
			}
			if a.revision == 0 {
				h.mu.Lock()
				a.revision = h.revision.Number()
				h.mu.Unlock()
			}
			h.auditor.Info("operator's call", zap.String("who", a.who), zap.String("what", r.Method+" "+r.URL.Path),
				zap.Uint64("revision", a.revision), zap.Int("status", sw.status), zap.String("from", r.RemoteAddr))
		}()
		next.ServeHTTP(sw, r)
		if sw.status == 0 {
			sw.status = http.StatusOK // net/http sends it after the handler
		}
	})
}

// statusWriter keeps the status of an answer; 0 means that there was none yet.
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
