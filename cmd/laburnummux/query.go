package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/state"
)

const (
	usageStatus = `Show the status of an entry host: the configuration revision in force, each cell
with its assigner, and each backend server with its dispatcher. With --all the
entry host queries all entry hosts of the host list for their revisions; the
exit status is 1 if one doesn't respond.

  laburnummux status --operators 127.0.0.1:7104
  laburnummux status --all
  laburnummux status --operators 127.0.0.1:7104 --json`

	usageOwner = `Show the backend server that owns a key, the entry host that dispatches to it,
and the fencing token. The exit status is 1 if the key has no owner.

  laburnummux owner --operators 127.0.0.1:7104 ledger tin-42`

	usageDump = `Print the internal state of an entry host as JSON.

  laburnummux dump --operators 127.0.0.1:7104`

	clientTimeout = 5 * time.Second
	maxResponse   = 64 << 20 // bytes; a dump is the largest
)

func operatorsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "operators", Usage: "`ADDRESS` of the operators' listener of an entry host", Value: "127.0.0.1:7104",
		Sources: cli.EnvVars("LABURNUMMUX_OPERATORS"),
	}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the status of an entry host", Description: usageStatus,
		Flags:        append(connectFlags(), jsonFlag(), &cli.BoolFlag{Name: "all", Usage: "query all entry hosts"}),
		OnUsageError: usageError, Action: runStatus,
	}
}

func ownerCommand() *cli.Command {
	return &cli.Command{
		Name: "owner", Usage: "show the owner of a key", Description: usageOwner, ArgsUsage: "SERVICE KEY",
		Flags: append(connectFlags(), jsonFlag()), Action: runOwner,
	}
}

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name: "dump", Usage: "print the internal state of an entry host", Description: usageDump,
		Flags: connectFlags(), Action: runDump,
	}
}

// get returns the response body of a GET request to the operators' listener.
func get(ctx context.Context, cmd *cli.Command, path string) (b []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s: %w", cmd.Name, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	c, err := newOperatorClient(cmd)
	if err != nil {
		return nil, err
	}
	req, err := c.newRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if b, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse)); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the entry host responded %s: %s", resp.Status, b)
	}
	return b, nil
}

func runDump(ctx context.Context, cmd *cli.Command) error {
	b, err := get(ctx, cmd, "/dump")
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(b)
	return err
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("all") {
		return runStatusAll(ctx, cmd)
	}
	b, err := get(ctx, cmd, "/status")
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		_, err = os.Stdout.Write(b)
		return err
	}
	var s state.Host
	if err = json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	fmt.Printf("host %s in %s, up %s, ready: %s\nconfiguration revision %d, in force since %s\n\n", s.Host, s.DataCentre,
		(time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second), s.Ready, s.Revision, s.InForce.Format(time.RFC3339))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CELL\tOWNED\tIMBALANCE\tMOVED\tUNOWNED\tLONGEST GAP")
	for _, c := range s.Cells {
		fmt.Fprintf(w, "%s\t%.2f%%\t%.2f\t%.2f\t%s\t%s\n", c.Cell, 100*c.Owned, c.Imbalance, c.Moved, c.Unowned.Std(), c.LongestGap.Std())
	}
	if err = w.Flush(); err != nil {
		return err
	}
	fmt.Println()
	fmt.Fprintln(w, "CELL\tASSIGNER\tVERSION\tSTORED\tSERVER\tDISPATCHER\tRANGES\tSHARE")
	for _, c := range s.Cells {
		for _, v := range c.Servers {
			fmt.Fprintf(w, "%s\t%s\t%d.%d\t%v\t%s\t%s\t%d\t%.1f%%\n",
				c.Cell, c.Assigner, c.Term, c.Version, c.Stored, v.Server, v.Dispatcher, v.Ranges, 100*v.Share)
		}
	}
	return w.Flush()
}

func runOwner(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 2 {
		return cli.Exit("owner: a service and a key are required", 2)
	}
	b, err := get(ctx, cmd, "/owner/"+url.PathEscape(cmd.Args().Get(0))+"/"+url.PathEscape(cmd.Args().Get(1)))
	if err != nil {
		return err
	}
	var o state.Owner
	if err = json.Unmarshal(b, &o); err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	if cmd.Bool("json") {
		os.Stdout.Write(b)
	} else if o.Reason == "" {
		fmt.Printf("key %s of %s (hash %s) is owned by %s in %s\nreached through %s, fencing token %s, stored: %v\n",
			o.Key, o.Service, o.Hash, o.Server, o.DataCentre, o.Dispatcher, o.Fence, o.Stored)
	}
	if o.Reason != "" {
		return cli.Exit("owner: the key has no known owner: "+o.Reason, 1)
	}
	return nil
}
