package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/link"
)

const (
	viewPath = "/view"
	// viewTimeout bounds the fetching of a view; another host is asked next.
	viewTimeout = 400 * time.Millisecond
	// viewMax bounds the size of a view.
	viewMax = 32 << 20
	// nearFirst is how long a host waits for a newer view to reach its own
	// data centre before it fetches it from another one. All but the first host
	// of a data centre wait longer: one of them is enough to bring it there.
	nearFirst  = 30 * time.Millisecond
	nearOthers = 300 * time.Millisecond
)

// view is what one host learns from another instead of the store. Parts that
// aren't newer than the other's are left out.
type view struct {
	Config    *intent.Document `cbor:"1,keyasint,omitempty"`
	ConfigRev uint64           `cbor:"2,keyasint,omitempty"`
	Servers   []fleet.Server   `cbor:"3,keyasint,omitempty"`
	Rev       uint64           `cbor:"4,keyasint,omitempty"` // of the servers
	Outage    bool             `cbor:"5,keyasint,omitempty"` // this host has just seen the store fail
}

// serveView answers another host that knows the given versions.
func (h *Host) serveView(w http.ResponseWriter, r *http.Request) {
	config, err := strconv.ParseUint(r.URL.Query().Get("config"), 10, 64)
	if err != nil {
		http.Error(w, "config: "+err.Error(), http.StatusBadRequest)
		return
	}
	rev, err := strconv.ParseUint(r.URL.Query().Get("servers"), 10, 64)
	if err != nil {
		http.Error(w, "servers: "+err.Error(), http.StatusBadRequest)
		return
	}
	var v view
	h.mu.Lock()
	if c := h.relay.Config(); c != nil && c.Version() > config {
		doc := c.Document()
		v.Config, v.ConfigRev = &doc, h.seen.configRev
	}
	if h.listed && h.seen.serversRev > rev {
		v.Servers, v.Rev = h.view.Entries(), h.seen.serversRev
	}
	v.Outage = h.outage(h.clock.Now(), 0)
	h.mu.Unlock()
	b, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(b); err != nil {
		h.log.Debug("view isn't sent", zap.Error(err))
	}
}

// offered wakes fetchViews if another host has a newer view.
func (h *Host) offered() {
	config, servers, _ := h.versions(h.clock.Now())
	if h.members.newer(h.clock.Now(), config, servers, false) == "" {
		return
	}
	select {
	case h.newer <- struct{}{}:
	default:
	}
}

// fetchViews fetches newer views from other hosts.
func (h *Host) fetchViews(ctx context.Context) error {
	_, port, err := net.SplitHostPort(h.cfg.Settings.Control)
	if err != nil {
		h.log.Warn("views aren't fetched from other hosts: no control address", zap.Error(err))
		<-ctx.Done()
		return nil
	}
	client := &http.Client{Timeout: viewTimeout, Transport: &http.Transport{
		DialContext: link.Dialer(viewTimeout / 2).DialContext, IdleConnTimeout: time.Minute,
	}}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.newer:
		}
		now := h.clock.Now()
		config, servers, _ := h.versions(now)
		ip := h.members.newer(now, config, servers, true)
		if ip == "" {
			wait := nearOthers
			if h.members.first(now) {
				wait = nearFirst
			}
			sleep(ctx, wait)
			config, servers, _ = h.versions(now)
			ip = h.members.newer(now, config, servers, false)
		}
		if ip == "" {
			continue
		}
		if err := h.fetchView(ctx, client, net.JoinHostPort(ip, port), config, servers); err != nil {
			h.log.Info("view isn't fetched", zap.Error(err))
			h.members.unreachable(h.clock.Now(), ip)
		}
	}
}

func (h *Host) fetchView(ctx context.Context, client *http.Client, addr string, config, servers uint64) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("front: view of %s: %w", addr, err)
		}
	}()
	url := fmt.Sprintf("http://%s%s?config=%d&servers=%d", addr, viewPath, config, servers)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, viewMax))
	if err != nil {
		return err
	}
	var v view
	if err = cbor.Unmarshal(b, &v); err != nil {
		return err
	}
	if v.Config != nil {
		h.configure(intent.New(*v.Config), v.ConfigRev)
	}
	if v.Rev > 0 {
		h.replace(v.Servers, v.Rev, v.Outage)
	}
	return nil
}
