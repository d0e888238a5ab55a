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
)

// accessFlags are the flags of every command that calls an entry host.
func accessFlags() []cli.Flag {
	return []cli.Flag{
		operatorsFlag(),
		&cli.StringFlag{
			Name: "token-file", Usage: "`FILE` with the operator's token", Sources: cli.EnvVars("LABURNUMMUX_TOKEN_FILE"),
		},
		&cli.StringFlag{
			Name: "ca", Usage: "`FILE` with the CA of the operators' listener; use TLS", Sources: cli.EnvVars("LABURNUMMUX_CA"),
		},
		&cli.StringFlag{Name: "cert", Usage: "`FILE` with the operator's certificate", Sources: cli.EnvVars("LABURNUMMUX_CERT")},
		&cli.StringFlag{Name: "key", Usage: "`FILE` with the certificate's key", Sources: cli.EnvVars("LABURNUMMUX_KEY")},
	}
}

// access is how a command reaches the operators' listener of an entry host.
type access struct {
	client *http.Client
	base   string
	token  string
}

// newAccess evaluates accessFlags.
func newAccess(cmd *cli.Command) (a *access, err error) {
	address := cmd.String("operators")
	a = &access{base: "http://" + address, client: &http.Client{
		// A redirect could take the token to another place.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	if f := cmd.String("token-file"); f != "" {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		if a.token = strings.TrimSpace(string(b)); a.token == "" {
			return nil, fmt.Errorf("%s is empty; a token is required", f)
		}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	files := certs.Files{Certificate: cmd.String("cert"), Key: cmd.String("key"), CA: cmd.String("ca")}
	if files == (certs.Files{}) {
		if ip := net.ParseIP(host); a.token != "" && (ip == nil || !ip.IsLoopback()) {
			return nil, fmt.Errorf("--token-file needs --ca for %s, which isn't a loopback address", address)
		}
		return a, nil
	}
	if files.CA == "" {
		return nil, errors.New("--cert and --key need --ca")
	}
	set, err := certs.Load("operators", files, zap.NewNop())
	if err != nil {
		return nil, err
	}
	a.base = "https://" + address
	a.client.Transport = &http.Transport{TLSClientConfig: set.Client(tls.VersionTLS13, host)}
	return a, nil
}

func (a *access) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, body)
	if err != nil {
		return nil, err
	}
	if a.token != "" {
		req.Header.Set("Authorization", "Bearer "+a.token)
	}
	return req, nil
}

// checkFiles reads the files that settings name.
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
