package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/front"
	"github.com/laburnummux/laburnummux/internal/logs"
	"github.com/laburnummux/laburnummux/platform"
)

const usageFront = `Run an entry host on the users' platform. The environment variable
` + platform.SettingsVariable + ` has the name of the settings file.

  laburnummux front --metrics 9464`

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:        "front",
		Usage:       "run an entry host on the users' platform",
		Description: usageFront,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics", Usage: "`PORT` of the metrics listener", Value: "9464"},
			&cli.StringFlag{Name: "level", Usage: "minimum `LEVEL` of log lines", Value: "info"},
			&cli.StringSliceFlag{Name: "disable", Usage: "comma-separated `LIST` of features to disable: " + strings.Join(front.FeatureNames(), ", "), Config: cli.StringConfig{TrimSpace: true}},
		},
		Action: runFront,
	}
}

func runFront(ctx context.Context, cmd *cli.Command) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("front: %w", err)
		}
	}()
	signal.Ignore(syscall.SIGHUP) // must not end the process before the host handles it as a reload
	disabled, err := front.ParseFeatures(cmd.StringSlice("disable"))
	if err != nil {
		return fmt.Errorf("--disable: %w", err)
	}
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	settings.Disabled = disabled
	settings.LimitMemory()
	if port := cmd.String("metrics"); port != "" {
		settings.Metrics = settings.IP + ":" + port
	}
	level, err := zap.ParseAtomicLevel(cmd.String("level"))
	if err != nil {
		return err
	}
	sink := logs.NewSink(os.Stdout)
	sinkCtx, stopSink := context.WithCancel(context.WithoutCancel(ctx))
	w := &logWriter{sink: sink, done: make(chan error, 1)}
	go w.run(sinkCtx)
	defer func() {
		stopSink()
		if e := <-w.done; err == nil {
			err = e
		}
	}()
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(settings.GracePeriod.Std()),
		fx.Supply(settings, logs.New(sink, level.Level())),
		fx.Provide(newFront),
		fx.Invoke(func(*front.Host) {}),
	)
	return runApp(ctx, app)
}

// logWriter writes the queued log lines to stdout.
type logWriter struct {
	sink *logs.Sink
	done chan error
}

func (w *logWriter) run(ctx context.Context) { w.done <- w.sink.Run(ctx) }

func newFront(lc fx.Lifecycle, s front.Settings, log *zap.Logger) *front.Host {
	var h *front.Host
	st := platform.NewStore(s.Store, log, func(call string, err error) { h.CountStoreCall(call, err) })
	h = front.New(front.Config{
		Settings: s, Store: st, Granter: platform.NewGranter(), Codec: platform.Codec{}, ReadyPath: platform.ReadyPath,
		Reload: func() (front.Settings, error) { return platform.LoadSettings(os.Getenv(platform.SettingsVariable)) },
		Log:    log, Registry: prometheus.NewRegistry(),
	})
	lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
	return h
}
