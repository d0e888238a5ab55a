package mesh

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

func heartbeat(change func(b *Heartbeat)) Message {
	b := &Heartbeat{From: "a", Incarnation: 1, IP: "10.0.0.1", Interval: 450, InFlight: map[ServerHash]int{7: 2}}
	change(b)
	return Message{Heartbeat: b}
}

// Guards against messages that no host can have sent: they could make a server seem
// idle or full, or keep a host alive for ever.
func TestInvalidMessages(t *testing.T) {
	tests := []struct {
		name string
		msg  any
		ok   bool
	}{
		{"heartbeat", heartbeat(func(*Heartbeat) {}), true},
		{"heartbeat of an earlier version", map[int]any{1: map[int]any{1: "a", 2: 5, 3: 1, 4: "10.0.0.1", 15: -1}}, true},
		{"parts of a later version", map[int]any{1: map[int]any{1: "a", 2: 5, 4: "10.0.0.1", 15: -1, 99: "x"}, 98: 1}, true},
		{"only parts of a later version", map[int]any{98: 1}, false},
		{"nothing", Message{}, false},
		{"no host", heartbeat(func(b *Heartbeat) { b.From = "" }), false},
		{"no address", heartbeat(func(b *Heartbeat) { b.IP = "" }), false},
		{"load below zero", heartbeat(func(b *Heartbeat) { b.InFlight[7] = -1 }), false},
		{"load that can't be", heartbeat(func(b *Heartbeat) { b.InFlight[7] = maxInFlight + 1 }), false},
		{"queue below zero", heartbeat(func(b *Heartbeat) { b.Queued = map[keys.Service]int{"ledger": -4} }), false},
		{"interval below zero", heartbeat(func(b *Heartbeat) { b.Interval = -1 }), false},
		{"interval for ever", heartbeat(func(b *Heartbeat) { b.Interval = math.MaxInt64 }), false},
		{"unknown reach", heartbeat(func(b *Heartbeat) { b.Reach = ReachAll + 1 }), false},
		{"cores that can't be", heartbeat(func(b *Heartbeat) { b.Cores = math.Inf(1) }), false},
		{"cores", heartbeat(func(b *Heartbeat) { b.Cores = math.NaN() }), false},
		{"listed host without address", heartbeat(func(b *Heartbeat) { b.Members = []Member{{Host: "b"}} }), false},
		{"too many hosts", Message{Members: make([]Member, maxMembers+1)}, false},
		{"hosts", Message{Members: []Member{{Host: "b", IP: "10.0.0.2"}}}, true},
		{"report", Message{Report: &Report{From: "a"}}, true},
		{"report without a host", Message{Report: &Report{}}, false},
		{"service time", Message{Report: &Report{From: "a", ServiceTimes: []owner.ServiceTime{{N: 1, Ratio: math.Inf(1)}}}}, false},
		{"load of a key", Message{Report: &Report{From: "a", KeyLoads: map[keys.Service][]owner.KeyLoad{"ledger": {{Time: -1}}}}}, false},
		{"ask", Message{Asks: []Ask{{Num: 1, Server: "s", Born: 5, Slots: 2, ObjectiveIn: -20, DeadlineIn: 300, RouteMean: 80}}}, true},
		{"ask without a server", Message{Asks: []Ask{{Num: 1, DeadlineIn: 300}}}, false},
		{"ask for ever", Message{Asks: []Ask{{Num: 1, Server: "s", DeadlineIn: math.MaxInt64}}}, false},
		{"ask with an objective that can't be", Message{Asks: []Ask{{Num: 1, Server: "s", ObjectiveIn: math.MinInt64, DeadlineIn: 300}}}, false},
		{"ask after its deadline", Message{Asks: []Ask{{Num: 1, Server: "s", DeadlineIn: -1}}}, false},
		{"ask with a mean below zero", Message{Asks: []Ask{{Num: 1, Server: "s", RouteMean: -1}}}, false},
		{"ask with a priority below zero", Message{Asks: []Ask{{Num: 1, Server: "s", Priority: -1}}}, false},
		{"ask for a cold server", Message{Asks: []Ask{{Num: 1, Server: "s", Cold: 4000, ColdRate: 4.6, AtOnce: true}}}, true},
		{"ask with a cold rate that isn't a number", Message{Asks: []Ask{{Num: 1, Server: "s", Cold: 4000, ColdRate: math.NaN()}}}, false},
		{"ask for a server that is cold for ever", Message{Asks: []Ask{{Num: 1, Server: "s", Cold: math.MaxInt64, ColdRate: 4}}}, false},
		{"too many asks", Message{Asks: make([]Ask, maxAdmissions+1)}, false},
		{"reply", Message{AskReplies: []AskReply{{Num: 1, Verdict: VerdictRefused, RetryAfter: 80}}}, true},
		{"reply with an unknown verdict", Message{AskReplies: []AskReply{{Num: 1, Verdict: numVerdicts}}}, false},
		{"reply with a delay below zero", Message{AskReplies: []AskReply{{Num: 1, Verdict: VerdictRefused, RetryAfter: -1}}}, false},
		{"result", Message{AskDones: []AskDone{{Num: 1, Duration: 80, Load: 2, HasLoad: true}}}, true},
		{"result with a time below zero", Message{AskDones: []AskDone{{Num: 1, Duration: -1}}}, false},
		{"result with a load that can't be", Message{AskDones: []AskDone{{Num: 1, Load: maxInFlight + 1}}}, false},
		{"part of a table", Message{TableParts: []TablePart{{Part: 1, Parts: 2}}}, true},
		{"part that can't be", Message{TableParts: []TablePart{{Part: 2, Parts: 2}}}, false},
		{"part below zero", Message{TableParts: []TablePart{{Part: -1, Parts: 2}}}, false},
		{"too many parts", Message{TableParts: []TablePart{{Part: 0, Parts: maxTableParts + 1}}}, false},
		{"suspects", Message{Suspects: []retry.SuspectRecord{{}}}, true},
		{"suspect with a loss", Message{Suspects: []retry.SuspectRecord{{Losses: []retry.RunLoss{{Loss: retry.Loss{Process: 1, Kind: retry.Ended, Age: 5}, Ran: 3}}}}}, true},
		{"suspect with a loss of an unknown kind", Message{Suspects: []retry.SuspectRecord{{Losses: []retry.RunLoss{{Loss: retry.Loss{Kind: retry.Ended + 1}}}}}}, false},
		{"suspect that ran for less than no time", Message{Suspects: []retry.SuspectRecord{{Losses: []retry.RunLoss{{Ran: -1}}}}}, false},
		{"losses", Message{Suspects: []retry.SuspectRecord{{}}, Losses: []retry.Loss{{Process: 1, Age: 5}}}, true},
		{"loss in the future", Message{Suspects: []retry.SuspectRecord{{}}, Losses: []retry.Loss{{Age: -1}}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, err := cbor.Marshal(tt.msg)
			is.NoErr(err)
			_, err = Decode(b)
			is.Equal(err == nil, tt.ok)
		})
	}
}

