package owner

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// setCold records until when the listed servers are cold.
func (a *Assigner) setCold(now clock.Time, servers []fleet.Server) {
	clear(a.coldUntil)
	for _, sv := range servers {
		if sv.Warmup > 0 {
			a.coldUntil[sv.ID] = now.Add(sv.Warmup)
		}
	}
}

func (a *Assigner) isCold(id keys.Server) bool { return a.now < a.coldUntil[id] }

// newOwners returns the servers that may become owners of ranges: the usable ones that
// aren't cold or, if there are none, all usable ones.
func (a *Assigner) newOwners(s keys.Service) []keys.Server {
	all := a.usableServers(s)
	if warm := slices.DeleteFunc(slices.Clone(all), a.isCold); len(warm) > 0 {
		return warm
	}
	return all
}

// avoidsAsOwner reports whether a server gets no ranges because it is cold and others
// aren't.
func (a *Assigner) avoidsAsOwner(s keys.Service, id keys.Server) bool {
	return a.isCold(id) && !slices.Contains(a.newOwners(s), id)
}

// balanced returns the servers among which load is balanced. A cold one without ranges
// isn't among them: it has no share of the load yet.
func (a *Assigner) balanced(s keys.Service) []keys.Server {
	return slices.DeleteFunc(a.usableServers(s), func(id keys.Server) bool { return a.isCold(id) && !a.hasRanges(s, id) })
}

// destinations returns those of the balanced servers that may get ranges for their load.
func (a *Assigner) destinations(ids []keys.Server) []keys.Server {
	return slices.DeleteFunc(slices.Clone(ids), a.isCold)
}
