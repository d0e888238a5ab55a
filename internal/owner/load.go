package owner

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// loadEstimate is an exponentially decayed estimate of the load of each key, in
// busy slots.
type loadEstimate struct {
	halfLife    clock.Span
	decayedAt   clock.Time
	keys        map[Key]float64
	requestLoad float64 // mean load that one request adds
}

// serviceTimeRatio is the estimated service time of a server, relative to the
// mean of its service.
type serviceTimeRatio struct {
	ratio  float64
	weight float64 // number of observations, from serviceTimePrior to serviceTimeMaxWeight
}

// KeyLoad is the time that servers have spent on requests for a key.
type KeyLoad struct {
	Key  Key        `cbor:"1,keyasint"`
	Time clock.Span `cbor:"2,keyasint"`
}

// ServiceTime is an observed service time ratio of a server: the sum, over N
// requests, of the service time relative to the mean of the request's route.
type ServiceTime struct {
	Server keys.Server `cbor:"1,keyasint"`
	N      int         `cbor:"2,keyasint"`
	Ratio  float64     `cbor:"3,keyasint"`
}

// AddLoads adds the load that a host has observed.
func (a *Assigner) AddLoads(now clock.Time, s keys.Service, loads []KeyLoad) {
	if a.fastLoads[s] == nil {
		a.fastLoads[s] = &loadEstimate{halfLife: fastHalfLife, decayedAt: now, keys: make(map[Key]float64)}
		a.slowLoads[s] = &loadEstimate{halfLife: slowHalfLife, decayedAt: now, keys: make(map[Key]float64)}
	}
	for _, l := range []*loadEstimate{a.fastLoads[s], a.slowLoads[s]} {
		l.add(now, loads)
	}
}

func (l *loadEstimate) add(now clock.Time, loads []KeyLoad) {
	l.decay(now)
	// A steady load of one busy slot converges to 1.
	gain := math.Ln2 / float64(l.halfLife)
	for _, b := range loads {
		x := float64(b.Time) * gain
		l.keys[b.Key] += x
		l.requestLoad += requestLoadWeight * (x - l.requestLoad)
	}
}

// AddServiceTimes adds observed service time ratios of servers.
func (a *Assigner) AddServiceTimes(times []ServiceTime) {
	for _, p := range times {
		if p.N <= 0 {
			continue
		}
		r := a.serviceTimeRatios[p.Server]
		if r == nil {
			r = &serviceTimeRatio{ratio: 1, weight: serviceTimePrior}
			a.serviceTimeRatios[p.Server] = r
		}
		r.weight = min(r.weight+float64(p.N), serviceTimeMaxWeight)
		r.ratio += float64(p.N) / r.weight * (p.Ratio/float64(p.N) - r.ratio)
	}
}

func (l *loadEstimate) decay(now clock.Time) {
	if now <= l.decayedAt {
		return
	}
	f := math.Exp2(-float64(now.Sub(l.decayedAt)) / float64(l.halfLife))
	l.decayedAt = now
	for k, v := range l.keys {
		if v *= f; v < 1e-4 {
			delete(l.keys, k)
			continue
		}
		l.keys[k] = v
	}
}
