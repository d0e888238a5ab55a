// Package logs writes structured log lines without blocking the code that logs.
// Lines that exceed the queue or the rate limit are dropped and counted.
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
	// queueSize is the maximum number of lines that wait to be written.
	queueSize = 2048
	// messageRate is the maximum number of lines with the same level and message
	// per second.
	messageRate = 200
	// flushInterval is how long lines are collected for one write.
	flushInterval = 100 * time.Millisecond
	bufferBytes   = 32 << 10
)

// Sink is a bounded queue of lines in front of a writer.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewSink returns a Sink. Nothing is written until Run.
func NewSink(w io.Writer) *Sink { return &Sink{out: w, lines: make(chan []byte, queueSize)} }

// Write implements io.Writer. It never blocks: if the queue is full, it drops
// the line.
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

// Run writes lines until ctx ends, and then those left in the queue.
func (s *Sink) Run(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var reported int64 // dropped lines
	buf := make([]byte, 0, bufferBytes)
	for {
		stopping := false
		select {
		case <-ctx.Done():
			stopping = true
		case <-t.C:
		}
		buf = s.drain(buf[:0])
		if n := s.Dropped(); n > reported {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"msg\":\"logger dropped lines\",\"total\":%d}\n", n)
			reported = n
		}
		if len(buf) > 0 {
			if _, err := s.out.Write(buf); err != nil {
				return fmt.Errorf("logs: write: %w", err)
			}
		}
		if stopping {
			return nil
		}
	}
}

// drain appends the queued lines to buf.
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
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, messageRate, 0, zapcore.SamplerHook(s.countSampled)))
}

// countSampled counts the lines that exceed the rate limit.
func (s *Sink) countSampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		s.dropped.Add(1)
	}
}
