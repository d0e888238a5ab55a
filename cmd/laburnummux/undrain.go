package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

const usageUndrain = `End the drain of a backend server: it gets keys and requests again. This also
works for a server that the platform no longer lists.

  laburnummux undrain ledger-north-1-2` + usageExit

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", Usage: "end the drain of a backend server", Description: usageUndrain, ArgsUsage: "SERVER",
		Flags: authorFlags(), OnUsageError: usageError, Action: runUndrain,
	}
}

func runUndrain(ctx context.Context, cmd *cli.Command) error {
	return submitForServer(ctx, cmd, http.MethodDelete)
}
