package fakes

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/laburnummux/laburnummux/internal/certs"
)

// Authority is a certificate authority for tests. It keeps its files in a
// directory.
type Authority struct {
	dir, file string
	cert      *x509.Certificate
	key       *ecdsa.PrivateKey
}

// NewAuthority creates a CA and writes its certificate to NAME.pem.
func NewAuthority(dir, name string) (a *Authority, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fakes.NewAuthority: %w", err)
		}
	}()
	a = &Authority{dir: dir, file: filepath.Join(dir, name+".pem")}
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, writePEM(a.file, "CERTIFICATE", der)
}

// CAFile returns the path of the CA's certificate.
func (a *Authority) CAFile() string { return a.file }

// Issue writes a certificate and its key to NAME.pem and NAME.key. The
// certificate is valid from an hour ago until valid from now. Its common name
// is NAME; names are its IP addresses, URIs with a scheme, and DNS names.
func (a *Authority) Issue(name string, valid time.Duration, names ...string) (f certs.Files, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fakes.Issue: %w", err)
		}
	}()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(valid), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else if u, err := url.Parse(n); err == nil && u.Scheme != "" {
			template.URIs = append(template.URIs, u)
		} else {
			template.DNSNames = append(template.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, err
	}
	pkcs, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, err
	}
	f = certs.Files{Certificate: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), CA: a.file}
	if err = writePEM(f.Certificate, "CERTIFICATE", der); err != nil {
		return f, err
	}
	return f, writePEM(f.Key, "PRIVATE KEY", pkcs)
}

func serial() *big.Int { return big.NewInt(time.Now().UnixNano()) }

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
