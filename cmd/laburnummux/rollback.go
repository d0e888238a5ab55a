package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

const usageRollback = `Put the configuration of an earlier revision in force again, as a new revision
with the next number. The last 64 replaced revisions are kept. Drains of backend
servers are not changed. --from defaults to the revision in force at the entry
host; if it has been replaced in the meantime, the rollback is refused.

  laburnummux rollback --to 6 --note "7 was too slow"
  laburnummux rollback --from 7 --to 6` + usageExit

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name: "rollback", Usage: "put an earlier configuration in force again", Description: usageRollback,
		Flags: append(authorFlags(), overrideFlag(), fromFlag(),
			&cli.Uint64Flag{Name: "to", Usage: "revision `N` to restore"}),
		OnUsageError: usageError, Action: runRollback,
	}
}

func runRollback(ctx context.Context, cmd *cli.Command) error {
	if cmd.Uint64("to") == 0 || cmd.NArg() > 0 {
		return usagef("rollback: --to with a revision is required and no arguments are allowed")
	}
	body := newReviseRequest(cmd)
	if !cmd.IsSet("from") {
		r, err := currentRevision(ctx, cmd)
		if err != nil {
			return err
		}
		body.From = r.Number
	}
	return submit(ctx, cmd, http.MethodPost, "/rollback", body)
}
