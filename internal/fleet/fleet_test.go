package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// maxUseAfterRemoval is how long a server may get requests after its registration
// is gone.
const maxUseAfterRemoval = 2 * clock.Second

// A server whose registration disappears must get no more requests after
// maxUseAfterRemoval, even during an apparent outage of the store; without an
// outage it gets none from then on. A grace of 2.5 s violated this bound (reported
// as DRAIN).
func TestRemove(t *testing.T) {
	tests := []struct {
		name     string
		draining bool
		outage   bool
		grace    clock.Span
	}{
		{"registration is gone", false, false, 0},
		{"registration is gone in an outage", false, true, registrationGrace},
		{"draining server in an outage", true, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry()
			r.Put(Server{ID: "a", Service: "s", Draining: tt.draining})
			r.Remove(1000, "a", tt.outage)
			now := clock.Time(1000)
			for ; now < 1000+clock.Time(maxUseAfterRemoval); now += 50 {
				r.Expire(now)
				if r.Len() == 0 {
					break
				}
				r.Remove(now, "a", tt.outage) // removing it again doesn't extend the grace
			}
			is.Equal(r.Len(), 0)
			is.Equal(now.Sub(1000), tt.grace)
		})
	}
}

// A registration that returns ends the grace period: the server doesn't expire.
func TestRegistrationReturns(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Put(Server{ID: "a"})
	r.Remove(1000, "a", true)
	is.Equal(len(r.Registered()), 0)
	is.Equal(r.Len(), 1)
	r.Put(Server{ID: "a"})
	r.Expire(1000 + clock.Time(2*registrationGrace))
	is.Equal(r.Len(), 1)
	is.Equal(len(r.Registered()), 1)
}

// Servers that aren't in a complete list are removed.
func TestReplace(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Replace(0, []Server{{ID: "a"}, {ID: "b"}}, false)
	r.Replace(0, []Server{{ID: "b"}, {ID: "c"}}, false)
	is.Equal(r.List(), []Server{{ID: "b"}, {ID: "c"}})
}