// A datagram that was cut short anywhere is dropped.
func TestCutMessages(t *testing.T) {
	is := is.New(t)
	b, err := Encode(heartbeat(func(b *Heartbeat) { b.Members = []Member{{Host: "b", IP: "10.0.0.2", DC: "north"}} }))
	is.NoErr(err)
	for n := range b {
		_, err := Decode(b[:n])
		is.True(err != nil)
	}
}

// FuzzDecode decodes arbitrary datagrams. One that is accepted keeps its meaning
// when it is sent on.
func FuzzDecode(f *testing.F) {
	for _, msg := range []Message{heartbeat(func(*Heartbeat) {}), {Members: []Member{{Host: "b", IP: "10.0.0.2"}}}, {Report: &Report{From: "a"}}} {
		b, err := Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(msg)
		if err != nil {
			return // too large for a datagram
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("%v, after %+v", err, msg)
		}
	})
}

// earlierSuspect is a suspect as hosts of earlier versions know it.
type earlierSuspect struct {
	retry.Signature
	Crashes     int        `json:"crashes"`
	Quarantined bool       `json:"quarantined"`
	Remaining   clock.Span `json:"leftMs"`
}

// earlierMessage has the suspects of a message as hosts of earlier versions know it.
type earlierMessage struct {
	Suspects []earlierSuspect `cbor:"4,keyasint,omitempty"`
}

// Guards against suspects that hosts of earlier versions can't read, or the other way
// round.
func TestSuspectsOfOtherVersions(t *testing.T) {
	is := is.New(t)
	sig := retry.Signature{Op: "POST h", Key: 3, Body: 4}
	b, err := Encode(Message{
		Suspects: []retry.SuspectRecord{{
			Signature: sig, Crashes: 1, Remaining: 7, Losses: []retry.RunLoss{{Loss: retry.Loss{Process: 1, Service: "a", Kind: retry.Refused, Age: 5}, Ran: 3, Alone: true}},
		}},
		Losses: []retry.Loss{{Process: 2, Age: 9}},
	})
	is.NoErr(err)
	var earlier earlierMessage
	is.NoErr(cbor.Unmarshal(b, &earlier))
	is.Equal(earlier, earlierMessage{Suspects: []earlierSuspect{{Signature: sig, Crashes: 1, Remaining: 7}}})
	b, err = cbor.Marshal(earlier)
	is.NoErr(err)
	msg, err := Decode(b)
	is.NoErr(err)
	is.Equal(msg, Message{Suspects: []retry.SuspectRecord{{Signature: sig, Crashes: 1, Remaining: 7}}})
}
