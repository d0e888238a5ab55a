package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

func hexSHA256(token string) string {
	s := sha256.Sum256([]byte(token))
	return hex.EncodeToString(s[:])
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a request that is accepted without a token of the file, and
// against a token that is accepted after it was removed.
func TestBearerTokens(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "tokens.jsonc")
	writeFile(t, file, `{"tui": "`+hexSHA256("s3cret")+`", /* desk */ "aroha": "`+hexSHA256("other")+`"}`)
	tokens, err := LoadTokens(file, zap.NewNop())
	is.NoErr(err)
	a := New(Config{Tokens: tokens})
	operatorName := func(header string) string {
		r := httptest.NewRequest("GET", "/status", nil)
		r.Header.Set("Authorization", header)
		name, err := a.Authenticate(r)
		is.Equal(err == nil, name != "")
		return name
	}
	for _, tt := range []struct{ header, want string }{
		{"Bearer s3cret", "tui"}, {"bearer other", "aroha"},
		{"", ""}, {"Bearer", ""}, {"Bearer ", ""}, {"Bearer s3cre", ""}, {"Bearer s3cret2", ""}, {"Basic s3cret", ""}, {"s3cret", ""},
		{"Bearer " + hexSHA256("s3cret"), ""}, {"Bearer tui", ""}, {"Bearer " + strings.Repeat("s", 1<<16), ""},
	} {
		is.Equal(operatorName(tt.header), tt.want)
	}
	writeFile(t, file, `{"aroha": "`+hexSHA256("other"))
	tokens.Check(clock.Time(0))
	is.Equal(operatorName("Bearer s3cret"), "tui") // the half-written file is not loaded
	writeFile(t, file, `{"aroha": "`+hexSHA256("other")+`"}`)
	tokens.Check(clock.Time(0).Add(certs.CheckInterval))
	is.Equal(operatorName("Bearer s3cret"), "")
	is.Equal(operatorName("Bearer other"), "aroha")
}

// Guards against an invalid file that is accepted, and against an error that
// contains a token which is in the file by mistake instead of its hash.
func TestInvalidTokenFiles(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "tokens.jsonc")
	for _, text := range []string{
		`{"a": "plain-token"}`, `{"a": plain-token}`, `"plain-token"`, `{"plain-token": 1, "plain-token": 2}`, `{"a": ["plain-token"]}`,
		`{"": "` + hexSHA256("x") + `"}`, `{"a": "` + hexSHA256("x")[2:] + `"}`, ``,
	} {
		writeFile(t, file, text)
		_, err := LoadTokens(file, zap.NewNop())
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "plain-token"))
	}
}
