package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/platform/fakes"
)

// Guards against an exit status or an output by which a script takes a configuration
// with findings, or one that couldn't be read, for one without.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, doc string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	routes := []fakes.Route{{Name: "browse", Kind: "safe", Service: "catalogue", Timeout: "1000ms"}}
	doc := string(fakes.Configuration(7, []string{"catalogue"}, nil, routes))
	valid, next := write("valid.json", doc), write("next.json", strings.NewReplacer("r7", "r8", "1000ms", "900ms").Replace(doc))
	unused := write("unused.json", string(fakes.Configuration(7, []string{"catalogue", "other"}, nil, routes)))
	invalid := write("invalid.json", strings.Replace(doc, "r7", "next", 1))
	tests := []struct {
		args string
		want int
		out  []string // beginnings of the lines after the directory
	}{
		{valid, 0, nil},
		{valid + " --against " + valid, 0, nil},
		{"--against " + valid + " " + next, 0, []string{`next.json:1: version: "r7" becomes "r8"`, `next.json:3: hosts[0].paths[0].timeout: "1000ms" becomes "900ms"`}},
		{valid + " --against " + next, 1, []string{"valid.json:1: version: warning: isn't above", "valid.json:1: version: ", "valid.json:3: "}},
		{unused, 1, []string{`unused.json:1: services[1].name: warning: no route uses service "other"`}},
		{invalid, 1, []string{"invalid.json:1: version: "}},
		{invalid + " --against " + valid, 1, []string{"invalid.json:1: version: "}},
		{valid + " --against " + write("broken.json", "{"), 1, []string{"broken.json:1: "}},
		{"", exitUsage, nil},
		{valid + " " + next, exitUsage, nil},
		{"--strict " + valid, exitUsage, nil},
		{filepath.Join(dir, "missing.json"), exitUsage, nil},
		{valid + " --against " + filepath.Join(dir, "missing.json"), exitUsage, nil},
	}
	for _, tt := range tests {
		t.Run(strings.ReplaceAll(tt.args, dir, ""), func(t *testing.T) {
			is := is.New(t)
			out, status := runConfigCheckApp(t, strings.Fields(tt.args)...)
			is.Equal(status, tt.want)
			if status == exitUsage {
				return
			}
			lines := strings.Split(strings.TrimSuffix(out, "\n"), "\n")
			if out == "" {
				lines = nil
			}
			is.Equal(len(lines), len(tt.out))
			for i, line := range lines {
				is.True(strings.HasPrefix(line, dir+"/"+tt.out[i])) // the line
			}
			out, status = runConfigCheckApp(t, append(strings.Fields(tt.args), "--json")...)
			is.Equal(status, tt.want)
			var r configReport
			is.NoErr(json.Unmarshal([]byte(out), &r))
			is.Equal(len(r.Findings)+len(r.Differences), len(tt.out))
			for _, f := range r.Findings {
				is.True(f.File != "" && f.Line > 0 && f.Message != "" && f.Severity != "")
			}
		})
	}
}

// runConfigCheckApp runs config-check, and returns its output and exit status.
func runConfigCheckApp(t *testing.T, args ...string) (string, int) {
	var out bytes.Buffer
	app := &cli.Command{
		Name: "laburnummux", Commands: []*cli.Command{configCheckCommand()}, Writer: &out, ErrWriter: &bytes.Buffer{},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(t.Context(), append([]string{"laburnummux", "config-check"}, args...))
	var exit cli.ExitCoder
	switch {
	case errors.As(err, &exit):
		return out.String(), exit.ExitCode()
	case err != nil:
		return out.String(), exitFailed
	}
	return out.String(), 0
}
