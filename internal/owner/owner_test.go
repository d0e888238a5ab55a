package owner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const svc = keys.Service("ledger")

var testConfig = Config{LeaseTime: 4 * clock.Second, Timeout: 700 * clock.Millisecond, RoleLease: 12 * clock.Second}

func server(id string) fleet.Server {
	return fleet.Server{ID: keys.Server(id), Service: svc, Addr: id + ":1", Slots: 2, Born: 1}
}

// harness drives an Assigner step by step. Calls and writes get their outcomes
// at once unless the test takes them out of the queue first.
type harness struct {
	*is.I
	assigner *Assigner
	now      clock.Time
	queue    []Action
}

func newHarness(t *testing.T, rec Record, servers ...fleet.Server) *harness {
	h := &harness{I: is.New(t), now: 1000}
	h.assigner = New(testConfig, h.now, rec)
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, servers))
	return h
}

func (h *harness) enqueue(acts []Action) { h.queue = append(h.queue, acts...) }

// answerAll reports success for all queued calls and writes. Calls to the
// unresponsive server get the given outcome.
func (h *harness) answerAll(unresponsive keys.Server, out Outcome) {
	for len(h.queue) > 0 {
		act := h.queue[0]
		h.queue = h.queue[1:]
		switch act := act.(type) {
		case Grant:
			o := Done
			if act.Server == unresponsive {
				o = out
			}
			h.enqueue(h.assigner.GrantDone(h.now, h.now, act, o))
		case Release:
			o := Done
			if act.Server == unresponsive {
				o = out
			}
			h.enqueue(h.assigner.ReleaseDone(h.now, act, o, "h"))
		case Write:
			h.enqueue(h.assigner.WriteDone(h.now, act.Version))
		}
	}
}

// advance advances the time and answers the actions that are due. The role is
// confirmed when that is needed.
func (h *harness) advance(d clock.Span, unresponsive keys.Server, out Outcome) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(20)
		if h.assigner.NeedsConfirmation() {
			h.assigner.Confirm(h.now)
		}
		h.enqueue(h.assigner.Tick(h.now))
		h.answerAll(unresponsive, out)
	}
}

// keysPerServer returns how many keys each server owns in the published table.
func (h *harness) keysPerServer() map[keys.Server]int {
	n := make(map[keys.Server]int)
	for _, r := range h.assigner.Tables()[0].Spans {
		n[r.Server] += int(r.To) - int(r.From) + 1
	}
	return n
}

// The first assignment waits for the list of servers to become complete;
// otherwise the first servers to register would get all keys.
func TestFirstAssignment(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"), server("b"))
	h.advance(2*clock.Second, "", Done)
	o := h.keysPerServer()
	h.Equal(o["a"], 32768)
	h.Equal(o["b"], 32768)
}

// An unanswered grant may arrive until its timeout, and its lease starts then. A
// later call that certainly failed must not discard that lease.
func TestUnansweredGrantKeepsKeys(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"), server("b"))
	h.advance(3*clock.Second, "", Done)
	// One renewal of a's range gets no response; the next ones fail to connect.
	var lost Grant
	sent := h.now
	for lost.Server != "a" {
		h.now = h.now.Add(20)
		for _, act := range h.assigner.Tick(h.now) {
			if g, ok := act.(Grant); ok && g.Server == "a" {
				lost, sent = g, h.now
				continue
			}
			h.queue = append(h.queue, act)
		}
		h.answerAll("", Done)
	}
	h.now = sent.Add(testConfig.Timeout)
	h.enqueue(h.assigner.GrantDone(h.now, sent, lost, Unknown))
	expiry := sent.Add(testConfig.Timeout + testConfig.LeaseTime + testConfig.LeaseTime*2/100)
	for h.now < expiry {
		h.advance(20, "a", Failed)
		h.Equal(h.keysPerServer()["b"], 32768) // a's lease may still be valid
	}
	h.advance(clock.Second, "a", Failed)
	h.Equal(h.keysPerServer()["b"], 65536)
}

