package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/internal/state"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/prometheus/client_golang/prometheus"
)

func (h *Host) operatorRoutes() http.Handler {
	m := mux.NewRouter()
	m.Methods(http.MethodGet).Path("/healthz").HandlerFunc(h.serveHealth)
	m.Methods(http.MethodGet).Path("/readyz").HandlerFunc(h.serveReady)
	m.Methods(http.MethodGet).Path("/metrics").Handler(h.metrics.Handler())
	m.Methods(http.MethodGet).Path("/dump").HandlerFunc(h.serveDump)
	m.Methods(http.MethodGet).Path("/status").HandlerFunc(h.serveStatus)
	m.Methods(http.MethodGet).Path("/owner/{service}/{key}").HandlerFunc(h.serveOwner)
	h.reviseRoutes(m)
	return m
}

func (h *Host) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// serveReady is the readiness check of the balancer.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := h.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Host) notReadyReason() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.leaving.Load():
		return "stopping"
	case !h.ready.Load() || h.revision.Number() == 0:
		return "no configuration yet"
	}
	return ""
}

func (h *Host) serveOwner(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	o := state.Owner{Service: keys.Service(v["service"]), Key: v["key"]}
	o.Hash = keys.HashOf(o.Service, o.Key)
	h.mu.Lock()
	t, miss := h.router.Lookup(o.Service, o.Hash)
	if tab := h.router.Table(t.Cell); tab != nil {
		o.Stored = tab.Stored()
	}
	h.mu.Unlock()
	o.Cell, o.DataCentre, o.Server, o.Dispatcher, o.Fence = t.Cell.String(), t.Cell.DataCentre, t.Server, t.Dispatcher, t.Fence
	if miss == route.NoTable {
		h.requestTable(t.Cell, 0, 0)
	}
	if miss != route.Hit {
		o.Reason = miss.String()
	}
	writeJSON(w, o)
}

// Status returns the status of this host and the cells that it has tables of.
func (h *Host) Status() state.Host {
	s := state.Host{
		Host: h.self, DataCentre: h.settings.DataCentre(), Incarnation: h.incarnation, UptimeMs: time.Since(h.started).Milliseconds(),
		InFlight: h.inFlight.Load(), Ready: "yes",
	}
	if reason := h.notReadyReason(); reason != "" {
		s.Ready = reason
	}
	h.mu.Lock()
	s.Revision, s.InForce = h.revision.Number(), h.inForceSince
	for _, t := range h.router.Tables() {
		c := cellStatus(t, h.router.Layout(t.Cell().Service).Share(t.Cell()))
		c.CellStats = h.router.Stats(h.clk.Now(), t.Cell())
		s.Cells = append(s.Cells, c)
	}
	h.mu.Unlock()
	return s
}

// cellStatus summarises the table of a cell. width is the cell's share of the
// service's hash space.
func cellStatus(t *route.Table, width float64) state.Cell {
	c := state.Cell{
		Cell: t.Cell().String(), Assigner: t.Assigner(), Term: t.Term(), Version: t.Version(), Stored: t.Stored(),
		Ranges: len(t.Rows()),
	}
	total := 0.0
	for _, b := range t.Backends() {
		c.Servers = append(c.Servers, state.Server{Server: b.Name, Dispatcher: b.Dispatcher, Leaving: b.Leaving})
	}
	for _, r := range t.Rows() {
		c.Servers[r.Backend].Ranges++
		c.Servers[r.Backend].Share += r.Range.Share()
		total += r.Range.Share()
	}
	if width > 0 {
		c.Owned = total / width
	}
	for i := range c.Servers {
		if total > 0 {
			c.Servers[i].Share /= total
		}
		c.Imbalance = max(c.Imbalance, c.Servers[i].Share*float64(len(c.Servers)))
	}
	return c
}

func (h *Host) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("all") == "true" {
		writeJSON(w, h.fleetStatus(r.Context()))
		return
	}
	writeJSON(w, h.Status())
}

// hostDump is the state of the whole process.
type hostDump struct {
	Status   state.Host       `json:"status"`
	Peers    any              `json:"peers"`
	Gossip   any              `json:"gossip"`
	Workers  map[string]int64 `json:"workerRestarts"`
	Dropped  uint64           `json:"droppedEvents"`
	Services map[string]any   `json:"services"`
	Cells    []cellDump       `json:"cells"`
}

