package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/entry"
)

// runStatusAll prints a line per entry host. The command fails if a host does not
// respond, because the list is incomplete then.
func runStatusAll(ctx context.Context, cmd *cli.Command) error {
	b, err := get(ctx, cmd, "/status?all=true")
	if err != nil {
		return err
	}
	var f entry.FleetStatus
	if err = json.Unmarshal(b, &f); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if cmd.Bool("json") {
		os.Stdout.Write(b)
	} else if err = printFleet(f); err != nil {
		return err
	}
	if len(f.Unresponsive) > 0 {
		return cli.Exit(fmt.Sprintf("status: %d of %d entry hosts did not respond", len(f.Unresponsive), len(f.Hosts)+len(f.Unresponsive)), exitFailed)
	}
	return nil
}

func printFleet(f entry.FleetStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tDATA CENTRE\tUP\tREADY\tREVISION\tIN FORCE SINCE\tIN FLIGHT")
	for _, s := range f.Hosts {
		up := (time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\n", s.Host, s.DataCentre, up, s.Ready, s.Revision,
			s.InForce.UTC().Format(time.RFC3339), s.InFlight)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range f.Unresponsive {
		fmt.Printf("no response from %s in %s: %s\n", n.Host, n.DataCentre, n.Reason)
	}
	return nil
}
