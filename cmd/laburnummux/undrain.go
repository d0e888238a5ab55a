package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

const usageUndrain = `Give a drained backend server keys and requests again. A server that the
platform doesn't list any more can be undrained, too.

  laburnummux undrain ledger-north-1-2` + usageExit

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", Usage: "end the drain of a backend server", Description: usageUndrain, ArgsUsage: "SERVER",
		Flags: authorFlags(), OnUsageError: usageError, Action: runUndrain,
	}
}

func runUndrain(ctx context.Context, cmd *cli.Command) error {
	return operateServer(ctx, cmd, http.MethodDelete)
}
