package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/laburnummux/laburnummux/internal/auth"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a changing call without an audit line, also if the handler
// panics or the log level would hide the line, and against a line with a wrong
// revision or status.
func TestAudit(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	h := New(Config{Log: zap.NewNop(), Audit: zap.New(core)})
	h.security.authenticator = auth.New(auth.Config{})
	tests := []struct {
		name, method string
		handler      http.HandlerFunc
		lines        int
		revision     uint64
		status       int64
	}{
		{"read", "GET", func(http.ResponseWriter, *http.Request) {}, 0, 0, 0},
		{"change", "POST", func(w http.ResponseWriter, r *http.Request) { setAuditRevision(r.Context(), 42); w.WriteHeader(201) }, 1, 42, 201},
		{"nothing written", "PATCH", func(http.ResponseWriter, *http.Request) {}, 1, 0, 200},
		{"body only", "PUT", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("done")) }, 1, 0, 200},
		{"panic", "DELETE", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(tt.method, "/apply", nil)
			r.Header.Set("Authorization", "Bearer x")
			func() {
				defer func() { recover() }() // as net/http does
				h.authenticate(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					is.Equal(callingOperator(r.Context()), auth.Anonymous)
					is.Equal(r.Header.Get("Authorization"), "")
					tt.handler(w, r)
				})).ServeHTTP(httptest.NewRecorder(), r)
			}()
			lines := logs.TakeAll()
			is.Equal(len(lines), tt.lines)
			for _, l := range lines {
				m := l.ContextMap()
				is.Equal(m["what"], tt.method+" /apply")
				is.Equal(m["who"], auth.Anonymous)
				is.Equal(m["revision"], tt.revision)
				is.Equal(m["status"], tt.status)
			}
		})
	}
}
