package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/devel"
)

const usageDev = `Run a small example system in one process, on loopback addresses: a fake of the
platform's store, one entry host per data centre and two backend servers per
service and data centre. It runs until it is stopped.

  laburnummux dev
  laburnummux dev --hosts 3

The first address that it prints serves fault injection, for example:

  curl -X POST http://127.0.0.1:7000/servers/ledger-north-1-1/kill
  curl -X POST http://127.0.0.1:7000/servers/ledger-north-1-1/restart
  curl -X POST 'http://127.0.0.1:7000/fake/outage?mode=refuse'`

const (
	devPort = 7000
	// devServiceTime is the time that a backend server takes for a request.
	devServiceTime = 2 * clock.Millisecond
	// stopMargin is added to the drain timeout to bound a graceful stop.
	stopMargin = 30 * time.Second
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:        "dev",
		Usage:       "run a small example system",
		Description: usageDev,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "port", Usage: "first `PORT`", Value: devPort},
			&cli.IntFlag{Name: "hosts", Usage: "entry hosts per data centre", Value: 1},
			&cli.IntFlag{Name: "servers", Usage: "backend servers per service and data centre", Value: 2},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, cmd *cli.Command) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dev: %w", err)
		}
	}()
	log, err := newLogger(config.LevelWarn)
	if err != nil {
		return err
	}
	cfg := devel.Config{
		Port: cmd.Int("port"), Hosts: cmd.Int("hosts"), Servers: cmd.Int("servers"), ServiceTime: devServiceTime, Log: log,
	}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopMargin),
		fx.Invoke(func(lc fx.Lifecycle) {
			var s *devel.System
			lc.Append(fx.Hook{
				OnStart: func(ctx context.Context) (err error) {
					if s, err = devel.Start(ctx, cfg); err != nil {
						return err
					}
					fmt.Print(s.Overview())
					if err = s.WaitOwned(ctx); err != nil {
						return err
					}
					fmt.Println("all keys have an owner; stop with Ctrl-C")
					return nil
				},
				OnStop: func(ctx context.Context) error { return s.Stop(ctx) },
			})
		}),
	)
	return runApp(ctx, app)
}
