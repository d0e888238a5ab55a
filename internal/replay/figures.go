package replay

import (
	"encoding/json"
	"fmt"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Result is the result of a trace.
type Result struct {
	Name     string    `json:"name"`
	Policy   string    `json:"policy"`
	Met      bool      `json:"met"`
	Verdicts []Verdict `json:"verdicts"`
	Figures  Figures   `json:"figures"`
}

// Verdict is the comparison of a figure with its bound.
type Verdict struct {
	Figure string  `json:"figure"`
	Bound  float64 `json:"bound"`
	Value  float64 `json:"value"`
	Met    bool    `json:"met"`
}

// Figures has the figures of a run, counted from the trace's WarmupEnd.
type Figures struct {
	ImbalanceMean float64 `json:"imbalanceMean"`
	ImbalancePeak float64 `json:"imbalancePeak"`
	// Churn is the load moved divided by the least load that had to move: the
	// load of servers that left, were lost or froze, an equal share for each
	// server that joined or returned, and the load that a LoadChanges event put
	// above the policy's bound. It is 0 if no load had to move.
	Churn float64 `json:"churn"`
	// MovedShare is the load moved divided by the mean load of all keys.
	MovedShare            float64    `json:"movedShare"`
	UnavailableKeySeconds float64    `json:"unavailableKeySeconds"`
	LongestGap            clock.Span `json:"longestGapMs"`
	LongestGapAt          clock.Time `json:"longestGapAtMs"` // end of the longest gap
	// LeavingWork is the longest time from the moment when a server began to
	// drain to the last request that was sent to it.
	LeavingWork clock.Span `json:"leavingWorkMs"`
	// DoubleOwners counts samples in which two servers could run requests for
	// the same hash.
	DoubleOwners       int     `json:"doubleOwners"`
	KeyMoves           int     `json:"keyMoves"`
	RangeMoves         int     `json:"rangeMoves"`
	Elections          int     `json:"elections"`
	MessagesPerHostSec float64 `json:"messagesPerHostSecond"`
	BytesPerHostSec    float64 `json:"bytesPerHostSecond"`
}

// evaluate compares the figures with the expected outcome. That each key has at
// most one owner at a time is an invariant, which is checked for each trace.
func evaluate(t Trace, f Figures) Result {
	r := Result{Name: t.Name, Policy: t.Policy, Met: true, Figures: f}
	add := func(figure string, bound *float64, value float64) {
		if bound == nil {
			return
		}
		v := Verdict{Figure: figure, Bound: *bound, Value: value, Met: value <= *bound}
		r.Verdicts, r.Met = append(r.Verdicts, v), r.Met && v.Met
	}
	add("doubleOwners", new(float64), float64(f.DoubleOwners))
	add("longestGapMs", t.Outcome.LongestGap, float64(f.LongestGap))
	add("leavingWorkMs", t.Outcome.LeavingWork, float64(f.LeavingWork))
	add("imbalanceMean", t.Outcome.ImbalanceMean, f.ImbalanceMean)
	add("imbalancePeak", t.Outcome.ImbalancePeak, f.ImbalancePeak)
	add("churn", t.Outcome.Churn, f.Churn)
	add("movedShare", t.Outcome.MovedShare, f.MovedShare)
	add("unavailableKeySeconds", t.Outcome.UnavailableKeySeconds, f.UnavailableKeySeconds)
	add("bytesPerHostSecond", t.Outcome.BytesPerHostSec, f.BytesPerHostSec)
	return r
}

// Upper estimates of the sizes of encoded messages, in bytes: a 64-bit number
// takes up to 10 bytes and a field tag, a name up to 16 bytes. Tables are
// encoded as JSON to get their size.
const (
	frameBytes  = 60 + 24 // HTTP/2 and gRPC frames, name of the cell
	electBytes  = 60
	voterBytes  = 30
	leaseBytes  = 34
	loadBytes   = 54
	serverBytes = 32
	probeBytes  = 250 // HTTP request and response
	pushBytes   = 90  // per grant, as JSON
)

func reportBytes(rs []grant.Report) (n int) {
	for _, r := range rs {
		n += serverBytes + leaseBytes*(len(r.Held)+len(r.Moved)) + loadBytes*len(r.Loads)
	}
	return n
}

func grantBytes(ss []grant.Server) (n int) {
	for _, s := range ss {
		n += serverBytes + leaseBytes*len(s.Grants)
	}
	return n
}

func tableBytes(t assign.Table) int {
	b, err := json.Marshal(t.Assignment)
	if err != nil {
		panic(fmt.Sprintf("replay: cannot encode table: %v", err))
	}
	return len(b)
}

// stats collects the figures.
type stats struct {
	Figures
	hosts                 int
	maxImbalance          float64 // load above it has to move
	moved, minMoved       float64 // load that was moved, and that had to move
	loadSum, imbalanceSum float64
	samples               int
	seenFences            map[keys.Fence]bool
	messages, bytes       int
}

func (m *stats) figures(t Trace) Figures {
	f := m.Figures
	if m.samples > 0 {
		f.ImbalanceMean = m.imbalanceSum / float64(m.samples)
		f.MovedShare = m.moved / (m.loadSum / float64(m.samples))
	}
	if m.minMoved > 0 {
		f.Churn = m.moved / m.minMoved
	}
	hostSeconds := float64(m.hosts) * float64(t.End.Sub(t.WarmupEnd)) / float64(clock.Second)
	f.MessagesPerHostSec, f.BytesPerHostSec = float64(m.messages)/hostSeconds, float64(m.bytes)/hostSeconds
	return f
}
