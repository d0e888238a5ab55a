package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/entry"
	"github.com/laburnummux/laburnummux/internal/store"
)

const usageServe = `Run an entry host. It stops gracefully on SIGTERM and SIGINT: it fails the
balancer's readiness check, hands its backend servers over to other hosts and
completes the requests in flight.

  laburnummux serve --settings host.jsonc`

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run an entry host",
		Description: usageServe,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this host", Required: true},
		},
		Action: runServe,
	}
}

func runServe(ctx context.Context, cmd *cli.Command) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("serve: %w", err)
		}
	}()
	settings, err := config.LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	entry.LimitMemory(settings)
	log, err := newLogger(settings.LogLevel())
	if err != nil {
		return err
	}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		// The host waits for its requests up to the drain timeout; fx must not
		// time out before.
		fx.StopTimeout(settings.DrainTimeout().Std()+stopMargin),
		fx.Supply(settings, log),
		fx.Provide(newStoreCerts, newStore, newHost),
		fx.Invoke(func(*entry.Host) {}),
	)
	return runApp(ctx, app)
}

// runApp runs an fx application until a signal or a component stops it.
func runApp(ctx context.Context, app *fx.App) (err error) {
	if err = app.Start(ctx); err != nil {
		return err
	}
	sig := <-app.Wait()
	stop, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	if err = app.Stop(stop); err != nil {
		return err
	}
	if sig.ExitCode != 0 {
		return cli.Exit(errors.New("a component failed; see the log"), sig.ExitCode)
	}
	return nil
}

// newStoreCerts returns the certificates for calls to the store, or nil if the
// settings have no CA for it.
func newStoreCerts(s config.Settings, log *zap.Logger) (*certs.Source, error) {
	if s.TLS().Store().CA == "" {
		return nil, nil
	}
	return certs.Load("store", s.TLS().Store(), log)
}

func newStore(s config.Settings, storeCerts *certs.Source) (st store.Store, err error) {
	cfg := store.Config{URL: "http://" + s.Store().Address().String()}
	if storeCerts != nil {
		cfg.URL = "https://" + s.Store().Address().String()
		cfg.TLS = storeCerts.Client(tls.VersionTLS12, s.Store().Address().Addr().String())
	}
	if f := s.Store().TokenFile(); f != "" {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, fmt.Errorf("newStore: %w", err)
		}
		cfg.Token = strings.TrimSpace(string(b))
	}
	return store.New(cfg)
}

func newHost(lc fx.Lifecycle, s config.Settings, st store.Store, storeCerts *certs.Source, log *zap.Logger) (*entry.Host, error) {
	// Audit lines are written at every log level.
	audit, err := newLogger(config.LevelInfo)
	if err != nil {
		return nil, err
	}
	cfg := entry.Config{Settings: s, Store: st, Log: log, Audit: audit}
	if storeCerts != nil {
		cfg.Checkers = []certs.Checker{storeCerts}
	}
	h := entry.New(cfg)
	lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
	return h, nil
}

func newLogger(l config.Level) (*zap.Logger, error) {
	levels := map[config.Level]zapcore.Level{
		config.LevelDebug: zap.DebugLevel, config.LevelInfo: zap.InfoLevel,
		config.LevelWarn: zap.WarnLevel, config.LevelError: zap.ErrorLevel,
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(levels[l])
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableStacktrace = true
	return cfg.Build()
}
