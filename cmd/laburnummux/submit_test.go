package main

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

// Guards against exit statuses by which a script takes a refused, held or unknown
// change for an applied one, or an applied one for a failure.
func TestExitStatus(t *testing.T) {
	tests := []struct {
		name, response string // body of the host's response; "abort" closes the connection
		args           string
		want           int
	}{
		{"accepted", `{"outcome":"accepted"}`, "drain s", 0},
		{"unchanged", `{"outcome":"unchanged"}`, "undrain s", 0},
		{"raced", `{"outcome":"raced"}`, "rollback --from 3 --to 2", exitConflict},
		{"held", `{"outcome":"held","holds":["x"]}`, "rollback --from 3 --to 2", exitHeld},
		{"refused", `{"outcome":"refused"}`, "drain s", exitFailed},
		{"store down", `{"outcome":"unavailable"}`, "drain s", exitFailed},
		{"unknown", `{"outcome":"unknown"}`, "drain s", exitUnknown},
		{"no result", `Bad Gateway`, "drain s", exitUnknown},
		{"connection closed", "abort", "drain s", exitUnknown},
		{"connection refused", "", "drain --operators 127.0.0.1:1 s", exitFailed},
		{"no server", "", "drain", exitUsage},
		{"unknown flag", "", "drain --force s", exitUsage},
		{"apply without from", "", "apply --base b.jsonc o.jsonc", exitUsage},
		{"plan without files", "", "plan", exitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.response == "abort" {
					panic(http.ErrAbortHandler)
				}
				w.Write([]byte(tt.response))
			}))
			defer srv.Close()
			t.Setenv("LABURNUMMUX_OPERATORS", strings.TrimPrefix(srv.URL, "http://"))
			t.Setenv("LABURNUMMUX_AUTHOR", "moana")
			app := &cli.Command{
				Commands:       []*cli.Command{planCommand(), applyCommand(), rollbackCommand(), drainCommand(), undrainCommand()},
				ExitErrHandler: func(context.Context, *cli.Command, error) {},
			}
			err := app.Run(t.Context(), append([]string{"laburnummux"}, strings.Fields(tt.args)...))
			got := 0
			var exit cli.ExitCoder
			if errors.As(err, &exit) {
				got = exit.ExitCode()
			} else if err != nil {
				got = exitFailed
			}
			is.Equal(got, tt.want)
		})
	}
}