// A release doesn't cancel an unanswered grant, which may be executed after it.
func TestReleaseAfterUnansweredGrant(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"), server("b"))
	h.advance(3*clock.Second, "", Done)
	var lost Grant
	for lost.Server != "a" {
		h.now = h.now.Add(20)
		for _, act := range h.assigner.Tick(h.now) {
			if g, ok := act.(Grant); ok && g.Server == "a" {
				lost = g
				continue
			}
			h.queue = append(h.queue, act)
		}
		h.answerAll("", Done)
	}
	sent := h.now
	h.now = sent.Add(testConfig.Timeout)
	h.enqueue(h.assigner.GrantDone(h.now, sent, lost, Unknown))
	draining := server("a")
	draining.Draining = true
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{draining, server("b")}))
	h.answerAll("", Done)
	expiry := sent.Add(testConfig.Timeout + testConfig.LeaseTime)
	for h.now < expiry {
		h.advance(20, "", Done)
		h.Equal(h.keysPerServer()["b"], 32768)
	}
}

// A released range moves at once, with the handover of its former owner.
func TestDrain(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"), server("b"))
	h.advance(3*clock.Second, "", Done)
	draining := server("a")
	draining.Draining = true
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{draining, server("b")}))
	handover := ""
	for len(h.queue) > 0 {
		if g, ok := h.queue[0].(Grant); ok && g.Handover != "" {
			handover = g.Handover
		}
		act := h.queue[0]
		rest := h.queue[1:]
		h.queue = []Action{act}
		h.answerOne()
		h.queue = append(h.queue, rest...)
	}
	h.Equal(handover, "h")
	h.Equal(h.keysPerServer()["b"], 65536)
}

// answerOne answers the first action only.
func (h *harness) answerOne() {
	act := h.queue[0]
	h.queue = nil
	switch act := act.(type) {
	case Grant:
		h.enqueue(h.assigner.GrantDone(h.now, h.now, act, Done))
	case Release:
		h.enqueue(h.assigner.ReleaseDone(h.now, act, Done, "h"))
	case Write:
		h.enqueue(h.assigner.WriteDone(h.now, act.Version))
	}
}

// No grant may be sent before the record that names the server is in the store:
// otherwise the next assigner couldn't take its lease into account.
func TestGrantWaitsForRecord(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"))
	var write Write
	for i := 0; i < 200; i++ {
		h.now = h.now.Add(20)
		for _, act := range h.assigner.Tick(h.now) {
			switch act := act.(type) {
			case Write:
				write = act
			case Grant:
				t.Fatal("grant before the record was written")
			}
		}
	}
	acts := h.assigner.WriteDone(h.now, write.Version)
	h.Equal(len(acts), 1)
	_, ok := acts[0].(Grant)
	h.True(ok)
}

// A server that the new assigner can't reach may have a valid lease until the
// former assigner's role lease and the last lease it granted have expired.
func TestTakeoverWaits(t *testing.T) {
	rec := Record{Term: 2, Tables: map[keys.Service][]Assignment{svc: {
		{From: 0, To: 32767, Server: "a", Born: 1, Fence: 5}, {From: 32768, To: MaxKey, Server: "b", Born: 1, Fence: 6},
	}}}
	tests := []struct {
		name  string
		ended bool
		wait  clock.Span
	}{
		{"former assigner may still run", false, testConfig.RoleLease + testConfig.LeaseTime},
		{"former assigner has ended", true, testConfig.LeaseTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, rec, server("a"), server("b"))
			if tt.ended {
				h.assigner.FormerEnded(h.now)
			}
			expiry := h.now.Add(tt.wait)
			for h.now < expiry {
				h.advance(20, "a", Failed)
				h.Equal(h.keysPerServer()["b"], 32768)
			}
			h.advance(2*clock.Second, "a", Failed)
			h.Equal(h.keysPerServer()["b"], 65536)
		})
	}
}

