package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/apply"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/entry"
	"github.com/laburnummux/laburnummux/internal/merge"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Exit statuses of the operators' commands.
const (
	exitFailed   = 1 // no change was applied
	exitUsage    = 2
	exitConflict = 3 // another operator applied a revision first
	exitHeld     = 4 // the change requires a confirmation
	exitUnknown  = 5 // the change may be in force

	usageExit = `

Exit status: 0 success, 1 failed and nothing was applied, 2 wrong usage,
3 refused because another operator applied a revision first, 4 held until it is
confirmed, 5 unknown whether the change was applied.`
)

// authorFlags returns the flags of all commands that change the configuration.
func authorFlags() []cli.Flag {
	return append(connectFlags(), jsonFlag(),
		&cli.StringFlag{
			Name: "author", Usage: "`NAME` of the operator; a name in a certificate or token takes precedence",
			Sources: cli.EnvVars("LABURNUMMUX_AUTHOR", "USER"),
		},
		&cli.StringFlag{Name: "note", Usage: "reason for the change"})
}

func overrideFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "override", Usage: "confirm holds of this `KIND`, for example slots-lowered"}
}

func fromFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "from", Usage: "revision `N` on which the change is based"}
}

func baseFlag() cli.Flag { return &cli.StringFlag{Name: "base", Usage: "base `FILE`"} }

func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return usagef("%s: %v", cmd.Name, err)
}

func usagef(format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), exitUsage)
}

// newReviseRequest returns the request body for the flags of a command.
func newReviseRequest(cmd *cli.Command) entry.ReviseRequest {
	return entry.ReviseRequest{
		Author: cmd.String("author"), Note: cmd.String("note"), From: cmd.Uint64("from"), To: cmd.Uint64("to"),
		Override: cmd.StringSlice("override"),
	}
}

// mergedSites merges the base with each overlay given as an argument and returns
// the configurations by site.
func mergedSites(cmd *cli.Command) (sites map[keys.DataCentre]json.RawMessage, err error) {
	if cmd.String("base") == "" || cmd.NArg() == 0 {
		return nil, usagef("%s: --base and the overlay of every site are required", cmd.Name)
	}
	base, probs, err := config.Load(cmd.String("base"))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", cmd.Name, err)
	}
	sites = make(map[keys.DataCentre]json.RawMessage)
	for _, file := range cmd.Args().Slice() {
		overlay, more, err := config.Load(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", cmd.Name, err)
		}
		probs = append(probs, append(more, overlay.CheckOverlay()...)...)
		if probs.Err() != nil {
			return nil, printProblems(cmd, probs)
		}
		merged, more := merge.Merge(base, overlay)
		probs = append(probs, more...)
		if probs.Err() != nil {
			return nil, printProblems(cmd, probs)
		}
		site := merged.Config().Site()
		if _, ok := sites[site]; ok || site == "" {
			return nil, usagef("%s: %s: site %q is empty or given twice", cmd.Name, file, site)
		}
		if sites[site], err = config.Encode(merged.Config()); err != nil {
			return nil, fmt.Errorf("%s: %w", cmd.Name, err)
		}
	}
	return sites, printProblems(cmd, probs)
}

// submit sends a change to the operators' listener, prints the result and returns
// the error with the exit status.
func submit(ctx context.Context, cmd *cli.Command, method, path string, body entry.ReviseRequest) error {
	if body.Author == "" {
		return usagef("%s: --author is required", cmd.Name)
	}
	res, err := sendChange(ctx, cmd, method, path, body)
	if err != nil {
		var exit cli.ExitCoder
		if errors.As(err, &exit) {
			return exit
		}
		var dial *net.OpError
		if cmd.Name == "plan" || errors.As(err, &dial) && dial.Op == "dial" {
			return cli.Exit(fmt.Sprintf("%s: nothing was applied: %v", cmd.Name, err), exitFailed)
		}
		return cli.Exit(fmt.Sprintf("%s: unknown whether the change was applied: %v", cmd.Name, err), exitUnknown)
	}
	if cmd.Bool("json") {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		enc.Encode(res)
	} else {
		printResult(cmd, res)
	}
	return exitError(res.Outcome)
}

func sendChange(ctx context.Context, cmd *cli.Command, method, path string, body entry.ReviseRequest) (res apply.Result, err error) {
	b, err := json.Marshal(body)
	if err != nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	c, err := newOperatorClient(cmd)
	if err != nil {
		return res, usagef("%s: %v", cmd.Name, err)
	}
	req, err := c.newRequest(ctx, method, path, bytes.NewReader(b))
	if err != nil {
		return res, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusUnauthorized {
		return res, cli.Exit(cmd.Name+": nothing was applied: the entry host requires credentials", exitFailed)
	}
	if err = json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&res); err != nil {
		return res, fmt.Errorf("the entry host responded %s without a result: %w", resp.Status, err)
	}
	return res, nil
}

// exitError returns the error with the exit status of an outcome. It has no
// message, because the result has already been printed.
func exitError(o apply.Outcome) error {
	switch o {
	case apply.Accepted, apply.Unchanged:
		return nil
	case apply.Conflict:
		return cli.Exit("", exitConflict)
	case apply.Held:
		return cli.Exit("", exitHeld)
	case apply.Unknown:
		return cli.Exit("", exitUnknown)
	}
	return cli.Exit("", exitFailed)
}

func printResult(cmd *cli.Command, res apply.Result) {
	r := res.Revision
	switch plan := cmd.Name == "plan"; {
	case res.Outcome == apply.Accepted && plan:
		fmt.Printf("planned from revision %d; apply it with --from %d\n", res.From, res.From)
	case res.Outcome == apply.Accepted:
		fmt.Printf("accepted: revision %d by %s at %s\n", r.Number, r.Author, r.Time.Format(time.RFC3339))
	case res.Outcome == apply.Conflict:
		fmt.Printf("refused: %s\nrevision %d is by %s at %s, note: %q\n", res.Reason, r.Number, r.Author, r.Time.Format(time.RFC3339), r.Note)
	case res.Outcome == apply.Unknown:
		fmt.Printf("unknown: revision %d may be in force: %s\n", r.Number, res.Reason)
	case res.Outcome == apply.Held && plan:
		fmt.Printf("held: planned from revision %d: %s\n", res.From, res.Reason)
	case res.Outcome == apply.Unchanged:
		fmt.Printf("unchanged: revision %d: %s\n", r.Number, res.Reason)
	default:
		fmt.Printf("%s: %s\n", res.Outcome, res.Reason)
	}
	label := "hold"
	if res.Outcome == apply.Accepted {
		label = "confirmed"
	}
	for _, h := range res.Holds {
		fmt.Println(label, h)
	}
	if len(res.Changes) > 0 && res.Outcome == apply.Conflict {
		fmt.Println("changes by other operators since then:")
	}
	printChanges(res.Changes)
}

// printChanges prints the changes as a table. A change that is the same at
// several sites is printed once.
func printChanges(all []apply.Change) {
	if len(all) == 0 {
		return
	}
	sites := make(map[apply.Change][]string)
	var order []apply.Change
	for _, c := range all {
		k := c
		k.Site = ""
		if sites[k] == nil {
			order = append(order, k)
		}
		sites[k] = append(sites[k], string(c.Site))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SITE\tFIELD\tOLD\tNEW")
	for _, c := range order {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", orDash(strings.Join(slices.Compact(sites[c]), ",")), c.Field, orDash(c.Old), orDash(c.New))
	}
	w.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
