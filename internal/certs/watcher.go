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
	// CheckInterval is the minimum time between two reads of the same files.
	CheckInterval = 2 * clock.Second
	// maxFileBytes limits the size of a file. A bundle of 100 CAs has about 200
	// KB.
	maxFileBytes = 1 << 20
)

// Checker reloads files that have changed. A worker calls Check periodically.
type Checker interface {
	Check(now clock.Time)
	Name() string
	Counters() Counters
}

// Counters counts changes of the files since the start of the process.
type Counters struct {
	Reloads  uint64 `json:"reloads"`  // changes that were loaded
	Refusals uint64 `json:"refusals"` // changes that were rejected as invalid
}

// FileWatcher holds the value parsed from the last valid contents of a list of
// files.
type FileWatcher[T any] struct {
	name  string
	log   *zap.Logger
	files []string
	parse func(contents [][]byte) (*T, error)
	value atomic.Pointer[T]

	mu          sync.Mutex
	lastCheck   clock.Time
	checkedOnce bool
	lastDigest  [sha256.Size]byte

	reloads, refusals atomic.Uint64
}

// NewFileWatcher reads and parses the files. The contents of an empty file name
// are nil.
func NewFileWatcher[T any](name string, log *zap.Logger, parse func([][]byte) (*T, error), files ...string) (w *FileWatcher[T], err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("certs: %s: %w", name, err)
		}
	}()
	w = &FileWatcher[T]{name: name, log: log.Named("certs"), files: files, parse: parse}
	contents, sum, err := w.readFiles()
	if err != nil {
		return nil, err
	}
	v, err := parse(contents)
	if err != nil {
		return nil, err
	}
	w.lastDigest = sum
	w.value.Store(v)
	return w, nil
}

// Value returns the value of the last valid contents. Check replaces the value
// when it loads new ones, and never modifies it.
func (w *FileWatcher[T]) Value() *T { return w.value.Load() }

// Name returns the name of the section, as used in log lines and metrics.
func (w *FileWatcher[T]) Name() string { return w.name }

// Counters returns how many changes of the files were loaded and rejected.
func (w *FileWatcher[T]) Counters() Counters { return Counters{w.reloads.Load(), w.refusals.Load()} }

// Check reads the files again if at least CheckInterval has passed since the last
// read. It keeps the current value while files are missing, incomplete or don't
// match each other.
func (w *FileWatcher[T]) Check(now clock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checkedOnce && now.Sub(w.lastCheck) < CheckInterval {
		return
	}
	w.checkedOnce, w.lastCheck = true, now
	contents, sum, err := w.readFiles()
	if sum == w.lastDigest {
		return
	}
	w.lastDigest = sum
	var v *T
	if err == nil {
		v, err = w.parse(contents)
	}
	if err != nil {
		w.refusals.Add(1)
		w.log.Warn("rejected changed files; still using the previously loaded ones", zap.String("section", w.name), zap.Error(err))
		return
	}
	w.value.Store(v)
	w.reloads.Add(1)
	w.log.Info("loaded changed files", zap.String("section", w.name))
}

// readFiles returns the contents of the files and a digest of the contents and
// the error, by which changes are detected.
func (w *FileWatcher[T]) readFiles() (contents [][]byte, sum [sha256.Size]byte, err error) {
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
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s has %d bytes; at most %d are allowed", name, info.Size(), maxFileBytes)
	}
	return os.ReadFile(name)
}
