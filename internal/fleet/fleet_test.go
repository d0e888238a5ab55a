package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// testHoldTime is when the store removes a registration that nobody renews.
const testHoldTime = 3 * clock.Second

// testGrace is how long a server is kept after its registration is gone.
const testGrace = 1600 * clock.Millisecond

// A server whose registration disappears must get no more requests after its grace
// period, whatever else removes it again; without one it gets none from then on.
func TestRemove(t *testing.T) {
	const (
		removed = clock.Time(1000)
		end     = removed + clock.Time(testGrace)
		longer  = 2 * testGrace
	)
	tests := []struct {
		name     string
		draining bool
		grace    Grace
		again    clock.Span // grace of later removals
		want     clock.Span // for which the server is kept
	}{
		{"registration is gone", false, Grace{}, longer, 0},
		{"registration is gone in an outage", false, Grace{Until: end}, longer, testGrace},
		{"the same, of this server", false, Grace{Ends: map[keys.Server]clock.Time{"a": end}}, longer, testGrace},
		{"another one's grace", false, Grace{Ends: map[keys.Server]clock.Time{"b": end}}, longer, 0},
		{"its grace has ended elsewhere", false, Grace{Until: end, Ends: map[keys.Server]clock.Time{"a": removed}}, longer, 0},
		{"its grace ends earlier elsewhere", false, Grace{Until: end}, testGrace / 4, testGrace / 4},
		{"draining server in an outage", true, Grace{Until: end}, longer, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(testHoldTime, testGrace)
			r.Put(0, Server{ID: "a", Service: "s", Draining: tt.draining})
			r.Remove(removed, "a", tt.grace)
			is.Equal(r.GraceLeft(removed, "a") > 0, tt.want > 0)
			now := removed
			for ; now < removed.Add(longer); now += 50 {
				r.Expire(now)
				if r.Len() == 0 {
					break
				}
				r.Remove(now, "a", Grace{Until: removed.Add(tt.again)})
			}
			is.Equal(r.Len(), 0)
			is.Equal(now.Sub(removed), tt.want)
		})
	}
}

// A registration that returns ends the grace period: the server doesn't expire.
func TestRegistrationReturns(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(testHoldTime, testGrace)
	r.Put(0, Server{ID: "a"})
	r.Remove(1000, "a", Grace{Until: 1000 + clock.Time(testGrace)})
	is.Equal(len(r.Registered()), 0)
	is.Equal(r.Len(), 1)
	r.Put(0, Server{ID: "a"})
	r.Expire(1000 + clock.Time(2*testGrace))
	is.Equal(r.Len(), 1)
	is.Equal(len(r.Registered()), 1)
}

// Servers that aren't in a complete list are removed.
func TestReplace(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(testHoldTime, testGrace)
	r.Replace(0, 1, []Server{{ID: "a"}, {ID: "b"}}, Grace{})
	r.Replace(0, 1, []Server{{ID: "b"}, {ID: "c"}}, Grace{})
	is.Equal(r.List(), []Server{{ID: "b"}, {ID: "c"}})
}

