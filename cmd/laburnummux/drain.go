package main

import (
	"context"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"
)

const usageDrain = `Move all keys off a backend server and give it no new requests, until "undrain".
The order is a part of the configuration, so it outlasts the loss of any host.
The drain of the last server of a cell is held; --override last-server confirms
it.

  laburnummux drain --note "disk is noisy" ledger-north-1-2` + usageExit

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "move all keys off a backend server", Description: usageDrain, ArgsUsage: "SERVER",
		Flags: append(authorFlags(), overrideFlag()), OnUsageError: usageError, Action: runDrain,
	}
}

func runDrain(ctx context.Context, cmd *cli.Command) error {
	return operateServer(ctx, cmd, http.MethodPost)
}

func operateServer(ctx context.Context, cmd *cli.Command, method string) error {
	if cmd.NArg() != 1 {
		return usagef("%s: needs the name of a backend server", cmd.Name)
	}
	return operate(ctx, cmd, method, "/drain/"+url.PathEscape(cmd.Args().First()), reviseOf(cmd))
}
