package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/link"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// snapshotStallTime is the time without progress after which the fetch of a snapshot
	// ends, and the host fetches from another one. How long a whole snapshot takes
	// depends on its length and the hosts' bandwidth.
	snapshotStallTime = 400 * time.Millisecond
	// maxSnapshotTime bounds a fetch that makes little progress.
	maxSnapshotTime  = 10 * time.Second
	maxSnapshotBytes = 32 << 20 // of a snapshot after decompression
	// firstHostFetchDelay is how long the first host of a data centre waits for
	// a newer snapshot in its own data centre before it fetches one from another
	// data centre. The other hosts wait for otherHostFetchDelay, as it is enough
	// if one host fetches from another data centre.
	firstHostFetchDelay = 30 * time.Millisecond
	otherHostFetchDelay = 300 * time.Millisecond
	// fetchFailureFraction is the fraction of the bound for configurations and draining
	// servers after which a host whose fetches all fail reads the store itself.
	fetchFailureFraction = 0.3
	// fetchRetryFraction is the same for when it relies on other hosts again.
	fetchRetryFraction = 1.3
)

// checkSnapshot wakes fetchSnapshots if a host's heartbeat reported a newer snapshot.
func (h *Host) checkSnapshot(now clock.Time, from keys.Host) {
	config, servers, _ := h.snapshotVersions(now)
	if !h.members.sentNewer(now, from, config, servers) {
		return
	}
	select {
	case h.snapshotAvailable <- struct{}{}:
	default:
	}
}

// fetchSnapshots fetches newer snapshots from other hosts.
func (h *Host) fetchSnapshots(ctx context.Context) error {
	_, port, err := net.SplitHostPort(h.cfg.Settings.Control)
	if err != nil {
		h.log.Warn("cannot fetch snapshots from other hosts: no valid control address in the settings", zap.Error(err))
		<-ctx.Done()
		return nil
	}
	client := newSnapshotClient()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.snapshotAvailable:
		}
		now := h.clock.Now()
		config, servers, _ := h.snapshotVersions(now)
		ip := h.members.newerSnapshotAddr(now, config, servers, true)
		if ip == "" {
			wait := otherHostFetchDelay
			if h.members.isFirstInDC(now) {
				wait = firstHostFetchDelay
			}
			sleep(ctx, wait)
			config, servers, _ = h.snapshotVersions(now)
			ip = h.members.newerSnapshotAddr(now, config, servers, false)
		}
		if ip == "" {
			continue
		}
		err := h.fetchSnapshot(ctx, client, net.JoinHostPort(ip, port), config, servers)
		h.recordFetch(h.clock.Now(), err)
		if err != nil {
			h.log.Info("cannot fetch snapshot from another host; avoiding that host for 1 s", zap.Error(err))
			h.members.markUnreachable(h.clock.Now(), ip)
			continue
		}
		sleep(ctx, serverChangePause) // changes often come in groups, and each is applied to the whole list
	}
}

// fetchSnapshot fetches what is newer than the given versions and applies it.
func (h *Host) fetchSnapshot(ctx context.Context, client *http.Client, addr string, config uint64, servers epoch.Revision) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("front: fetch snapshot from %s: %w", addr, err)
		}
	}()
	url := fmt.Sprintf("http://%s%s?config=%d&servers=%d&epoch=%d&%s=1", addr, snapshotPath, config, servers.Number(), servers.Epoch(), changesParam)
	url += fmt.Sprintf("&%s=%s", evacParam, h.members.ownEvacRev())
	began := h.clock.Now()
	b, err := download(ctx, client, url)
	if err != nil {
		return err
	}
	var s snapshot
	if err = cbor.Unmarshal(b, &s); err != nil {
		return err
	}
	if s.Config != nil {
		h.applyConfig(intent.New(*s.Config))
	}
	h.applyEvacSnapshot(s.Evac, began)
	grace := s.grace(began, h.cfg.Settings.registrationGrace())
	switch {
	case s.Changes:
		h.applyChanges(s.events(), epoch.At(s.Epoch, s.ServersRev), grace)
	case s.ServersRev > 0:
		h.replaceServers(s.Servers, peerRevision(s.Epoch, s.ServersRev, servers), grace)
	}
	return nil
}

// newSnapshotClient returns the client that fetches snapshots.
func newSnapshotClient() *http.Client {
	return &http.Client{Timeout: maxSnapshotTime, Transport: head.NewTransport(&http.Transport{
		DialContext: link.Dialer(snapshotStallTime / 2).DialContext, IdleConnTimeout: time.Minute,
	}, nil)} // recordFetch reports the errors
}

// errStalled ends a download without progress.
var errStalled = errors.New("front: no progress for " + snapshotStallTime.String())

// download fetches a document. It ends when nothing is received for snapshotStallTime.
func download(ctx context.Context, client *http.Client, url string) (b []byte, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stalled := time.AfterFunc(snapshotStallTime, func() { cancel(errStalled) })
	defer stalled.Stop()
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), errStalled) {
			err = errStalled
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("HTTP status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(&progressReader{resp.Body, stalled}, maxSnapshotBytes))
}

// progressReader restarts a timer whenever something is read.
type progressReader struct {
	source io.Reader
	timer  *time.Timer
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (n int, err error) {
	n, err = r.source.Read(p)
	if n > 0 {
		r.timer.Reset(snapshotStallTime)
	}
	return n, err
}

// fetchResult returns the result label of a fetch in the metrics.
func fetchResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, errStalled):
		return "stalled"
	}
	return "error"
}

// recordFetch counts the fetch of a snapshot and records whether it failed.
func (h *Host) recordFetch(now clock.Time, err error) {
	h.metrics.fetches.WithLabelValues(fetchResult(err)).Inc()
	h.heads.Report(head.SourceHost, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.sync.fetchFails = false
	case !h.sync.fetchFails:
		h.sync.fetchFails, h.sync.fetchFailsSince = true, now
	}
}

// cannotFetch reports whether the fetches of snapshots have failed for so long that this
// host has to read the store itself. It does so for a while, and then tries others again.
func (h *Host) cannotFetch(now clock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	failing := now.Sub(h.sync.fetchFailsSince)
	if failing > h.changeDeadline(fetchRetryFraction) {
		h.sync.fetchFails = false
	}
	return h.sync.fetchFails && failing > h.changeDeadline(fetchFailureFraction)
}
