package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/soak"
)

const usageSoak = `Run entry hosts of the users' platform as separate processes, with fakes of the
platform's services, inject faults and check the guarantees to callers. Addresses
are 127.64.0.0 to 127.127.0.255; seeds that differ by a multiple of 64 can't run
at the same time.

The exit status is 1 if a guarantee was violated. The settings and logs of the
hosts are written to the directory of --dir; without it they are deleted.

  laburnummux soak --seed 1 --seeds 5
  laburnummux soak --seed 31 --hosts 5 --servers 8 --length 60s --dir /tmp/soak`

// maxPrinted bounds the violations that are printed for a seed. The report
// contains all of them.
const maxPrinted = 10

var errViolated = errors.New("soak: a guarantee was violated")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:        "soak",
		Usage:       "inject faults into processes and check the guarantees to callers",
		Description: usageSoak,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds", Value: 1},
			&cli.IntFlag{Name: "hosts", Usage: "`NUMBER` of entry hosts", Value: 3},
			&cli.IntFlag{Name: "servers", Usage: "`NUMBER` of backend servers", Value: 6},
			&cli.DurationFlag{Name: "length", Usage: "`TIME` during which faults are injected", Value: 12 * time.Second},
			&cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` for the hosts' settings and logs"},
			&cli.StringFlag{Name: "report", Usage: "`FILE` for the summaries as JSON"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) (err error) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM) // so that the hosts are stopped with the command
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	dir := cmd.String("dir")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "laburnummux-soak-"); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	}
	var summaries []soak.Summary
	violated := false
	for i := range uint64(cmd.Int("seeds")) {
		cfg := soak.Config{
			Seed: cmd.Uint64("seed") + i, Hosts: cmd.Int("hosts"), Servers: cmd.Int("servers"),
			Length: clock.FromStd(cmd.Duration("length")), Command: []string{self, "front"},
		}
		cfg.Dir = filepath.Join(dir, fmt.Sprint(cfg.Seed))
		if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		sum, err := soak.Run(ctx, cfg)
		if err != nil {
			return err
		}
		summaries = append(summaries, sum)
		violated = violated || len(sum.Violations) > 0
		if err := printSummary(cmd.Root().Writer, sum); err != nil {
			return err
		}
	}
	if file := cmd.String("report"); file != "" {
		b, err := json.MarshalIndent(summaries, "", "  ")
		if err == nil {
			err = os.WriteFile(file, b, 0o600)
		}
		if err != nil {
			return fmt.Errorf("soak: report: %w", err)
		}
	}
	if violated {
		return errViolated
	}
	return nil
}

func printSummary(out io.Writer, s soak.Summary) error {
	steps := 0
	for _, n := range s.Steps {
		steps += n
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d\t%d steps\t%d of %d requests served\tlongest gap %d ms\tserved again after %d ms\t%d violations\n",
		s.Seed, steps, s.Served, s.Requests, s.LongestGap, s.RecoveryTime, len(s.Violations))
	for _, v := range s.Violations[:min(len(s.Violations), maxPrinted)] {
		fmt.Fprintf(w, "  %s\t%s\n", v.Rule, v.Text)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}