// Guards against requests to a server that has left and is listed again by a
// restored store, and against a server that is back and isn't used.
func TestRestoredStore(t *testing.T) {
	const (
		before = clock.Time(1000) // the list of epoch 1
		at     = clock.Time(5000) // the list of epoch 2
		soon   = at + 2000
		later  = at + clock.Time(testHoldTime)
	)
	ready, draining := Server{ID: "a", Born: 7}, Server{ID: "a", Born: 7, Draining: true}
	earlier, next := Server{ID: "a", Born: 5}, Server{ID: "a", Born: 9}
	list := func(now clock.Time, epoch uint64, servers ...Server) func(r *Registry) {
		return func(r *Registry) { r.Replace(now, epoch, servers, Grace{}) }
	}
	put := func(sv Server) func(r *Registry) { return func(r *Registry) { r.Put(0, sv) } }
	remove := func(now clock.Time) func(r *Registry) {
		return func(r *Registry) { r.Remove(now, "a", Grace{}) }
	}
	expire := func(now clock.Time) func(r *Registry) { return func(r *Registry) { r.Expire(now) } }
	tests := []struct {
		name  string
		steps []func(r *Registry)
		want  []Server
	}{
		{"draining, then listed as ready", []func(r *Registry){list(before, 1, draining), list(at, 2, ready)}, []Server{draining}},
		{"draining, then registered as ready", []func(r *Registry){list(before, 1, draining), list(at, 2, ready), put(ready)}, []Server{draining}},
		{"draining, listed as ready long after", []func(r *Registry){list(before, 1, draining), list(at, 2, ready), expire(later)}, []Server{draining}},
		{"draining, then its next incarnation", []func(r *Registry){list(before, 1, draining), list(at, 2, next)}, []Server{next}},
		{"gone, then listed", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), expire(soon)}, []Server{}},
		{"gone and listed, removed again", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), remove(soon), expire(later)}, []Server{}},
		{"gone and listed, missing from a later list", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), list(soon, 2), expire(later)}, []Server{}},
		{"gone, listed, still listed when the store would have removed it", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), expire(later)}, []Server{ready}},
		{"gone, listed twice", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), list(soon, 2, ready), expire(later)}, []Server{ready}},
		{"gone, listed, restored once more", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), list(soon, 3, ready), expire(later)}, []Server{}},
		{"gone, listed, registered again", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), put(ready)}, []Server{ready}},
		{"gone, listed, removed, registered again", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, ready), remove(soon), list(soon, 2, ready)}, []Server{ready}},
		{"gone while draining, registered again", []func(r *Registry){list(before, 1, draining), remove(2000), list(at, 2, ready), put(ready)}, []Server{draining}},
		{"gone, then its next incarnation is listed", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, next)}, []Server{next}},
		{"gone, back in the same epoch", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 1, ready)}, []Server{ready}},
		{"gone, an earlier incarnation is listed", []func(r *Registry){list(before, 1, ready), remove(2000), list(at, 2, earlier)}, []Server{}},
		{"an earlier incarnation is listed", []func(r *Registry){list(before, 1, ready), list(at, 2, earlier)}, []Server{ready}},
		{"an earlier incarnation in the same epoch", []func(r *Registry){list(before, 1, ready), list(at, 1, earlier)}, []Server{earlier}},
		{"joined since the copy", []func(r *Registry){list(before, 1, ready), list(at, 2), expire(at + 1000)}, []Server{ready}},
		{"joined since the copy, not registered again", []func(r *Registry){list(before, 1, ready), list(at, 2), expire(soon)}, []Server{}},
		{"draining, missing from the copy", []func(r *Registry){list(before, 1, draining), list(at, 2)}, []Server{}},
		{"first list of a process", []func(r *Registry){list(at, 2, ready)}, []Server{ready}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(testHoldTime, testGrace)
			for _, step := range tt.steps {
				step(r)
			}
			is.New(t).Equal(r.List(), tt.want)
		})
	}
}

// Guards against a host that starts after a restore and never learns of a server
// that the others hold back, and against a memory of servers that only grows.
func TestHeldAndForgotten(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(testHoldTime, testGrace)
	r.Replace(0, 1, []Server{{ID: "a", Born: 7}, {ID: "b", Born: 7}}, Grace{})
	r.Remove(1000, "a", Grace{})
	r.Remove(1000, "b", Grace{})
	is.Equal(r.Replace(2000, 2, []Server{{ID: "a", Born: 7}}, Grace{}), []keys.Server{"a"})
	is.Equal(len(r.Replace(2500, 2, []Server{{ID: "a", Born: 7}}, Grace{})), 0) // it was held back before
	is.Equal(r.Registered(), []Server{{ID: "a", Born: 7}})
	is.Equal(r.Len(), 0)
	r.Expire(1000 + clock.Time(departureRetention))
	is.Equal(len(r.entries), 1) // a is used, b is forgotten
}
