package config

import "github.com/laburnummux/laburnummux/internal/certs"

// TLS has the files of each kind of connection. A section without files means
// plain text.
type TLS struct {
	callers, peers, operators, servers, store certs.Files
}

// Callers returns the files of the callers' listener.
func (t TLS) Callers() certs.Files { return t.callers }

// Peers returns the files for connections between entry hosts.
func (t TLS) Peers() certs.Files { return t.peers }

// Operators returns the files of the operators' listener.
func (t TLS) Operators() certs.Files { return t.operators }

// Servers returns the files for connections to backend servers.
func (t TLS) Servers() certs.Files { return t.servers }

// Store returns the files for connections to the platform's store.
func (t TLS) Store() certs.Files { return t.store }

// TLS returns the files for encrypted connections.
func (s Settings) TLS() TLS { return s.tls }

// OperatorsTokens returns the file with the hashes of the operators' tokens,
// or "".
func (s Settings) OperatorsTokens() string { return s.operatorsTokens }

const fileRule = "the name of a file"

func isFile(s string) bool { return s != "" }

func readTLS(o *object) (t TLS) {
	t.callers = readSection(o, "callers", required, withoutCA)
	t.peers = readSection(o, "peers", required, withCA)
	t.operators = readSection(o, "operators", required, mayHaveCA)
	t.servers = readSection(o, "servers", optional, withCA)
	t.store = readSection(o, "store", optional, withCA)
	o.done()
	return t
}

// caRule tells whether a section has a CA.
type caRule int

const (
	withoutCA caRule = iota
	mayHaveCA
	withCA
)

// readSection reads the files of a section that may be absent. pair tells
// whether a certificate and its key must be stated.
func readSection(parent *object, name string, pair need, ca caRule) (f certs.Files) {
	present := parent.has(name)
	o := parent.object(name, optional)
	o.text("certificate", pair, &f.Certificate, fileRule, isFile)
	o.text("key", pair, &f.Key, fileRule, isFile)
	if ca != withoutCA {
		o.text("ca", need(ca == withCA), &f.CA, fileRule, isFile)
	}
	o.done()
	if present && pair == optional && o.has("certificate") != o.has("key") {
		o.add("certificate", "and key must be stated together")
	}
	return f
}

// readTokens reads the name of the file with the operators' tokens. A token in
// plain text can be read on the way, which only loopback addresses justify.
func readTokens(o *object) (file string) {
	o.text("operatorsTokens", optional, &file, fileRule, isFile)
	if _, ok := o.v.Find("tls", "operators"); file != "" && !ok {
		o.r.problems = append(o.r.problems, Problem{
			Origin: o.at("operatorsTokens"), Field: "operatorsTokens", Severity: SeverityWarning,
			Message: "is stated without tls.operators, so that tokens are sent in plain text; tls.operators is recommended",
		})
	}
	return file
}
