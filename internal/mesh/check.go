package mesh

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/laburnummux/laburnummux/internal/clock"
)

const (
	// maxCores is the most processor that a host can tell. Hosts with much of it get
	// roles first.
	maxCores = 4096
	// maxMembers is the most hosts that a message can list. A datagram has no room
	// for more.
	maxMembers = 8192
	// maxInFlight is the most requests that a host can have at a server or queued.
	maxInFlight = 1 << 20
	// maxInterval is the longest interval of heartbeats.
	maxInterval = 10 * 60 * clock.Second
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	KindUnknown   Kind = iota // unknown
	KindHeartbeat             // heartbeat
	KindReport                // report
	KindTables                // tables
	KindSuspects              // suspects
	KindMembers               // members
	KindAdmission             // admission
	numKinds
)

// Kind returns the kind of the message's first part.
func (m Message) Kind() Kind {
	switch {
	case m.Heartbeat != nil:
		return KindHeartbeat
	case m.Report != nil:
		return KindReport
	case len(m.Tables) > 0, len(m.TableParts) > 0:
		return KindTables
	case len(m.Suspects) > 0:
		return KindSuspects
	case len(m.Members) > 0:
		return KindMembers
	case m.hasAdmissions():
		return KindAdmission
	}
	return KindUnknown
}

// check returns an error if a message can't be one of a host.
func (m Message) check() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: invalid message: %w", err)
		}
	}()
	if m.Kind() == KindUnknown {
		return errors.New("no part that this version knows")
	}
	if m.Heartbeat != nil {
		if err := m.Heartbeat.check(); err != nil {
			return err
		}
	}
	if m.Report != nil {
		if err := m.Report.check(); err != nil {
			return err
		}
	}
	if err := m.checkAdmissions(); err != nil {
		return err
	}
	if err := m.checkTableParts(); err != nil {
		return err
	}
	if err := m.checkLosses(); err != nil {
		return err
	}
	return checkMembers(m.Members)
}

func (b *Heartbeat) check() error {
	if b.From == "" {
		return errors.New("heartbeat without a host")
	}
	if _, err := netip.ParseAddr(b.IP); err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	if b.Interval < 0 || b.Interval > maxInterval || b.Reach < ReachGroup || b.Reach > ReachAll || !(b.Cores >= 0 && b.Cores <= maxCores) {
		return fmt.Errorf("heartbeat with interval %d ms, reach %d, %v cores", b.Interval, b.Reach, b.Cores)
	}
	for _, n := range b.InFlight {
		if n < 0 || n > maxInFlight {
			return fmt.Errorf("heartbeat with %d requests in flight", n)
		}
	}
	for _, n := range b.Queued {
		if n < 0 || n > maxInFlight {
			return fmt.Errorf("heartbeat with %d queued requests", n)
		}
	}
	return checkMembers(b.Members)
}

func (r *Report) check() error {
	if r.From == "" {
		return errors.New("report without a host")
	}
	for _, t := range r.ServiceTimes {
		if t.N < 0 || !(t.Ratio >= 0) || math.IsInf(t.Ratio, 0) {
			return fmt.Errorf("report with %d requests and a ratio of %v", t.N, t.Ratio)
		}
	}
	for _, loads := range r.KeyLoads {
		for _, l := range loads {
			if l.Time < 0 {
				return fmt.Errorf("report with a load of %d ms", l.Time)
			}
		}
	}
	return nil
}

func (m Message) checkLosses() error {
	for _, l := range m.Losses {
		if !l.Valid() {
			return fmt.Errorf("loss of kind %d, %d ms ago", l.Kind, l.Age)
		}
	}
	for _, s := range m.Suspects {
		for _, l := range s.Losses {
			if !l.Valid() {
				return fmt.Errorf("loss of kind %d, %d ms ago, after %d ms", l.Loss.Kind, l.Loss.Age, l.Ran)
			}
		}
	}
	return nil
}

func checkMembers(list []Member) error {
	if len(list) > maxMembers {
		return fmt.Errorf("%d hosts", len(list))
	}
	for _, m := range list {
		if m.Host == "" {
			return errors.New("host without a name")
		}
		if _, err := netip.ParseAddr(m.IP); err != nil {
			return fmt.Errorf("host %s: %w", m.Host, err)
		}
	}
	return nil
}
