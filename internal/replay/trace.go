// Package replay plays recorded traces of load and failures against the
// ownership decisions and checks the result against the outcome that the trace
// expects.
//
// A trace is one file in JSON with comments: a header (hosts, servers, key
// sets, policy, seed, expected outcome) and events with their times. The trace
// is played in simulated time against one elect, assign and lease state per
// entry host. Messages take a fixed delay; the store, the host list and the
// backend servers are simple models with only what the decisions depend on.
//
// # Usage
//
//	t, err := replay.Read("season.jsonc")
//	res := replay.Play(t)
//	for _, v := range res.Verdicts { ... }
//
// Play reads no real clock and uses one seeded random source, so it always
// returns the same result for a trace.
package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/tailscale/hujson"
)

// Trace is a recorded trace of load and failures.
type Trace struct {
	Name string `json:"name"`
	// About describes the trace.
	About   string       `json:"about"`
	Seed    uint64       `json:"seed"`
	Policy  string       `json:"policy"` // LeastUnavailable or LeastChurn
	Hosts   []keys.Host  `json:"hosts"`
	Servers []ServerSpec `json:"servers"`
	Keys    []KeySet     `json:"keys"`
	// Figures are counted from WarmupEnd to End.
	WarmupEnd clock.Time `json:"warmMs"`
	End       clock.Time `json:"endMs"`
	// MessageDelay is the time that a message takes in one direction.
	MessageDelay clock.Span `json:"delayMs"`
	ServiceTime  clock.Span `json:"serviceMs"`
	// Step is the time between two samples, and between two ticks of assign and
	// lease, which need a tick at least every 20 ms. The default is 10 ms.
	Step clock.Span `json:"stepMs"`
	// ListLag is the time until a change appears in the host list.
	ListLag clock.Span `json:"listLagMs"`
	Outcome Outcome    `json:"outcome"`
	Events  []Event    `json:"events"`

	policy assign.Policy
}

// ServerSpec is a backend server. An absent server starts with an event
// ServerJoins.
type ServerSpec struct {
	Name         keys.Server `json:"name"`
	ChecksFences bool        `json:"checks"`
	Absent       bool        `json:"absent"`
}

// KeySet is a set of keys whose request rates have a Zipf distribution with the
// exponent Zipf. Their hashes lie between the fractions From and To of the hash
// space.
type KeySet struct {
	Name  string  `json:"name"`
	Count int     `json:"count"`
	Zipf  float64 `json:"zipf"`
	From  float64 `json:"from"`
	To    float64 `json:"to"` // 0 means 1
}

// Outcome has the upper bounds that a trace expects. A bound that is absent
// isn't checked.
type Outcome struct {
	LongestGap            *float64 `json:"longestGapMs"`
	LeavingWork           *float64 `json:"leavingWorkMs"`
	ImbalanceMean         *float64 `json:"imbalanceMean"`
	ImbalancePeak         *float64 `json:"imbalancePeak"`
	Churn                 *float64 `json:"churn"`
	MovedShare            *float64 `json:"movedShare"`
	UnavailableKeySeconds *float64 `json:"unavailableKeySeconds"`
	BytesPerHostSec       *float64 `json:"bytesPerHostSecond"`
}

// Kind is a kind of event.
type Kind string

// Kinds of events. A host event may give "assigner" or "dispatcher" instead of
// a host name: the current assigner, or the current dispatcher of Server.
const (
	LoadChanges           Kind = "load"           // the key set Keys gets Rate requests/s
	ServerJoins           Kind = "serverJoins"    // also the restart of a lost server
	ServerLeaves          Kind = "serverLeaves"   // the server begins to drain
	ServerLost            Kind = "serverLost"     // with Refuses, its machine refuses connections; otherwise it doesn't respond
	ServerFrozen          Kind = "serverFrozen"   // until ServerReturns
	ServerReturns         Kind = "serverReturns"  // a frozen server resumes
	HostLost              Kind = "hostLost"       // until HostRestarts
	HostRestarts          Kind = "hostRestarts"   // stops at once and starts after Duration
	HostLeaves            Kind = "hostLeaves"     // announces that it will stop
	HostPaused            Kind = "hostPaused"     // for Duration
	StoreDown             Kind = "storeDown"      // until StoreUp
	StoreUp               Kind = "storeUp"        // also ends StoreSlow
	StoreSlow             Kind = "storeSlow"      // a call takes Duration
	DataCentrePartitioned Kind = "dataCentreCut"  // the store and the host list are unreachable
	DataCentreReconnected Kind = "dataCentreBack" // ends DataCentrePartitioned
)

