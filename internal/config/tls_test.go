package config

import (
	"strings"
	"testing"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/matryer/is"
)

// Guards against settings that enable TLS for a connection without naming the
// files for it, and against problems without line, field and allowed values.
func TestTLS(t *testing.T) {
	const pair = `"certificate": "c", "key": "k"`
	tests := []struct{ name, fields, want string }{
		{"all", `"tls": {"callers": {` + pair + `}, "peers": {` + pair + `, "ca": "a"}, "operators": {` + pair +
			`, "ca": "a"}, "servers": {"ca": "a"}, "store": {"ca": "a", ` + pair + `}}, "operatorsTokens": "t"`, ""},
		{"peers without CA", `"tls": {"peers": {` + pair + `}}`, "f:5: tls.peers.ca: is missing; the name of a file is required"},
		{"peers without key", `"tls": {"peers": {"certificate": "c", "ca": "a"}}`, "f:5: tls.peers.key: is missing; the name of a file"},
		{"empty peers", `"tls": {"peers": {}}`, "f:5: tls.peers.certificate: is missing"},
		{"callers with CA", `"tls": {"callers": {` + pair + `, "ca": "a"}}`, "f:5: tls.callers.ca: unknown field; allowed here: certificate, key"},
		{"servers without CA", `"tls": {"servers": {` + pair + `}}`, "f:5: tls.servers.ca: is missing"},
		{"half of a pair", `"tls": {"store": {"ca": "a", "key": "k"}}`, "f:5: tls.store.certificate: and key must be stated together"},
		{"empty name", `"tls": {"servers": {"ca": ""}}`, `f:5: tls.servers.ca: is ""; the name of a file is required`},
		{"null", `"tls": {"peers": null}`, "f:5: tls.peers: is null"},
		{"unknown section", `"tls": {"peer": {}}`, "f:5: tls.peer: unknown field; allowed here: callers, operators, peers, servers, store"},
		{"tokens in plain text", `"operatorsTokens": "t"`, "f:5: operatorsTokens: warning: is stated without tls.operators"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, probs := ParseSettings("f", []byte(strings.Replace(goodSettings, "},\n}", "},\n  "+tt.fields+"\n}", 1)))
			if tt.want == "" {
				is.Equal(len(probs), 0)
				is.Equal(s.TLS().Peers(), certs.Files{Certificate: "c", Key: "k", CA: "a"})
				is.Equal(s.OperatorsTokens(), "t")
				return
			}
			is.True(len(probs) > 0)
			is.True(strings.HasPrefix(probs[0].Error(), tt.want)) // the beginning of the first problem
		})
	}
}
