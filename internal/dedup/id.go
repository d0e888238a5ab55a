package dedup

import (
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/laburnummux/laburnummux/internal/clock"
)

// WallTime is a wall-clock time in milliseconds since the Unix epoch.
type WallTime int64

// Add returns w+d.
func (w WallTime) Add(d clock.Span) WallTime { return w + WallTime(d) }

// ID is a request id, a UUID of version 7.
type ID [16]byte

// ErrNoTime is the error for ids that are UUIDs but contain no time.
var ErrNoTime = errors.New("not a UUID of version 7")

// ParseID parses an id in the canonical form of 36 characters. Other forms of a
// UUID are rejected, so that an id has only one textual form, apart from the case
// of letters.
func ParseID(s string) (id ID, err error) {
	if len(s) != 36 {
		return ID{}, fmt.Errorf("dedup.ParseID: %d characters instead of 36", len(s))
	}
	u, err := uuid.Parse(s)
	if err != nil {
		return ID{}, fmt.Errorf("dedup.ParseID: %w", err)
	}
	if id = ID(u); !id.valid() {
		return ID{}, fmt.Errorf("dedup.ParseID: %s: %w", s, ErrNoTime)
	}
	return id, nil
}

// NewID returns a new id with the time of the local wall clock.
func NewID() (ID, error) {
	u, err := uuid.NewV7()
	if err != nil {
		return ID{}, fmt.Errorf("dedup.NewID: %w", err)
	}
	return ID(u), nil
}

// Stamp returns the time that the id contains.
func (id ID) Stamp() (w WallTime) {
	for _, b := range id[:6] {
		w = w<<8 | WallTime(b)
	}
	return w
}

// String returns the canonical form.
func (id ID) String() string { return uuid.UUID(id).String() }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(b []byte) (err error) {
	*id, err = ParseID(string(b))
	return err
}

func (id ID) valid() bool {
	u := uuid.UUID(id)
	return u.Version() == 7 && u.Variant() == uuid.RFC4122
}
