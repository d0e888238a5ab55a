package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/replay"
)

const usageReplay = `Replay recorded traces against the ownership decisions in simulated time and
compare the results with the expected outcome in each trace. No process is
started and no address is used. The results of a trace are the same in every run.

The output has the figures of each trace with their bounds. The exit status is 1
if an expected outcome isn't met.

  laburnummux replay internal/replay/testdata/wedding-season.jsonc
  laburnummux replay --json trace.jsonc`

var errNotMet = errors.New("replay: an expected outcome is not met")

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:        "replay",
		Usage:       "replay traces and check their expected outcomes",
		ArgsUsage:   "FILE...",
		Description: usageReplay,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON"},
		},
		Action: runReplay,
	}
}

func runReplay(_ context.Context, cmd *cli.Command) (err error) {
	if cmd.Args().Len() == 0 {
		return errors.New("replay: no file given")
	}
	var traces []replay.Trace
	for _, file := range cmd.Args().Slice() {
		t, err := replay.Read(file)
		if err != nil {
			return err
		}
		traces = append(traces, t)
	}
	met := true
	var results []replay.Result
	for _, t := range traces {
		r := replay.Play(t)
		met = met && r.Met
		results = append(results, r)
		if !cmd.Bool("json") {
			if err := printReplay(cmd.Root().Writer, r); err != nil {
				return err
			}
		}
	}
	if cmd.Bool("json") {
		enc := json.NewEncoder(cmd.Root().Writer)
		enc.SetIndent("", "  ")
		if err := enc.Encode(results); err != nil {
			return fmt.Errorf("replay: %w", err)
		}
	}
	if !met {
		return errNotMet
	}
	return nil
}

func printReplay(out io.Writer, r replay.Result) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	verdict := "met"
	if !r.Met {
		verdict = "NOT MET"
	}
	fmt.Fprintf(w, "%s\t%s\toutcome %s\n", r.Name, r.Policy, verdict)
	for _, v := range r.Verdicts {
		mark := ""
		if !v.Met {
			mark = "not met"
		}
		fmt.Fprintf(w, "  %s\t%.4g\tbound %.4g\t%s\n", v.Figure, v.Value, v.Bound, mark)
	}
	f := r.Figures
	fmt.Fprintf(w, "  imbalance\t%.3f mean\t%.3f peak\n", f.ImbalanceMean, f.ImbalancePeak)
	fmt.Fprintf(w, "  churn\t%.2f\t%.3f of the load moved\n", f.Churn, f.MovedShare)
	fmt.Fprintf(w, "  unavailable\t%.2f key-s\tlongest gap %d ms, until %d ms\n", f.UnavailableKeySeconds, f.LongestGap, f.LongestGapAt)
	fmt.Fprintf(w, "  moves\t%d keys\t%d ranges\n", f.KeyMoves, f.RangeMoves)
	fmt.Fprintf(w, "  elections\t%d\n", f.Elections)
	fmt.Fprintf(w, "  control, per host\t%.1f messages/s\t%.0f bytes/s\n\n", f.MessagesPerHostSec, f.BytesPerHostSec)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	return nil
}
