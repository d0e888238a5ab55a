package main

import (
	"context"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"
)

const usageDrain = `Move all keys off a backend server and send it no new requests, until "undrain".
The drain is a part of the configuration, so it persists if a host is lost. The
drain of the last server of a cell is held; --override last-server confirms it.

  laburnummux drain --note "disk is noisy" ledger-north-1-2` + usageExit

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "move all keys off a backend server", Description: usageDrain, ArgsUsage: "SERVER",
		Flags: append(authorFlags(), overrideFlag()), OnUsageError: usageError, Action: runDrain,
	}
}

func runDrain(ctx context.Context, cmd *cli.Command) error {
	return submitForServer(ctx, cmd, http.MethodPost)
}

// submitForServer submits a drain or its end for the server in the argument.
func submitForServer(ctx context.Context, cmd *cli.Command, method string) error {
	if cmd.NArg() != 1 {
		return usagef("%s: the name of one backend server is required", cmd.Name)
	}
	return submit(ctx, cmd, method, "/drain/"+url.PathEscape(cmd.Args().First()), newReviseRequest(cmd))
}