// Every fence of a new term is higher than those of the former term, also for
// ranges that keep their server.
func TestTakeoverRaisesFences(t *testing.T) {
	old := newFence(1, 900)
	rec := Record{Term: 2, Tables: map[keys.Service][]Assignment{svc: {{From: 0, To: MaxKey, Server: "a", Born: 1, Fence: old}}}}
	h := newHarness(t, rec, server("a"))
	for _, act := range h.queue {
		if g, ok := act.(Grant); ok {
			h.True(g.Fence > old)
			h.Equal(g.Server, keys.Server("a"))
		}
	}
	h.True(len(h.queue) > 0)
}

// Guards against a grant whose acknowledgement ends leases of a former assigner
// without being marked, and against marks on the others, which cost a connection.
func TestEndsFormer(t *testing.T) {
	rec := Record{Term: 2, Tables: map[keys.Service][]Assignment{svc: {{From: 0, To: MaxKey, Server: "a", Born: 1, Fence: newFence(1, 900)}}}}
	h := newHarness(t, rec, server("a"))
	marked := func() (n, all int) {
		for _, act := range h.queue {
			if g, ok := act.(Grant); ok {
				all++
				if g.EndsFormer {
					n++
				}
			}
		}
		return n, all
	}
	n, all := marked()
	h.Equal(n, 1)
	h.Equal(all, 1)
	h.answerAll("", Done)
	h.now = h.now.Add(testConfig.LeaseTime)
	h.enqueue(h.assigner.Tick(h.now)) // renews the lease
	n, all = marked()
	h.Equal(n, 0)
	h.True(all > 0)
	h.answerAll("", Done)
	gone := server("a")
	gone.Draining = true
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{gone, server("b")}))
	for range 200 { // moves the range
		h.now = h.now.Add(20)
		h.enqueue(h.assigner.Tick(h.now))
		n, _ = marked()
		h.Equal(n, 0)
		h.answerAll("", Done)
	}
	h.Equal(h.keysPerServer()["b"], 65536)
}

// A restarted server has no leases: its ranges are granted again at once, with a
// higher fence.
func TestServerRestart(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"))
	h.advance(3*clock.Second, "", Done)
	before := h.assigner.tables[svc][0].Fence
	restarted := server("a")
	restarted.Born = 2
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{restarted}))
	h.answerAll("", Done)
	rs := h.assigner.tables[svc][0]
	h.Equal(rs.Born, int64(2))
	h.True(rs.Fence > before)
	h.Equal(h.keysPerServer()["a"], 65536)
}

// A range of hot keys moves away from its server; the other keys stay.
func TestHotKeysMove(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"), server("b"), server("c"))
	h.advance(3*clock.Second, "", Done)
	for i := 0; i < 20; i++ {
		var loads []KeyLoad
		for k := Key(100); k < 140; k++ {
			loads = append(loads, KeyLoad{Key: k, Time: 25})
		}
		h.assigner.AddLoads(h.now, svc, loads)
		h.advance(250, "", Done)
	}
	loads, _ := h.assigner.serverLoads(svc)
	for id, x := range loads {
		if x > 2.2 {
			t.Errorf("server %s has a load of %.1f busy slots, want at most 2.2 of 4 in total", id, x)
		}
	}
	h.True(h.assigner.MovedShare() < 0.05)
}

// Guards against a server with a single hot key, which can't be divided, that keeps the
// ranges of all other overloaded servers from moving.
func TestHotKeyBlocksNoMoves(t *testing.T) {
	rec := Record{Term: 1, Tables: map[keys.Service][]Assignment{svc: {
		{From: 0, To: 49999, Server: "b", Addr: "b:1", Born: 1, Fence: 1},
		{From: 50000, To: 50000, Server: "a", Addr: "a:1", Born: 1, Fence: 2},
		{From: 50001, To: MaxKey, Server: "c", Addr: "c:1", Born: 1, Fence: 3},
	}}}
	h := newHarness(t, rec, server("a"), server("b"), server("c"))
	h.assigner.FormerEnded(h.now)
	h.advance(5*clock.Second, "", Done)
	for i := range 40 {
		loads := []KeyLoad{{Key: 50000, Time: 1500}} // six slots of two
		for k := Key(100); i >= 20 && k < 140; k++ {
			loads = append(loads, KeyLoad{Key: k, Time: 25}) // four slots of two
		}
		h.assigner.AddLoads(h.now, svc, loads)
		h.advance(250, "", Done)
	}
	loads, _ := h.assigner.serverLoads(svc)
	h.True(loads["b"] < 3)
	h.True(loads["c"] > 1)
}

