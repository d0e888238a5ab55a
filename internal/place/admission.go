package place

import "github.com/laburnummux/laburnummux/internal/clock"

// SetAdmission says whether requests are admitted to servers by the servers' admitters
// (see package admit).
func (s *State) SetAdmission(on bool) { s.admission = on }

// admits reports whether the admitter of its owner decides when a request is sent. The
// load that this host knows of is then of no use: most of the owner's requests come from
// hosts that don't report theirs.
func (s *State) admits(r *Request) bool { return s.admission && r.Keyed && s.share.Count > 1 }

// waitForOwner returns how long a request whose admission is asked for has to wait
// before: for the end of a pause of the owner of its key.
func (s *State) waitForOwner(now clock.Time, r *Request) clock.Span {
	if sv := s.ownerOf(r); sv != nil {
		return sv.pauseLeft(now)
	}
	return 0 // unknown how long the key will have no owner
}
