package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/merge"
)

const usageShow = `Print the service configuration of a site, which is the base merged with the
site's overlay, with the file and line of each value. Values that are in neither
file are marked as defaults. Without --overlay only the base is shown.

  laburnummux show --base base.jsonc --overlay north-1.jsonc
  laburnummux show --base base.jsonc --overlay north-1.jsonc --json`

func showCommand() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print a site's configuration with the origin of each value",
		Description: usageShow,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "base", Usage: "base `FILE`", Required: true},
			&cli.StringFlag{Name: "overlay", Usage: "overlay `FILE` of the site"},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON array"},
		},
		Action: runShow,
	}
}

func runShow(_ context.Context, cmd *cli.Command) (err error) {
	base, probs, err := config.Load(cmd.String("base"))
	if err != nil {
		return fmt.Errorf("show: %w", err)
	}
	var overlay config.Document
	if file := cmd.String("overlay"); file != "" {
		doc, more, err := config.Load(file)
		if err != nil {
			return fmt.Errorf("show: %w", err)
		}
		overlay, probs = doc, append(probs, more...)
		probs = append(probs, overlay.CheckOverlay()...)
	}
	if probs.Err() != nil {
		return printProblems(cmd, probs)
	}
	merged, more := merge.Merge(base, overlay)
	if err := printProblems(cmd, append(probs, more...)); err != nil {
		return err
	}
	entries, err := merged.Entries()
	if err != nil {
		return fmt.Errorf("show: %w", err)
	}
	if cmd.Bool("json") {
		return printJSON(cmd, entries)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 8, 2, ' ', 0)
	for _, e := range entries {
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.Field, e.Value, e.Origin)
	}
	return w.Flush()
}

// entryJSON is the JSON form of a merge.Entry.
type entryJSON struct {
	Field  string       `json:"field"`
	Value  config.Value `json:"value"`
	Origin string       `json:"origin"`
}

func printJSON(cmd *cli.Command, entries []merge.Entry) error {
	all := make([]entryJSON, len(entries))
	for i, e := range entries {
		all[i] = entryJSON{e.Field, e.Value, e.Origin.String()}
	}
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	return enc.Encode(all)
}