// Guards against servers of a data centre that stay without ranges for long after they
// came back, while the others have all the load.
func TestManyServersJoin(t *testing.T) {
	var list []fleet.Server
	for i := range 60 {
		list = append(list, server(fmt.Sprintf("s%02d", i)))
	}
	h := newHarness(t, Record{Term: 1}, list[:30]...)
	advance := func(d clock.Span) {
		for end := h.now.Add(d); h.now < end; {
			var loads []KeyLoad
			for k := 0; k <= int(MaxKey); k += 128 {
				loads = append(loads, KeyLoad{Key: Key(k), Time: 25}) // 51 busy slots of 60
			}
			h.assigner.AddLoads(h.now, svc, loads)
			h.advance(250, "", Done)
		}
	}
	advance(6 * clock.Second)
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, list))
	advance(1500)
	h.True(len(h.keysPerServer()) >= 58)
}

// Guards against a server that stays overloaded as it has many ranges and none of them
// alone has about the load that should move, also if it has as many as may be split.
func TestManyRangesMove(t *testing.T) {
	const count, width = 16, 1000
	var table []Assignment
	var loads []KeyLoad
	for i := range 2 * count {
		a := Assignment{From: Key(i * width), To: Key((i+1)*width - 1), Server: "a", Addr: "a:1", Born: 1, Fence: Fence(i + 1)}
		if i%2 == 1 {
			a.Server, a.Addr = "b", "b:1"
		} else {
			loads = append(loads, KeyLoad{Key: a.From, Time: 50}) // together 3.2 slots of two
		}
		table = append(table, a)
	}
	table[len(table)-1].To = MaxKey
	h := newHarness(t, Record{Term: 1, Tables: map[keys.Service][]Assignment{svc: table}}, server("a"), server("b"))
	h.assigner.FormerEnded(h.now)
	h.advance(5*clock.Second, "", Done)
	for range 40 {
		h.assigner.AddLoads(h.now, svc, loads)
		h.advance(250, "", Done)
	}
	got, _ := h.assigner.serverLoads(svc)
	h.True(got["a"] <= overloadRatio*(got["a"]+got["b"])/2)
}

// After a takeover a draining server is granted its range with a fence of the
// new term before the range is released: after a release alone, the former
// assigner could renew the lease there while another server owns the range.
func TestFenceBeforeRelease(t *testing.T) {
	rec := Record{Term: 2, Tables: map[keys.Service][]Assignment{svc: {{From: 0, To: MaxKey, Server: "a", Addr: "a:1", Born: 1, Fence: 5}}}}
	draining := server("a")
	draining.Draining = true
	h := newHarness(t, rec, draining, server("b"))
	h.Equal(len(h.queue), 1)
	g, ok := h.queue[0].(Grant)
	h.True(ok)
	h.True(g.Fence > 5)
	// While the grant isn't acknowledged, even a release doesn't free the range.
	r := Release{Service: svc, Server: "a", Addr: "a:1", From: 0, To: MaxKey, Fence: g.Fence}
	h.queue = h.assigner.GrantDone(h.now, h.now, g, Failed)
	h.enqueue(h.assigner.ReleaseDone(h.now, r, Done, "h"))
	for end := h.now.Add(testConfig.RoleLease); h.now < end; {
		h.advance(20, "a", Failed)
		h.Equal(h.keysPerServer()["b"], 0)
	}
	h.advance(testConfig.LeaseTime+clock.Second, "a", Failed)
	h.Equal(h.keysPerServer()["b"], 65536)
}

