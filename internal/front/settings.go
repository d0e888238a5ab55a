package front

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Settings are what a process is told about itself and its surroundings.
type Settings struct {
	Host     keys.Host
	DC       keys.DataCentre
	IP       string
	Callers  string   // address for callers
	Ready    string   // address for the balancer's question
	Control  string   // address for operators; may be empty
	Metrics  string   // address for metrics; may be empty
	MeshPort uint16   // the same on all hosts
	Seeds    []string // addresses of some hosts; may be stale
	Store    string   // address of the store
	Power    float64  // processor, in cores of the usual speed

	Drain        clock.Span // until a leaving server gets no new requests
	Apply        clock.Span // until an accepted configuration is in force
	Grace        clock.Span // between SIGTERM and SIGKILL
	HoldMax      clock.Span // longest hold of a grant
	BudgetRatio  float64    // repeats per request
	BudgetSlack  float64    // repeats besides, of all hosts together
	BudgetWindow clock.Span
}
