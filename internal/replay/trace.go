// Package replay plays recorded traces of load and failures against the
// ownership decisions and compares the result with the outcome that the trace
// states.
//
// A trace is one file in JSON with comments: a header (hosts, servers, key
// sets, policy, seed, stated outcome) and events with their times. The trace
// is played in simulated time against one elect, assign and hold state per
// entry host. Messages take a fixed delay; the store, the host list and the
// backend servers are the smallest models that the decisions need.
//
// # Usage
//
//	t, err := replay.Read("season.jsonc")
//	res := replay.Play(t)
//	for _, v := range res.Verdicts { ... }
//
// Play uses no clock and one seeded source, so a trace has one result.
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

// Trace is a recorded trace.
type Trace struct {
	Name string `json:"name"`
	// About says what the trace shows.
	About   string       `json:"about"`
	Seed    uint64       `json:"seed"`
	Policy  string       `json:"policy"` // LeastUnavailable or LeastChurn
	Hosts   []keys.Host  `json:"hosts"`
	Servers []ServerSpec `json:"servers"`
	Keys    []KeySet     `json:"keys"`
	// Counting starts at Warm and ends at End.
	Warm clock.Time `json:"warmMs"`
	End  clock.Time `json:"endMs"`
	// Delay is the time that a message takes, Service that of a request.
	Delay   clock.Span `json:"delayMs"`
	Service clock.Span `json:"serviceMs"`
	// Step is the time between two samples, and between two ticks of assign and
	// hold, which allow up to 20 ms. Default 10 ms.
	Step clock.Span `json:"stepMs"`
	// ListLag is the time after which the host list shows a change.
	ListLag clock.Span `json:"listLagMs"`
	Outcome Outcome    `json:"outcome"`
	Events  []Event    `json:"events"`

	policy assign.Policy
}

// ServerSpec is a backend server. One that is absent joins by an event.
type ServerSpec struct {
	Name   keys.Server `json:"name"`
	Checks bool        `json:"checks"`
	Absent bool        `json:"absent"`
}

// KeySet is a number of keys whose rates fall with their rank by the power
// Zipf. Their hashes are in the part From to To of the hash space.
type KeySet struct {
	Name  string  `json:"name"`
	Count int     `json:"count"`
	Zipf  float64 `json:"zipf"`
	From  float64 `json:"from"`
	To    float64 `json:"to"` // 0 means 1
}

// Outcome is the stated outcome. A bound that is absent isn't checked.
type Outcome struct {
	LongestGap    *float64 `json:"longestGapMs"`
	LeavingWork   *float64 `json:"leavingWorkMs"`
	ImbalanceMean *float64 `json:"imbalanceMean"`
	ImbalancePeak *float64 `json:"imbalancePeak"`
	Churn         *float64 `json:"churn"`
	Moved         *float64 `json:"movedShare"`
	Unavailable   *float64 `json:"unavailableKeySeconds"`
	Bytes         *float64 `json:"bytesPerHostSecond"`
}

// Kind is what happens in an event.
type Kind string

// Kinds of events. An event of a host may name "assigner" or "dispatcher" (of
// Server) instead of a host.
const (
	Load           Kind = "load"           // Keys has Rate requests/s
	ServerJoins    Kind = "serverJoins"    // also after a loss
	ServerLeaves   Kind = "serverLeaves"   // drains
	ServerLost     Kind = "serverLost"     // Refuses: its machine answers
	ServerFrozen   Kind = "serverFrozen"   // resumed by ServerReturns
	ServerReturns  Kind = "serverReturns"  // from frozen
	HostLost       Kind = "hostLost"       // returned by HostRestarts
	HostRestarts   Kind = "hostRestarts"   // after Span
	HostLeaves     Kind = "hostLeaves"     // is about to stop
	HostPaused     Kind = "hostPaused"     // for Span
	StoreDown      Kind = "storeDown"      // until StoreUp
	StoreUp        Kind = "storeUp"        // also ends StoreSlow
	StoreSlow      Kind = "storeSlow"      // answers take Span
	CentreCut      Kind = "dataCentreCut"  // no store, no host list
	CentreRestored Kind = "dataCentreBack" //
)

var kinds = []Kind{Load, ServerJoins, ServerLeaves, ServerLost, ServerFrozen, ServerReturns, HostLost,
	HostRestarts, HostLeaves, HostPaused, StoreDown, StoreUp, StoreSlow, CentreCut, CentreRestored}

// Names that an event may use for a host.
const (
	theAssigner   keys.Host = "assigner"
	theDispatcher keys.Host = "dispatcher"
)

// Event is a timed event.
type Event struct {
	At      clock.Time  `json:"atMs"`
	Do      Kind        `json:"do"`
	Server  keys.Server `json:"server"`
	Host    keys.Host   `json:"host"`
	Keys    string      `json:"keys"`
	Rate    float64     `json:"rate"`
	Span    clock.Span  `json:"spanMs"`
	Refuses bool        `json:"refuses"`
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
	t = Trace{Step: 10, Delay: 1, Service: 5, ListLag: 2 * clock.Second}
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
		return fmt.Errorf("policy %q is unknown", t.Policy)
	}
	if len(t.Hosts) == 0 || len(t.Servers) == 0 || len(t.Keys) == 0 {
		return errors.New("hosts, servers and keys are required")
	}
	if t.Warm < 0 || t.End <= t.Warm || t.Delay < 1 || t.Service < 1 {
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
			return fmt.Errorf("key set %q needs a count and 0 <= from < to <= 1", k.Name)
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
	if !slices.Contains(kinds, e.Do) {
		return fmt.Errorf("%q is no kind of event", e.Do)
	}
	server := slices.ContainsFunc(t.Servers, func(s ServerSpec) bool { return s.Name == e.Server })
	switch e.Do {
	case Load:
		if !slices.ContainsFunc(t.Keys, func(k KeySet) bool { return k.Name == e.Keys }) {
			return fmt.Errorf("no key set %q", e.Keys)
		}
	case ServerJoins, ServerLeaves, ServerLost, ServerFrozen, ServerReturns:
		if !server {
			return fmt.Errorf("no server %q", e.Server)
		}
	case HostLost, HostRestarts, HostLeaves, HostPaused:
		if e.Host == theDispatcher && !server {
			return fmt.Errorf("no server %q", e.Server)
		}
		if e.Host != theAssigner && e.Host != theDispatcher && !slices.Contains(t.Hosts, e.Host) {
			return fmt.Errorf("no host %q", e.Host)
		}
	case StoreSlow:
		if e.Span <= 0 {
			return errors.New("spanMs must be positive")
		}
	}
	return nil
}
