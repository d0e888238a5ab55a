package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

const usageApply = `Put a configuration in force at all sites. It is accepted only if the revision
given by --from, which "plan" prints, is still in force; otherwise the command
prints who applied another revision and what it changed. To apply a change that
is held, confirm the hold with --override and its kind.

  laburnummux apply --from 7 --note "more slots" --base base.jsonc north-1.jsonc north-2.jsonc north-3.jsonc
  laburnummux apply --from 7 --override slots-lowered --base base.jsonc north-*.jsonc` + usageExit

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put a configuration in force", Description: usageApply, ArgsUsage: "OVERLAY...",
		Flags:        append(authorFlags(), baseFlag(), overrideFlag(), fromFlag()),
		OnUsageError: usageError, Action: runApply,
	}
}

func runApply(ctx context.Context, cmd *cli.Command) (err error) {
	if !cmd.IsSet("from") {
		return usagef("apply: --from with the revision that plan printed is required")
	}
	body := newReviseRequest(cmd)
	if body.Sites, err = mergedSites(cmd); err != nil {
		return err
	}
	return submit(ctx, cmd, http.MethodPost, "/apply", body)
}