// A restarted server keeps its range until it has acknowledged a fence of the
// term: until then the former assigner could renew the lease there.
func TestRestartedServerKeepsRange(t *testing.T) {
	rec := Record{Term: 2, Tables: map[keys.Service][]Assignment{svc: {{From: 0, To: MaxKey, Server: "a", Addr: "a:1", Born: 1, Fence: 5}}}}
	restarted := server("a")
	restarted.Born = 2
	h := newHarness(t, rec, restarted, server("b"))
	for end := h.now.Add(testConfig.RoleLease); h.now < end; {
		h.advance(20, "a", Failed)
		h.Equal(h.keysPerServer()["b"], 0)
	}
}

// A write that did not take place is retried, and no other action is lost with
// it: a call that wrongly counts as in flight would block its range.
func TestFailedWriteRetried(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"))
	writes := 0
	for range 200 {
		h.now = h.now.Add(20)
		for _, act := range h.assigner.Tick(h.now) {
			if _, ok := act.(Write); ok {
				writes++
				h.assigner.WriteFailed()
			}
		}
	}
	h.True(writes > 50)
	h.advance(clock.Second, "", Done)
	h.Equal(h.keysPerServer()["a"], 65536)
}

// A server that crashed and restarted with another name is listed twice with the
// same address until its former registration expires. The later one would accept
// grants for the former and block its keys after the registration has expired.
func TestTwoServersAtOneAddress(t *testing.T) {
	former := server("a")
	h := newHarness(t, Record{Term: 1}, former, server("b"))
	h.advance(3*clock.Second, "", Done)
	h.Equal(h.keysPerServer()["a"], 32768)

	later := server("later")
	later.Addr, later.Born = former.Addr, 2
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{former, server("b"), later}))
	for end := h.now.Add(clock.Second); h.now < end; h.now = h.now.Add(20) {
		for _, act := range h.queue {
			if g, ok := act.(Grant); ok {
				h.True(g.Server != "a")
			}
		}
		h.advance(20, "", Done)
	}
	h.Equal(h.keysPerServer()["a"], 0)
	h.True(h.keysPerServer()["later"] > 0) // it released the former's range, so no lease is left
}

// A range that a later server at the same address may have been granted in place
// of the former one isn't free before the lease expires, if that server doesn't
// respond to a release.
func TestAddressReusedDuringPartition(t *testing.T) {
	former := server("a")
	h := newHarness(t, Record{Term: 1}, former, server("b"))
	h.advance(testConfig.RoleLease+clock.Second, "", Done) // the role leases of former assigners have expired
	h.Equal(h.keysPerServer()["a"], 32768)
	later := server("later")
	later.Addr, later.Born = former.Addr, 2
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{server("b"), later}))
	for end := h.now.Add(testConfig.LeaseTime / 2); h.now < end; { // the last renewal was sent less than half a lease ago
		h.advanceWithoutRelease(20, later.Addr)
		h.Equal(h.keysPerServer()["b"]+h.keysPerServer()["later"], 32768)
	}
	h.advanceWithoutRelease(testConfig.LeaseTime, later.Addr)
	h.Equal(h.keysPerServer()["b"]+h.keysPerServer()["later"], 65536)
}

// advanceWithoutRelease is advance with releases at an address that fail.
func (h *harness) advanceWithoutRelease(d clock.Span, addr string) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(20)
		h.enqueue(h.assigner.Tick(h.now))
		for len(h.queue) > 0 {
			rest := h.queue[1:]
			if r, ok := h.queue[0].(Release); ok && r.Addr == addr {
				h.queue = h.assigner.ReleaseDone(h.now, r, Failed, "")
			} else {
				h.answerOne()
			}
			h.queue = append(h.queue, rest...)
		}
	}
}
