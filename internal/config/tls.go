package config

import "github.com/laburnummux/laburnummux/internal/certs"

// TLS holds the certificate files of each kind of connection. Connections of a
// kind without files are not encrypted.
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

const fileNameRule = "the name of a file"

func isFileName(s string) bool { return s != "" }

func decodeTLS(o *object) (t TLS) {
	t.callers = decodeTLSSection(o, "callers", required, caForbidden)
	t.peers = decodeTLSSection(o, "peers", required, caRequired)
	t.operators = decodeTLSSection(o, "operators", required, caOptional)
	t.servers = decodeTLSSection(o, "servers", optional, caRequired)
	t.store = decodeTLSSection(o, "store", optional, caRequired)
	o.checkUnknownFields()
	return t
}

// caRule determines whether a section may or must have a CA.
type caRule int

const (
	caForbidden caRule = iota
	caOptional
	caRequired
)

// decodeTLSSection decodes the files of a section that may be absent. keyPair
// determines whether the section must have a certificate and its key.
func decodeTLSSection(parent *object, name string, keyPair presence, ca caRule) (f certs.Files) {
	present := parent.isSet(name)
	o := parent.object(name, optional)
	o.str("certificate", keyPair, &f.Certificate, fileNameRule, isFileName)
	o.str("key", keyPair, &f.Key, fileNameRule, isFileName)
	if ca != caForbidden {
		o.str("ca", presence(ca == caRequired), &f.CA, fileNameRule, isFileName)
	}
	o.checkUnknownFields()
	if present && keyPair == optional && o.isSet("certificate") != o.isSet("key") {
		o.addProblem("certificate", "and key must be stated together")
	}
	return f
}

// decodeOperatorsTokens decodes the name of the file with the operators' tokens.
// It warns if tokens are sent unencrypted: they can be intercepted, which is
// acceptable only on loopback addresses.
func decodeOperatorsTokens(o *object) (file string) {
	o.str("operatorsTokens", optional, &file, fileNameRule, isFileName)
	if _, ok := o.value.Find("tls", "operators"); file != "" && !ok {
		o.decoder.problems = append(o.decoder.problems, Problem{
			Origin: o.originOf("operatorsTokens"), Field: "operatorsTokens", Severity: SeverityWarning,
			Message: "is stated without tls.operators, so that tokens are sent in plain text; tls.operators is recommended",
		})
	}
	return file
}
