package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

const usagePlan = `Show what a configuration would change: each field that differs from the
revision in force, with its old and its new value, and which changes would be
held. Nothing is applied. The overlays of all sites are required. The command
prints the revision on which the change is based, for "apply --from".

  laburnummux plan --base base.jsonc north-1.jsonc north-2.jsonc north-3.jsonc
  laburnummux plan --json --base base.jsonc north-*.jsonc` + usageExit

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show what a configuration would change", Description: usagePlan, ArgsUsage: "OVERLAY...",
		Flags:        append(authorFlags(), baseFlag(), overrideFlag()),
		OnUsageError: usageError, Action: runPlan,
	}
}

func runPlan(ctx context.Context, cmd *cli.Command) (err error) {
	body := newReviseRequest(cmd)
	if body.Sites, err = mergedSites(cmd); err != nil {
		return err
	}
	return submit(ctx, cmd, http.MethodPost, "/plan", body)
}
