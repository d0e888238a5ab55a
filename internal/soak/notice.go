package soak

import (
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

const (
	// leaveTimeout is the time after which a host sends no requests to a server
	// that has told it that it leaves.
	leaveTimeout = 2 * clock.Second
	// pauseSlack is the time within which requests may still arrive after a server
	// has asked for a pause, including the delay that a busy machine may add.
	pauseSlack = 1000 * clock.Millisecond
	// maxInPause is the number of requests of a host that may arrive in the rest
	// of a pause.
	maxInPause = 2
)

// sending is how an attempt was sent.
type sending struct {
	host string
	at   time.Time
}

// hostServer is a host and an incarnation of a backend server.
type hostServer struct {
	host   string
	server *server
}

// pause is a pause that a server has asked a host for.
type pause struct {
	since    time.Time
	until    time.Time
	arrivals int // after pauseSlack
}

// notices has what backend servers have told hosts about themselves.
type notices struct {
	sent    map[string]sending // by attempt
	ranOn   map[string]*server // by attempt
	leaving map[hostServer]time.Time
	pauses  map[hostServer]*pause
}

func newNotices() notices {
	return notices{
		sent: make(map[string]sending), ranOn: make(map[string]*server),
		leaving: make(map[hostServer]time.Time), pauses: make(map[hostServer]*pause),
	}
}

// forget discards the notices that a host got. A restart or a suspension of the
// host excuses it.
func (n *notices) forget(host string) {
	for x := range n.leaving {
		if x.host == host {
			delete(n.leaving, x)
		}
	}
	for x := range n.pauses {
		if x.host == host {
			delete(n.pauses, x)
		}
	}
}

// serverLeaves records that a host has passed on the response of a leaving server.
func (n *notices) serverLeaves(host, attempt string) {
	x := hostServer{host, n.ranOn[attempt]}
	if _, known := n.leaving[x]; !known && x.server != nil {
		n.leaving[x] = time.Now()
	}
}

// requestSentVia records the host of a request before it is sent.
func (o *oracle) requestSentVia(host, attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notices.sent[attempt] = sending{host, time.Now()}
}

// hostPaused records that a host is suspended or resumed.
func (o *oracle) hostPaused(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notices.forget(host)
}

// checkLeaving checks a request that starts on a server.
func (o *oracle) checkLeaving(sv *server, attempt string) {
	o.notices.ranOn[attempt] = sv
	sent := o.notices.sent[attempt]
	told, leaving := o.notices.leaving[hostServer{sent.host, sv}]
	if d := sent.at.Sub(told); leaving && d > leaveTimeout.Std() {
		o.addViolation(Drained, "%s started on %s; it was sent to %s %v after that had passed on that the server leaves", attempt, sv.id, sent.host, d)
	}
}

// requestPaused checks a request that arrives in a pause of a server. A host may
// not have got the response to an earlier one if there was a fault.
func (o *oracle) requestPaused(sv *server, ev fakes.Paused) {
	x := hostServer{o.notices.sent[ev.AttemptID].host, sv}
	now := time.Now()
	p := o.notices.pauses[x]
	if p == nil || !p.until.Equal(ev.Until) {
		o.notices.pauses[x] = &pause{since: now, until: ev.Until}
		return
	}
	d := now.Sub(p.since)
	if d <= pauseSlack.Std() || !o.faultFree(d+faultFreeTime.Std()) {
		return
	}
	if p.arrivals++; p.arrivals > maxInPause {
		o.addViolation(Paused, "%s sent %s to %s %v after that had asked it for a pause", x.host, ev.AttemptID, sv.id, d)
	}
}
