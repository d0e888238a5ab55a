package store

import (
	"encoding/json"
	"fmt"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

//go:generate go tool stringer -type=Role,State -linecomment -output=member_string.go

// Role is what a member of the host list is: an entry host or a backend server.
type Role int

// Roles.
const (
	RoleEntry   Role = iota // entry
	RoleBackend             // backend
)

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Role) UnmarshalText(b []byte) error {
	for _, v := range []Role{RoleEntry, RoleBackend} {
		if v.String() == string(b) {
			*r = v
			return nil
		}
	}
	return fmt.Errorf("store.Role: %q is not a role; entry or backend is required", b)
}

// State is the state of a member of the platform's host list.
type State int

// States.
const (
	StateLive    State = iota // live
	StateLeaving              // leaving
)

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(b []byte) error {
	for _, v := range []State{StateLive, StateLeaving} {
		if v.String() == string(b) {
			*s = v
			return nil
		}
	}
	return fmt.Errorf("store.State: %q is not a state; live or leaving is required", b)
}

// Addresses are the host:port pairs on which a member listens. Entry hosts have
// the first four, backend servers only Requests.
type Addresses struct {
	Callers   string `json:"callers,omitempty"`
	Relay     string `json:"relay,omitempty"`
	Peers     string `json:"peers,omitempty"`
	Operators string `json:"operators,omitempty"`
	Requests  string `json:"requests,omitempty"`
}

// Member is an entry host or a backend server in the platform's host list.
type Member struct {
	name       string
	dataCentre keys.DataCentre
	role       Role
	service    keys.Service
	addresses  Addresses
	state      State
}

// NewEntryMember returns a Member for a live entry host.
func NewEntryMember(name keys.Host, dc keys.DataCentre, a Addresses) Member {
	return Member{name: string(name), dataCentre: dc, role: RoleEntry, addresses: a}
}

// NewBackendMember returns a Member for a live backend server that listens for
// requests at addr.
func NewBackendMember(name keys.Server, dc keys.DataCentre, s keys.Service, addr string) Member {
	return Member{
		name: string(name), dataCentre: dc, role: RoleBackend, service: s,
		addresses: Addresses{Requests: addr},
	}
}

// WithState returns a copy of m with the given state.
func (m Member) WithState(s State) Member {
	m.state = s
	return m
}

// Name returns the member's name: a keys.Host or a keys.Server.
func (m Member) Name() string { return m.name }

// DataCentre returns the data centre that the member is in.
func (m Member) DataCentre() keys.DataCentre { return m.dataCentre }

// Role returns whether the member is an entry host or a backend server.
func (m Member) Role() Role { return m.role }

// Service returns the service of a backend server; it is empty for an entry host.
func (m Member) Service() keys.Service { return m.service }

// Addresses returns where the member listens.
func (m Member) Addresses() Addresses { return m.addresses }

// State returns whether the member is live or leaving.
func (m Member) State() State { return m.state }

type memberJSON struct {
	Name       string          `json:"name"`
	DataCentre keys.DataCentre `json:"dataCentre"`
	Role       Role            `json:"role"`
	Service    keys.Service    `json:"service,omitempty"`
	Addresses  Addresses       `json:"addresses"`
	State      State           `json:"state"`
}

// MarshalJSON implements json.Marshaler.
func (m Member) MarshalJSON() ([]byte, error) {
	return json.Marshal(memberJSON{m.name, m.dataCentre, m.role, m.service, m.addresses, m.state})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Member) UnmarshalJSON(b []byte) error {
	var v memberJSON
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("store.Member: %w", err)
	}
	*m = Member{v.Name, v.DataCentre, v.Role, v.Service, v.Addresses, v.State}
	return nil
}
