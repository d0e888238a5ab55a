package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/auth"
	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/head"
)

// connectFlags returns the flags of all commands that call an entry host.
func connectFlags() []cli.Flag {
	return []cli.Flag{
		operatorsFlag(),
		&cli.StringFlag{
			Name: "token-file", Usage: "`FILE` with the operator's token", Sources: cli.EnvVars("LABURNUMMUX_TOKEN_FILE"),
		},
		&cli.StringFlag{
			Name: "ca", Usage: "`FILE` with the CA of the operators' listener; enables TLS", Sources: cli.EnvVars("LABURNUMMUX_CA"),
		},
		&cli.StringFlag{Name: "cert", Usage: "`FILE` with the operator's certificate", Sources: cli.EnvVars("LABURNUMMUX_CERT")},
		&cli.StringFlag{Name: "key", Usage: "`FILE` with the private key of the certificate", Sources: cli.EnvVars("LABURNUMMUX_KEY")},
	}
}

// operatorClient calls the operators' listener of an entry host.
type operatorClient struct {
	http  *http.Client
	base  string // URL without a path
	token string // empty: no Authorization header
}

// newOperatorClient returns a client that is configured by connectFlags.
func newOperatorClient(cmd *cli.Command) (c *operatorClient, err error) {
	address := cmd.String("operators")
	c = &operatorClient{base: "http://" + address, http: &http.Client{
		Transport: head.NewTransport(http.DefaultTransport.(*http.Transport).Clone(), nil),
		// Redirects are not followed: they could send the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	if f := cmd.String("token-file"); f != "" {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		if c.token = strings.TrimSpace(string(b)); c.token == "" {
			return nil, fmt.Errorf("the token file %s is empty; a token is required", f)
		}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	files := certs.Files{Certificate: cmd.String("cert"), Key: cmd.String("key"), CA: cmd.String("ca")}
	if files == (certs.Files{}) {
		if ip := net.ParseIP(host); c.token != "" && (ip == nil || !ip.IsLoopback()) {
			return nil, fmt.Errorf("--token-file requires --ca for %s, which isn't a loopback address", address)
		}
		return c, nil
	}
	if files.CA == "" {
		return nil, errors.New("--cert and --key require --ca")
	}
	src, err := certs.Load("operators", files, zap.NewNop())
	if err != nil {
		return nil, err
	}
	c.base = "https://" + address
	c.http.Transport = head.NewTransport(&http.Transport{TLSClientConfig: src.Client(tls.VersionTLS13, host)}, nil)
	return c, nil
}

func (c *operatorClient) newRequest(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// checkFiles loads the certificates, keys and tokens that the settings name and
// reports the errors as problems.
func checkFiles(doc config.Document, s config.Settings) (probs config.Problems) {
	add := func(err error, path ...string) {
		if err != nil {
			v, _ := doc.Root().Find(path...)
			probs = append(probs, config.Problem{Origin: v.Origin(), Field: strings.Join(path, "."), Message: err.Error()})
		}
	}
	t := s.TLS()
	for _, x := range []struct {
		name  string
		files certs.Files
	}{
		{"callers", t.Callers()}, {"peers", t.Peers()}, {"operators", t.Operators()},
		{"servers", t.Servers()}, {"store", t.Store()},
	} {
		if x.files != (certs.Files{}) {
			_, err := certs.Load(x.name, x.files, zap.NewNop())
			add(err, "tls", x.name)
		}
	}
	if f := s.OperatorsTokens(); f != "" {
		_, err := auth.LoadTokens(f, zap.NewNop())
		add(err, "operatorsTokens")
	}
	return probs
}