type cellDump struct {
	Cell       string                 `json:"cell"`
	Election   any                    `json:"election"`
	Assigner   any                    `json:"assigner,omitempty"`
	Leases     any                    `json:"leases"`
	Records    any                    `json:"records"`
	Quarantine any                    `json:"quarantine"`
	Queues     map[keys.Server]any    `json:"queues"`
	Open       map[keys.Server]int64  `json:"openConnections"`
	Opened     map[keys.Server]uint64 `json:"connectionsOpened"`
}

func (h *Host) serveDump(w http.ResponseWriter, _ *http.Request) {
	d := hostDump{
		Status: h.Status(), Peers: h.peers.Counters(), Workers: h.supervisor.Restarts(), Dropped: h.events.Dropped(),
		Services: make(map[string]any),
	}
	h.mu.Lock()
	d.Gossip = h.gossip.Dump()
	services := make([]*service, 0, len(h.services))
	for _, s := range h.services {
		services = append(services, s)
	}
	h.mu.Unlock()
	for _, s := range services {
		s.mu.Lock()
		d.Services[string(s.Name())] = s.retry.Dump()
		s.mu.Unlock()
	}
	for _, c := range h.sortedCells() {
		d.Cells = append(d.Cells, c.dump())
	}
	writeJSON(w, d)
}

func (c *cell) dump() cellDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.clk.Now()
	d := cellDump{
		Cell: c.name.String(), Election: c.elect.Dump(), Leases: c.leases.Dump(), Records: c.dedup.Dump(),
		Quarantine: c.quarantine.Dump(now), Queues: make(map[keys.Server]any),
		Open: make(map[keys.Server]int64), Opened: make(map[keys.Server]uint64),
	}
	if c.term != 0 {
		d.Assigner = c.assign.Dump()
	}
	for name, b := range c.backends {
		d.Queues[name], d.Open[name], d.Opened[name] = b.limiter.Dump(now), b.pool.OpenConns(), b.pool.OpenedConns()
	}
	return d
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.Encode(v) // fails only if the operator's connection is lost
}

// collector reports metrics that are read from the host's state on each scrape.
type collector struct{ host *Host }

var (
	inFlightDesc  = prometheus.NewDesc("laburnummux_requests_in_flight", "Callers' requests in flight.", nil, nil)
	revisionDesc  = prometheus.NewDesc("laburnummux_configuration_revision", "Revision in force.", nil, nil)
	rangesDesc    = prometheus.NewDesc("laburnummux_ranges", "Ranges with an owner.", []string{"cell", "server"}, nil)
	imbalanceDesc = prometheus.NewDesc("laburnummux_share_ratio", "Largest share of the hash space over the mean.", []string{"cell"}, nil)
	movedDesc     = prometheus.NewDesc("laburnummux_moved_share_total", "Share of the cell's hash space that changed its server, summed.", []string{"cell"}, nil)
	unownedDesc   = prometheus.NewDesc("laburnummux_unowned_seconds_total", "Time without an owner, weighted by the share without one.", []string{"cell"}, nil)
	messagesDesc  = prometheus.NewDesc("laburnummux_peer_messages_total", "Messages to other entry hosts.", []string{"result"}, nil)
	bytesDesc     = prometheus.NewDesc("laburnummux_peer_sent_bytes_total", "Bytes sent to other entry hosts.", nil, nil)
	droppedDesc   = prometheus.NewDesc("laburnummux_events_dropped_total", "Control events dropped.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{inFlightDesc, revisionDesc, rangesDesc, imbalanceDesc, movedDesc, unownedDesc, messagesDesc, bytesDesc, droppedDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	s := c.host.Status()
	gauge(inFlightDesc, float64(s.InFlight))
	gauge(revisionDesc, float64(s.Revision))
	for _, cell := range s.Cells {
		for _, srv := range cell.Servers {
			gauge(rangesDesc, float64(srv.Ranges), cell.Cell, string(srv.Server))
		}
		gauge(imbalanceDesc, cell.Imbalance, cell.Cell)
		ch <- prometheus.MustNewConstMetric(movedDesc, prometheus.CounterValue, cell.Moved, cell.Cell)
		ch <- prometheus.MustNewConstMetric(unownedDesc, prometheus.CounterValue, cell.Unowned.Std().Seconds(), cell.Cell)
	}
	p := c.host.peers.Counters()
	counter(messagesDesc, p.Sent, "sent")
	counter(messagesDesc, p.Failed, "failed")
	counter(bytesDesc, p.SentBytes)
	counter(droppedDesc, c.host.events.Dropped())
}