var kinds = []Kind{LoadChanges, ServerJoins, ServerLeaves, ServerLost, ServerFrozen, ServerReturns, HostLost,
	HostRestarts, HostLeaves, HostPaused, StoreDown, StoreUp, StoreSlow, DataCentrePartitioned, DataCentreReconnected}

// Values of Event.Host that stand for the host with a role.
const (
	assignerRole   keys.Host = "assigner"
	dispatcherRole keys.Host = "dispatcher"
)

// Event is an event at a time of the trace.
type Event struct {
	At       clock.Time  `json:"atMs"`
	Kind     Kind        `json:"do"`
	Server   keys.Server `json:"server"`
	Host     keys.Host   `json:"host"`
	Keys     string      `json:"keys"`
	Rate     float64     `json:"rate"`
	Duration clock.Span  `json:"spanMs"`
	Refuses  bool        `json:"refuses"`
}

// Read reads a trace file.
func Read(file string) (t Trace, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return t, fmt.Errorf("replay.Read: %w", err)
	}
	if t, err = Parse(data); err != nil {
		return t, fmt.Errorf("%s: %w", file, err)
	}
	return t, nil
}

// Parse decodes and checks a trace.
func Parse(data []byte) (t Trace, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("replay.Parse: %w", err)
		}
	}()
	data, err = hujson.Standardize(data)
	if err != nil {
		return t, err
	}
	t = Trace{Step: 10, MessageDelay: 1, ServiceTime: 5, ListLag: 2 * clock.Second}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err = dec.Decode(&t); err != nil {
		return t, err
	}
	return t, t.check()
}

func (t *Trace) check() error {
	switch t.Policy {
	case assign.LeastUnavailable.String():
		t.policy = assign.LeastUnavailable
	case assign.LeastChurn.String():
		t.policy = assign.LeastChurn
	default:
		return fmt.Errorf("unknown policy %q", t.Policy)
	}
	if len(t.Hosts) == 0 || len(t.Servers) == 0 || len(t.Keys) == 0 {
		return errors.New("at least one host, server and key set is required")
	}
	if t.WarmupEnd < 0 || t.End <= t.WarmupEnd || t.MessageDelay < 1 || t.ServiceTime < 1 {
		return errors.New("endMs must exceed warmMs; delayMs and serviceMs must be positive")
	}
	if t.Step != 10 && t.Step != 20 {
		return errors.New("stepMs must be 10 or 20")
	}
	for i := range t.Keys {
		k := &t.Keys[i]
		if k.To == 0 {
			k.To = 1
		}
		if k.Count < 1 || k.From < 0 || k.From >= k.To || k.To > 1 {
			return fmt.Errorf("key set %q needs a positive count and 0 <= from < to <= 1", k.Name)
		}
	}
	for i, e := range t.Events {
		if err := t.checkEvent(e); err != nil {
			return fmt.Errorf("event %d at %d ms: %w", i+1, e.At, err)
		}
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return int(a.At.Sub(b.At)) })
	return nil
}

func (t *Trace) checkEvent(e Event) error {
	if !slices.Contains(kinds, e.Kind) {
		return fmt.Errorf("unknown event kind %q", e.Kind)
	}
	server := slices.ContainsFunc(t.Servers, func(s ServerSpec) bool { return s.Name == e.Server })
	switch e.Kind {
	case LoadChanges:
		if !slices.ContainsFunc(t.Keys, func(k KeySet) bool { return k.Name == e.Keys }) {
			return fmt.Errorf("unknown key set %q", e.Keys)
		}
	case ServerJoins, ServerLeaves, ServerLost, ServerFrozen, ServerReturns:
		if !server {
			return fmt.Errorf("unknown server %q", e.Server)
		}
	case HostLost, HostRestarts, HostLeaves, HostPaused:
		if e.Host == dispatcherRole && !server {
			return fmt.Errorf("unknown server %q", e.Server)
		}
		if e.Host != assignerRole && e.Host != dispatcherRole && !slices.Contains(t.Hosts, e.Host) {
			return fmt.Errorf("unknown host %q", e.Host)
		}
	case StoreSlow:
		if e.Duration <= 0 {
			return errors.New("spanMs must be positive")
		}
	}
	return nil
}
