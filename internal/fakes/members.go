package fakes

import (
	"net/http"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/store"
)

// maxStates bounds the states of the host list that are kept for its lag.
const maxStates = 1024

// members is a state of the host list; it is never modified.
type members struct {
	since clock.Time
	list  []store.Member
}

// AddMember adds a host or replaces the one of the same name.
func (s *Store) AddMember(m store.Member) {
	s.change(func(list []store.Member) []store.Member {
		return append(without(list, m.Name()), m)
	})
}

// Leave marks a host as leaving.
func (s *Store) Leave(name string) {
	s.change(func(list []store.Member) []store.Member {
		for i, m := range list {
			if m.Name() == name {
				list[i] = m.WithState(store.Leaving)
			}
		}
		return list
	})
}

// RemoveMember removes a host.
func (s *Store) RemoveMember(name string) {
	s.change(func(list []store.Member) []store.Member { return without(list, name) })
}

func without(list []store.Member, name string) []store.Member {
	return slices.DeleteFunc(list, func(m store.Member) bool { return m.Name() == name })
}

// change appends a state of the host list; fn gets a copy of the last one.
func (s *Store) change(fn func([]store.Member) []store.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.members[len(s.members)-1].list
	s.members = append(s.members, members{s.clock.Now(), fn(slices.Clone(last))})
	if len(s.members) > maxStates {
		s.members = slices.Delete(s.members, 0, 1)
	}
}

// visible returns the state of the host list as old as the lag requires.
func (s *Store) visible() []store.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now().Add(-s.faults.lag)
	for _, m := range slices.Backward(s.members) {
		if !m.since.After(at) {
			return m.list
		}
	}
	return nil
}

func (s *Store) hosts(w http.ResponseWriter, _ *http.Request, _ []byte) {
	send(w, struct {
		Members []store.Member `json:"members"`
	}{s.visible()})
}
