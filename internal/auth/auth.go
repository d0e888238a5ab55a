// Package auth tells who makes an operator's call: the holder of a client
// certificate or of a bearer token.
//
// # Usage
//
//	g := auth.New(auth.Config{Tokens: tokens, Certificates: true})
//	name, err := g.Who(r)
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/config"
	"go.uber.org/zap"
)

// maxToken bounds a token in bytes, so that little is hashed for a stranger.
const maxToken = 512

// ErrRefused is the error of a call without valid credentials.
var ErrRefused = errors.New("a client certificate or a bearer token of an operator is required")

// Tokens are the operators' bearer tokens, of which only hashes are known.
type Tokens struct{ *certs.Watch[[]entry] }

type entry struct {
	name string
	sum  [sha256.Size]byte
}

// LoadTokens reads a file with an object of names and SHA-256 hashes in
// hexadecimal form, as JSON with comments.
func LoadTokens(file string, log *zap.Logger) (*Tokens, error) {
	w, err := certs.NewWatch("operatorsTokens", log, func(c [][]byte) (*[]entry, error) { return parse(file, c[0]) }, file)
	if err != nil {
		return nil, err
	}
	return &Tokens{w}, nil
}

// parse states lines but no values, since a token may be there by mistake
// instead of its hash.
func parse(file string, b []byte) (*[]entry, error) {
	d, probs := config.Parse(file, b)
	if len(probs) > 0 {
		return nil, fmt.Errorf("%s: not JSON, or a name occurs twice", probs[0].Origin)
	}
	if d.Root().Kind() != config.Object {
		return nil, fmt.Errorf("%s: an object of names and SHA-256 hashes is required", d.Root().Origin())
	}
	entries := make([]entry, 0, len(d.Root().Members()))
	for _, m := range d.Root().Members() {
		sum, err := hex.DecodeString(m.Value.Text())
		if err != nil || len(sum) != sha256.Size || m.Name == "" || m.Value.Kind() != config.String {
			return nil, fmt.Errorf("%s: a name and a SHA-256 hash of 64 hexadecimal digits are required", m.Value.Origin())
		}
		e := entry{name: m.Name}
		copy(e.sum[:], sum)
		entries = append(entries, e)
	}
	return &entries, nil
}

// Owner returns whose token it is. The time taken doesn't depend on how much of
// a hash agrees.
func (t *Tokens) Owner(token string) (name string, ok bool) {
	if token == "" || len(token) > maxToken {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	for _, e := range *t.Value() {
		if subtle.ConstantTimeCompare(sum[:], e.sum[:]) == 1 {
			name, ok = e.name, true
		}
	}
	return name, ok
}

// Config says which credentials are accepted. Without any, every call is.
type Config struct {
	Tokens       *Tokens // may be nil
	Certificates bool    // certificates that the listener has verified
}

// Guard decides who makes a call.
type Guard struct{ cfg Config }

// New returns a Guard.
func New(cfg Config) *Guard { return &Guard{cfg} }

// Anonymous is the name of callers when no credentials are configured.
const Anonymous = "unauthenticated"

// Who returns the name of the operator who makes a call, or ErrRefused.
func (g *Guard) Who(r *http.Request) (string, error) {
	if g.cfg.Tokens == nil && !g.cfg.Certificates {
		return Anonymous, nil
	}
	if g.cfg.Certificates && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if n := subject(r.TLS.VerifiedChains[0][0]); n != "" {
			return n, nil
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if g.cfg.Tokens != nil && strings.EqualFold(scheme, "Bearer") {
		if n, ok := g.cfg.Tokens.Owner(strings.TrimSpace(token)); ok {
			return n, nil
		}
	}
	return "", ErrRefused
}

// subject returns the common name or the first other name of a certificate.
func subject(c *x509.Certificate) string {
	names := append([]string{c.Subject.CommonName}, c.EmailAddresses...)
	for _, n := range append(names, certs.Names(c)...) {
		if n != "" {
			return n
		}
	}
	return ""
}
