package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// fleetTimeout bounds the question to each host. A host that answers later
	// is reported as not heard from.
	fleetTimeout = 2 * time.Second
	// fleetAtOnce bounds the open questions.
	fleetAtOnce = 64
	maxStatus   = 4 << 20 // bytes of a host's answer that are read
	// spreadPeriod is the time between two digests to hosts elsewhere.
	spreadPeriod = 200 * time.Millisecond
)

// Fleet is the overview of all entry hosts.
type Fleet struct {
	Hosts    []Status   `json:"hosts"`
	NotHeard []NotHeard `json:"notHeard"`
}

// NotHeard is a host of the host list that gave no answer.
type NotHeard struct {
	Host       keys.Host       `json:"host"`
	DataCentre keys.DataCentre `json:"dataCentre"`
	Reason     string          `json:"reason"`
}

// fleet asks all other entry hosts of the host list for their status.
func (h *Host) fleet(ctx context.Context) Fleet {
	f := Fleet{Hosts: []Status{h.Status()}, NotHeard: []NotHeard{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	turn := make(chan struct{}, fleetAtOnce)
	for _, m := range h.otherHosts() {
		turn <- struct{}{}
		wg.Go(func() {
			defer func() { <-turn }()
			s, err := askStatus(ctx, m.Addresses().Operators)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				f.NotHeard = append(f.NotHeard, NotHeard{keys.Host(m.Name()), m.DataCentre(), err.Error()})
				return
			}
			f.Hosts = append(f.Hosts, s)
		})
	}
	wg.Wait()
	slices.SortFunc(f.Hosts, func(a, b Status) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(f.NotHeard, func(a, b NotHeard) int { return cmp.Compare(a.Host, b.Host) })
	return f
}

func (h *Host) otherHosts() (ms []store.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.members {
		if m.Role() == store.Entry && keys.Host(m.Name()) != h.self {
			ms = append(ms, m)
		}
	}
	return ms
}

func askStatus(ctx context.Context, addr string) (s Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("answered %s", resp.Status)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&s)
}

// spread tells a random host elsewhere which configuration revision is in
// force here, so that a data centre without the store gets it from the others.
// A digest without hosts says nothing about the sender's part in a group.
func (h *Host) spread(ctx context.Context) error {
	t := time.NewTicker(spreadPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		h.tellElsewhere()
	}
}

func (h *Host) tellElsewhere() {
	elsewhere := slices.DeleteFunc(h.otherHosts(), func(m store.Member) bool {
		return slices.Contains(h.cfg.Group(), keys.Host(m.Name()))
	})
	h.mu.Lock()
	rev := h.revision.Number()
	h.mu.Unlock()
	if len(elsewhere) == 0 || rev == 0 {
		return
	}
	to := elsewhere[rand.IntN(len(elsewhere))]
	h.peers.Send(keys.Host(to.Name()), &peerpb.Message{Body: &peerpb.Message_Digest{Digest: &peerpb.Digest{Revision: rev}}})
}
