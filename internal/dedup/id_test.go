package dedup

import (
	"strings"
	"testing"

	"github.com/google/uuid"
)

// Guards against ids that change in a round trip through String, that have more
// than one accepted form, or whose time differs from the one that the uuid package
// reads.
func FuzzParseID(f *testing.F) {
	f.Add("0198f3a0-1b2c-7def-8123-456789abcdef")
	f.Add("0198f3a0-1b2c-4def-8123-456789abcdef") // version 4
	f.Add("0198F3A0-1B2C-7DEF-8123-456789ABCDEF")
	f.Add("{0198f3a0-1b2c-7def-8123-456789abcdef}")
	f.Add("urn:uuid:0198f3a0-1b2c-7def-8123-456789abcdef")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		u, uerr := uuid.Parse(s)
		if want := uerr == nil && len(s) == 36 && u.Version() == 7 && u.Variant() == uuid.RFC4122; (err == nil) != want {
			t.Fatalf("%q: %v", s, err)
		}
		if err != nil {
			return
		}
		if !strings.EqualFold(id.String(), s) {
			t.Fatalf("%q is parsed and formatted as %v", s, id)
		}
		if sec, ns := u.Time().UnixTime(); sec*1000+ns/1_000_000 != int64(id.Stamp()) {
			t.Fatalf("%q: time %d, want %d", s, id.Stamp(), sec*1000+ns/1_000_000)
		}
	})
}
