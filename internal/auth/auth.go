// Package auth authenticates operators by client certificates or bearer tokens.
//
// # Usage
//
//	a := auth.New(auth.Config{Tokens: tokens, Certificates: true})
//	name, err := a.Authenticate(r)
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

// maxTokenBytes limits a token, so that an unauthenticated client can't make the
// process hash large inputs.
const maxTokenBytes = 512

// ErrUnauthenticated is the error for a request without valid credentials.
var ErrUnauthenticated = errors.New("a client certificate or a bearer token of an operator is required")

// Tokens holds the hashes of the operators' bearer tokens.
type Tokens struct {
	*certs.FileWatcher[[]operatorToken]
}

type operatorToken struct {
	name string
	hash [sha256.Size]byte
}

// LoadTokens reads the tokens file. It is JSON with comments: an object of
// operators' names and the hexadecimal SHA-256 hashes of their tokens.
func LoadTokens(file string, log *zap.Logger) (*Tokens, error) {
	w, err := certs.NewFileWatcher("operatorsTokens", log, func(c [][]byte) (*[]operatorToken, error) { return parseTokens(file, c[0]) }, file)
	if err != nil {
		return nil, err
	}
	return &Tokens{w}, nil
}

// parseTokens parses the tokens file. Its errors have lines but no values,
// because a value may be a token that was written by mistake instead of its
// hash.
func parseTokens(file string, b []byte) (*[]operatorToken, error) {
	d, probs := config.Parse(file, b)
	if len(probs) > 0 {
		return nil, fmt.Errorf("%s: not JSON, or a name occurs twice", probs[0].Origin)
	}
	if d.Root().Kind() != config.Object {
		return nil, fmt.Errorf("%s: an object of names and SHA-256 hashes is required", d.Root().Origin())
	}
	entries := make([]operatorToken, 0, len(d.Root().Members()))
	for _, m := range d.Root().Members() {
		sum, err := hex.DecodeString(m.Value.Text())
		if err != nil || len(sum) != sha256.Size || m.Name == "" || m.Value.Kind() != config.String {
			return nil, fmt.Errorf("%s: a name and a SHA-256 hash of 64 hexadecimal digits are required", m.Value.Origin())
		}
		e := operatorToken{name: m.Name}
		copy(e.hash[:], sum)
		entries = append(entries, e)
	}
	return &entries, nil
}

// Operator returns the name of the operator with the token. Hashes are compared
// in constant time, so that the response time doesn't reveal how much of a hash
// matches.
func (t *Tokens) Operator(token string) (name string, ok bool) {
	if token == "" || len(token) > maxTokenBytes {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	for _, e := range *t.Value() {
		if subtle.ConstantTimeCompare(sum[:], e.hash[:]) == 1 {
			name, ok = e.name, true
		}
	}
	return name, ok
}

// Config configures the accepted credentials. If there are none, every request
// is accepted.
type Config struct {
	Tokens       *Tokens // may be nil
	Certificates bool    // accept certificates that the listener has verified
}

// Authenticator authenticates requests.
type Authenticator struct{ cfg Config }

// New returns an Authenticator. With neither tokens nor certificates in cfg it
// accepts every request as Anonymous.
func New(cfg Config) *Authenticator { return &Authenticator{cfg} }

// Anonymous is the name of every operator if no credentials are configured.
const Anonymous = "unauthenticated"

// Authenticate returns the name of the operator who sent a request, or
// ErrUnauthenticated.
func (a *Authenticator) Authenticate(r *http.Request) (string, error) {
	if a.cfg.Tokens == nil && !a.cfg.Certificates {
		return Anonymous, nil
	}
	if a.cfg.Certificates && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if n := certificateName(r.TLS.VerifiedChains[0][0]); n != "" {
			return n, nil
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if a.cfg.Tokens != nil && strings.EqualFold(scheme, "Bearer") {
		if n, ok := a.cfg.Tokens.Operator(strings.TrimSpace(token)); ok {
			return n, nil
		}
	}
	return "", ErrUnauthenticated
}

// certificateName returns the common name of a certificate, or, if it has none,
// the first of its other names.
func certificateName(c *x509.Certificate) string {
	names := append([]string{c.Subject.CommonName}, c.EmailAddresses...)
	for _, n := range append(names, certs.Names(c)...) {
		if n != "" {
			return n
		}
	}
	return ""
}
