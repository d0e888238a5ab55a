// Package logs writes structured log lines without ever blocking their
// callers. Lines that come faster than they can be written, or than the bound
// per second, are dropped and counted.
//
// # Usage
//
//	sink := logs.NewSink(os.Stdout)
//	go sink.Run(ctx)
//	log := logs.New(sink, zap.InfoLevel)
package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queued is the number of lines that may wait to be written.
	queued = 2048
	// perSecond is the number of lines with the same message that are written
	// in a second.
	perSecond = 200
	// flushEvery is how long lines are collected before they are written
	// together.
	flushEvery = 100 * time.Millisecond
	bufferSize = 32 << 10
)

// Sink is a bounded queue of lines in front of a writer.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewSink returns a Sink. Nothing is written until Run.
func NewSink(w io.Writer) *Sink { return &Sink{w: w, lines: make(chan []byte, queued)} }

// Write implements io.Writer. It never blocks.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until ctx ends, and then what is left.
func (s *Sink) Run(ctx context.Context) error {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	var told int64
	buf := make([]byte, 0, bufferSize)
	for {
		end := false
		select {
		case <-ctx.Done():
			end = true
		case <-t.C:
		}
		buf = s.drain(buf[:0])
		if n := s.Dropped(); n > told {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"msg\":\"log lines are dropped\",\"total\":%d}\n", n)
			told = n
		}
		if len(buf) > 0 {
			if _, err := s.w.Write(buf); err != nil {
				return fmt.Errorf("logs: %w", err)
			}
		}
		if end {
			return nil
		}
	}
}

// drain appends the waiting lines to buf.
func (s *Sink) drain(buf []byte) []byte {
	for {
		select {
		case line := <-s.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
}

// New returns a logger that writes JSON lines to a sink.
func New(s *Sink, level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), s, level)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0, zapcore.SamplerHook(s.sampled)))
}

func (s *Sink) sampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		s.dropped.Add(1)
	}
}
