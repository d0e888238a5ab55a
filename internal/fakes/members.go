package fakes

import (
	"net/http"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/store"
)

// maxMemberLists is the number of versions of the host list that are kept for
// its lag.
const maxMemberLists = 1024

// memberList is a version of the host list. It is never modified.
type memberList struct {
	since   clock.Time
	members []store.Member
}

// AddMember adds a member or replaces the one of the same name.
func (s *Store) AddMember(m store.Member) {
	s.changeMembers(func(list []store.Member) []store.Member {
		return append(without(list, m.Name()), m)
	})
}

// MarkLeaving sets the state of a member to leaving.
func (s *Store) MarkLeaving(name string) {
	s.changeMembers(func(list []store.Member) []store.Member {
		for i, m := range list {
			if m.Name() == name {
				list[i] = m.WithState(store.StateLeaving)
			}
		}
		return list
	})
}

// RemoveMember removes a member.
func (s *Store) RemoveMember(name string) {
	s.changeMembers(func(list []store.Member) []store.Member { return without(list, name) })
}

func without(list []store.Member, name string) []store.Member {
	return slices.DeleteFunc(list, func(m store.Member) bool { return m.Name() == name })
}

// changeMembers appends a version of the host list; fn gets a copy of the last
// one.
func (s *Store) changeMembers(fn func([]store.Member) []store.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.memberLists[len(s.memberLists)-1].members
	s.memberLists = append(s.memberLists, memberList{s.clock.Now(), fn(slices.Clone(last))})
	if len(s.memberLists) > maxMemberLists {
		s.memberLists = slices.Delete(s.memberLists, 0, 1)
	}
}

// laggedMembers returns the host list as it was before the lag.
func (s *Store) laggedMembers() []store.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now().Add(-s.faults.listLag)
	for _, m := range slices.Backward(s.memberLists) {
		if !m.since.After(at) {
			return m.members
		}
	}
	return nil
}

func (s *Store) hosts(w http.ResponseWriter, _ *http.Request, _ []byte) {
	writeJSON(w, struct {
		Members []store.Member `json:"members"`
	}{s.laggedMembers()})
}
