// Command laburnummux routes requests to backend servers that own their keys
// exclusively. Run "laburnummux help" for the subcommands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is set by the linker for releases.
var version = "0.1.0-dev"

func main() {
	app := &cli.Command{
		Name:                  "laburnummux",
		Usage:                 "route requests to backend servers that own their keys",
		Version:               version,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			checkCommand(),
			configCheckCommand(),
			showCommand(),
			serveCommand(),
			frontCommand(),
			devCommand(),
			planCommand(),
			applyCommand(),
			rollbackCommand(),
			drainCommand(),
			undrainCommand(),
			revisionCommand(),
			statusCommand(),
			ownerCommand(),
			dumpCommand(),
			replayCommand(),
			soakCommand(),
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "laburnummux:", err)
		os.Exit(1)
	}
}
