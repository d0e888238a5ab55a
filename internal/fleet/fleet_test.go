package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// drainBound is how long a server whose entry is gone may get requests.
const drainBound = 2 * clock.Second

// A server whose entry vanishes must be out of use in time for the bound on
// leaving servers, also if it looked like an outage of the store; without an
// outage it is out of use at once. (Seen as DRAIN broken with a grace of 2.5 s.)
func TestRemove(t *testing.T) {
	tests := []struct {
		name     string
		draining bool
		outage   bool
		keeps    clock.Span
	}{
		{"entry vanishes", false, false, 0},
		{"entry lapses in an outage", false, true, lapseGrace},
		{"leaving server in an outage", true, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := NewView()
			v.Put(Server{ID: "a", Service: "s", Draining: tt.draining})
			v.Remove(1000, "a", tt.outage)
			now := clock.Time(1000)
			for ; now < 1000+clock.Time(drainBound); now += 50 {
				v.Expire(now)
				if v.Len() == 0 {
					break
				}
				v.Remove(now, "a", tt.outage) // a second list without it changes nothing
			}
			is.Equal(v.Len(), 0)
			is.Equal(now.Sub(1000), tt.keeps)
		})
	}
}

// An entry that comes back ends the grace.
func TestComesBack(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Put(Server{ID: "a"})
	v.Remove(1000, "a", true)
	is.Equal(len(v.Entries()), 0)
	is.Equal(v.Len(), 1)
	v.Put(Server{ID: "a"})
	v.Expire(1000 + clock.Time(2*lapseGrace))
	is.Equal(v.Len(), 1)
	is.Equal(len(v.Entries()), 1)
}

// A complete list removes what it lacks.
func TestReplace(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(0, []Server{{ID: "a"}, {ID: "b"}}, false)
	v.Replace(0, []Server{{ID: "b"}, {ID: "c"}}, false)
	is.Equal(v.List(), []Server{{ID: "b"}, {ID: "c"}})
}
