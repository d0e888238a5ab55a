package owner

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// load has the decayed number of busy slots for each key.
type load struct {
	life clock.Span // half-life
	at   clock.Time
	keys map[Key]float64
	unit float64 // what one request adds
}

// speed is the time that a server takes, relative to the mean of its service.
type speed struct {
	ratio float64
	n     float64 // observations that it rests on, with the prior ones
}

// Busy is the time that servers have spent on a key.
type Busy struct {
	Key  Key        `cbor:"1,keyasint"`
	Time clock.Span `cbor:"2,keyasint"`
}

// Pace is the observed pace of a server: the sum over N requests of the time
// taken relative to the mean of their route.
type Pace struct {
	Server keys.Server `cbor:"1,keyasint"`
	N      int         `cbor:"2,keyasint"`
	Ratio  float64     `cbor:"3,keyasint"`
}

// Loads adds what a host has observed.
func (a *Assigner) Loads(now clock.Time, s keys.Service, busy []Busy) {
	if a.fast[s] == nil {
		a.fast[s] = &load{life: fastLife, at: now, keys: make(map[Key]float64)}
		a.slow[s] = &load{life: slowLife, at: now, keys: make(map[Key]float64)}
	}
	for _, l := range []*load{a.fast[s], a.slow[s]} {
		l.add(now, busy)
	}
}

func (l *load) add(now clock.Time, busy []Busy) {
	l.decay(now)
	// A steady load of one busy slot converges to 1.
	gain := math.Ln2 / float64(l.life)
	for _, b := range busy {
		x := float64(b.Time) * gain
		l.keys[b.Key] += x
		l.unit += unitWeight * (x - l.unit)
	}
}

// Paces adds observed paces of servers.
func (a *Assigner) Paces(paces []Pace) {
	for _, p := range paces {
		if p.N <= 0 {
			continue
		}
		sp := a.speed[p.Server]
		if sp == nil {
			sp = &speed{ratio: 1, n: speedPrior}
			a.speed[p.Server] = sp
		}
		sp.n = min(sp.n+float64(p.N), speedMemory)
		sp.ratio += float64(p.N) / sp.n * (p.Ratio/float64(p.N) - sp.ratio)
	}
}

func (l *load) decay(now clock.Time) {
	if now <= l.at {
		return
	}
	f := math.Exp2(-float64(now.Sub(l.at)) / float64(l.life))
	l.at = now
	for k, v := range l.keys {
		if v *= f; v < 1e-4 {
			delete(l.keys, k)
			continue
		}
		l.keys[k] = v
	}
}
