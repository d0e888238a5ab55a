package place

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// SetAdmission says whether requests are admitted to servers by the servers' admitters
// (see package admit). Then no host has a share of a cold server's rate of its own.
func (s *State) SetAdmission(on bool) {
	s.admission = on
	s.SetColdAdmitted(on)
}

// needsAdmission reports whether the admitter of its owner decides when a request is sent. The
// load that this host knows of is then of no use: most of the owner's requests come from
// hosts that don't report theirs.
func (s *State) needsAdmission(r *Request) bool { return s.admission && r.Keyed && s.share.Count > 1 }

// waitForOwner returns how long a request whose admission is asked for has to wait
// before: for the end of a pause of the owner of its key.
func (s *State) waitForOwner(now clock.Time, r *Request) clock.Span {
	if sv := s.ownerOf(r); sv != nil {
		return sv.pauseLeft(now)
	}
	return 0 // unknown how long the key will have no owner
}

// Decline has a server get no requests without a key for a time, as its admitter has
// refused one.
func (s *State) Decline(now clock.Time, id keys.Server, d clock.Span) {
	if sv := s.servers[id]; sv != nil {
		sv.declinedUntil = now.Add(min(d, retryAfterMax))
	}
}

// unavailable reports whether a server gets no requests without a key for now.
func (sv *server) unavailable(now clock.Time) bool {
	return sv.avoided(now) || now < sv.declinedUntil
}

// Sendable reports whether a request that was started on a server and has waited for its
// admission since may still be sent there: the server may have begun to leave, asked for
// a pause or become unreachable meanwhile.
func (s *State) Sendable(now clock.Time, id keys.Server, keyed bool) bool {
	sv := s.servers[id]
	if sv == nil || sv.gone(now) || sv.avoided(now) {
		return false
	}
	return keyed || slices.Contains(s.candidates(now, sv.Service), sv)
}
