package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/state"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// fleetTimeout bounds the status request to each host. A host that responds
	// later is listed in Fleet.Unresponsive.
	fleetTimeout = 2 * time.Second
	// fleetConcurrency bounds the number of concurrent status requests.
	fleetConcurrency = 64
	maxStatusBytes   = 4 << 20 // bytes of a host's response that are read
	// fleetPath is served on the relay listener, where entry hosts authenticate
	// each other. No service has paths below it.
	fleetPath = "/laburnummux/status"
)

// FleetStatus is the status of all entry hosts.
type FleetStatus struct {
	Hosts        []state.Host   `json:"hosts"`
	Unresponsive []Unresponsive `json:"notHeard"`
}

// Unresponsive is a host of the host list that did not respond to the status
// request.
type Unresponsive struct {
	Host       keys.Host       `json:"host"`
	DataCentre keys.DataCentre `json:"dataCentre"`
	Reason     string          `json:"reason"`
}

// fleetStatus requests the status of all other entry hosts of the host list.
func (h *Host) fleetStatus(ctx context.Context) FleetStatus {
	f := FleetStatus{Hosts: []state.Host{h.Status()}, Unresponsive: []Unresponsive{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, fleetConcurrency)
	for _, m := range h.otherEntryHosts() {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			s, err := h.fetchStatus(ctx, keys.Host(m.Name()))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				f.Unresponsive = append(f.Unresponsive, Unresponsive{keys.Host(m.Name()), m.DataCentre(), err.Error()})
				return
			}
			f.Hosts = append(f.Hosts, s)
		})
	}
	wg.Wait()
	slices.SortFunc(f.Hosts, func(a, b state.Host) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(f.Unresponsive, func(a, b Unresponsive) int { return cmp.Compare(a.Host, b.Host) })
	return f
}

func (h *Host) otherEntryHosts() (ms []store.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.members {
		if m.Role() == store.RoleEntry && keys.Host(m.Name()) != h.self {
			ms = append(ms, m)
		}
	}
	return ms
}

func (h *Host) fetchStatus(ctx context.Context, name keys.Host) (s state.Host, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry.fetchStatus: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	pool := h.relayPool(name)
	if pool == nil {
		return s, errors.New("the host list has no address for the host")
	}
	body, err := proxy.NewBody(nil, 0)
	if err != nil {
		return s, err
	}
	res := pool.Send(ctx, proxy.Request{
		Method: http.MethodGet, URL: &url.URL{Path: fleetPath}, Header: make(http.Header), Body: body,
	})
	if res.Failure() != proxy.OK {
		return s, res.Err()
	}
	b, err := res.ReadAll(maxStatusBytes)
	if err != nil {
		return s, err
	}
	if res.Status() != http.StatusOK {
		return s, fmt.Errorf("unexpected HTTP status %d", res.Status())
	}
	return s, json.Unmarshal(b, &s)
}
