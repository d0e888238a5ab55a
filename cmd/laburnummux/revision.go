package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/apply"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const usageRevision = `Show the configuration revision in force at an entry host: its number, author
and note, and the drained backend servers. With --json the configuration of
all sites is printed, too.

  laburnummux revision
  laburnummux revision --json` + usageExit

func revisionCommand() *cli.Command {
	return &cli.Command{
		Name: "revision", Usage: "show the configuration revision in force", Description: usageRevision,
		Flags: append(connectFlags(), jsonFlag()), OnUsageError: usageError, Action: runRevision,
	}
}

// revision has the fields of an entry.Revision that the commands use.
type revision struct {
	apply.RevisionInfo
	Since  time.Time                           `json:"inForceSince"`
	Drains []keys.Server                       `json:"drains"`
	Sites  map[keys.DataCentre]json.RawMessage `json:"sites"`
}

// currentRevision returns the revision that the entry host uses now.
func currentRevision(ctx context.Context, cmd *cli.Command) (r revision, err error) {
	b, err := get(ctx, cmd, "/revision")
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(b, &r)
}

func runRevision(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("json") {
		b, err := get(ctx, cmd, "/revision")
		os.Stdout.Write(b)
		return err
	}
	r, err := currentRevision(ctx, cmd)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d by %s at %s\nnote: %s\nin force here since %s\nsites: %d\ndrained servers: %v\n", r.Number, r.Author,
		r.Time.Format(time.RFC3339), orDash(r.Note), r.Since.UTC().Format(time.RFC3339), len(r.Sites), r.Drains)
	return nil
}
