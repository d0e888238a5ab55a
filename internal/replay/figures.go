package replay

import (
	"encoding/json"
	"fmt"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Result is what a trace led to.
type Result struct {
	Name     string    `json:"name"`
	Policy   string    `json:"policy"`
	Met      bool      `json:"met"`
	Verdicts []Verdict `json:"verdicts"`
	Figures  Figures   `json:"figures"`
}

// Verdict compares a figure with its bound.
type Verdict struct {
	Figure string  `json:"figure"`
	Bound  float64 `json:"bound"`
	Value  float64 `json:"value"`
	Met    bool    `json:"met"`
}

// Figures of a run, counted from the trace's Warm time.
type Figures struct {
	ImbalanceMean float64 `json:"imbalanceMean"`
	ImbalancePeak float64 `json:"imbalancePeak"`
	// Churn is the load moved divided by the least that would do: the load of
	// servers that left, an equal share for each that joined, and what a load
	// event put above the policy's bound. Without such a cause it is 0.
	Churn float64 `json:"churn"`
	// MovedShare is the load moved divided by the mean load of all keys.
	MovedShare            float64    `json:"movedShare"`
	UnavailableKeySeconds float64    `json:"unavailableKeySeconds"`
	LongestGap            clock.Span `json:"longestGapMs"`
	LongestGapAt          clock.Time `json:"longestGapAtMs"` // its end
	// LeavingWork is the time from a server's leaving to the last request
	// that was sent to it.
	LeavingWork clock.Span `json:"leavingWorkMs"`
	// DoubleOwners counts samples in which two servers could run one hash.
	DoubleOwners       int     `json:"doubleOwners"`
	KeyMoves           int     `json:"keyMoves"`
	RangeMoves         int     `json:"rangeMoves"`
	Elections          int     `json:"elections"`
	MessagesPerHostSec float64 `json:"messagesPerHostSecond"`
	BytesPerHostSec    float64 `json:"bytesPerHostSecond"`
}

// judge compares the figures with the stated outcome. One owner per key at any
// moment is an invariant and needs no statement.
func judge(t Trace, f Figures) Result {
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
	add("movedShare", t.Outcome.Moved, f.MovedShare)
	add("unavailableKeySeconds", t.Outcome.Unavailable, f.UnavailableKeySeconds)
	add("bytesPerHostSecond", t.Outcome.Bytes, f.BytesPerHostSec)
	return r
}

// Sizes of encoded messages, from above: a 64-bit number takes up to 10 bytes
// and a tag, names up to 16 bytes. Tables are sent as JSON and are measured.
const (
	frameBytes  = 60 + 24 // HTTP/2 and gRPC frames, cell
	electBytes  = 60
	voterBytes  = 30
	heldBytes   = 34
	loadBytes   = 54
	serverBytes = 32
	probeBytes  = 250 // HTTP request and answer
	pushBytes   = 90  // per grant, as JSON
)

func reportBytes(rs []grant.Report) (n int) {
	for _, r := range rs {
		n += serverBytes + heldBytes*(len(r.Held)+len(r.Moved)) + loadBytes*len(r.Loads)
	}
	return n
}

func grantBytes(ss []grant.Server) (n int) {
	for _, s := range ss {
		n += serverBytes + heldBytes*len(s.Grants)
	}
	return n
}

func tableBytes(t assign.Table) int {
	b, err := json.Marshal(t.Assignment)
	if err != nil {
		panic(fmt.Sprintf("replay: table can't be encoded: %v", err))
	}
	return len(b)
}

// measure collects the figures.
type measure struct {
	Figures
	hosts           int
	bound           float64 // imbalance from which load must move
	moved, least    float64
	loadSum, balSum float64
	samples         int
	seen            map[keys.Fence]bool
	messages, bytes int
}

func (m *measure) finish(t Trace) Figures {
	f := m.Figures
	if m.samples > 0 {
		f.ImbalanceMean = m.balSum / float64(m.samples)
		f.MovedShare = m.moved / (m.loadSum / float64(m.samples))
	}
	if m.least > 0 {
		f.Churn = m.moved / m.least
	}
	per := float64(m.hosts) * float64(t.End.Sub(t.Warm)) / float64(clock.Second)
	f.MessagesPerHostSec, f.BytesPerHostSec = float64(m.messages)/per, float64(m.bytes)/per
	return f
}
