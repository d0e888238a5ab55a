package certs

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"os"
	"sync"
	"sync/atomic"

	"github.com/laburnummux/laburnummux/internal/clock"
	"go.uber.org/zap"
)

const (
	// CheckPeriod is the shortest time between two readings of the same files.
	CheckPeriod = 2 * clock.Second
	// maxFile bounds a file in bytes. A bundle of a hundred CAs has about 200 KB.
	maxFile = 1 << 20
)

// Checker is what a worker calls periodically to find changed files.
type Checker interface {
	Check(now clock.Time)
	Name() string
	Counters() Counters
}

// Counters has what was found since the start.
type Counters struct {
	Reloads  uint64 `json:"reloads"`  // changed files that were taken
	Refusals uint64 `json:"refusals"` // changed files that were not valid
}

// Watch keeps the value made of the last valid contents of a list of files.
type Watch[T any] struct {
	name  string
	log   *zap.Logger
	files []string
	parse func(contents [][]byte) (*T, error)
	value atomic.Pointer[T]

	mu      sync.Mutex
	checked clock.Time
	ever    bool
	seen    [sha256.Size]byte

	reloads, refusals atomic.Uint64
}

// NewWatch reads the files. An empty file name gives nil contents.
func NewWatch[T any](name string, log *zap.Logger, parse func([][]byte) (*T, error), files ...string) (w *Watch[T], err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("certs: %s: %w", name, err)
		}
	}()
	w = &Watch[T]{name: name, log: log.Named("certs"), files: files, parse: parse}
	contents, sum, err := w.read()
	if err != nil {
		return nil, err
	}
	v, err := parse(contents)
	if err != nil {
		return nil, err
	}
	w.seen = sum
	w.value.Store(v)
	return w, nil
}

// Value returns the value in force.
func (w *Watch[T]) Value() *T { return w.value.Load() }

// Name returns the name that log lines use.
func (w *Watch[T]) Name() string { return w.name }

// Counters returns the totals.
func (w *Watch[T]) Counters() Counters { return Counters{w.reloads.Load(), w.refusals.Load()} }

// Check reads the files again if CheckPeriod has passed since the last time.
// The value in force stays while the files are missing, incomplete or don't
// match each other.
func (w *Watch[T]) Check(now clock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ever && now.Sub(w.checked) < CheckPeriod {
		return
	}
	w.ever, w.checked = true, now
	contents, sum, err := w.read()
	if sum == w.seen {
		return
	}
	w.seen = sum
	var v *T
	if err == nil {
		v, err = w.parse(contents)
	}
	if err != nil {
		w.refusals.Add(1)
		w.log.Warn("changed files refused; the previous ones stay in force", zap.String("section", w.name), zap.Error(err))
		return
	}
	w.value.Store(v)
	w.reloads.Add(1)
	w.log.Info("changed files in force", zap.String("section", w.name))
}

// read returns the contents and a digest that differs whenever they or the
// error differ.
func (w *Watch[T]) read() (contents [][]byte, sum [sha256.Size]byte, err error) {
	d := sha256.New()
	for _, f := range w.files {
		var b []byte
		if f != "" {
			if b, err = readFile(f); err != nil {
				fmt.Fprint(d, err)
				break
			}
		}
		writeField(d, b)
		contents = append(contents, b)
	}
	d.Sum(sum[:0])
	return contents, sum, err
}

func writeField(d hash.Hash, b []byte) {
	fmt.Fprintf(d, "%d:", len(b))
	d.Write(b)
}

func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("%s has %d bytes; at most %d are allowed", name, info.Size(), maxFile)
	}
	return os.ReadFile(name)
}
