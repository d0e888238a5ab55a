package front

import (
	"net"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/listen"
	"github.com/laburnummux/laburnummux/internal/mesh"
)

// hostMetrics are the metrics of a host that aren't about requests.
type hostMetrics struct {
	mesh         *mesh.Metrics
	storeCalls   *prometheus.CounterVec
	assignerTerm prometheus.Gauge
	storeEpoch   prometheus.Gauge
	movedShare   prometheus.Gauge
	keyCalls     *prometheus.CounterVec
	fetches      *prometheus.CounterVec

	evacuated          prometheus.Gauge
	evacuationsIgnored prometheus.Counter
	admission          *admissionMetrics
}

func newHostMetrics(reg prometheus.Registerer) *hostMetrics {
	m := &hostMetrics{
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_store_calls_total", Help: "Calls to the store by call and result.",
		}, []string{"call", "result"}),
		storeEpoch:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnummux_store_epoch", Help: "Epoch of the store; it rises when the store is restored from an older copy."}),
		assignerTerm: prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnummux_assigner_term", Help: "Term of the assigner's role; 0 if another host has it."}),
		movedShare:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnummux_moved_share", Help: "Share of all keys that changed owner in this term."}),
		keyCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_key_calls_total", Help: "Grants and releases by outcome.",
		}, []string{"call", "outcome"}),
	}
	m.fetches = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_snapshot_fetches_total", Help: "Fetches of configurations and lists of servers from other hosts by result.",
	}, []string{"result"})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnummux_evacuated_datacentres", Help: "Data centres whose servers get no requests."})
	m.evacuationsIgnored = prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnummux_evacuations_ignored_total", Help: "Entries of evacuations without effect: of an unknown data centre, or too many."})
	m.mesh = mesh.NewMetrics(reg)
	m.admission = newAdmissionMetrics(reg)
	reg.MustRegister(m.fetches, m.evacuated, m.evacuationsIgnored, m.storeCalls, m.assignerTerm, m.storeEpoch, m.movedShare, m.keyCalls)
	return m
}

// CountStoreCall counts a call to the store.
func (h *Host) CountStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	h.metrics.storeCalls.WithLabelValues(call, result).Inc()
	h.heads.Report(head.SourceStore, err, zap.String("call", call))
}

// httpServer serves one of the host's HTTP addresses other than the callers'.
type httpServer struct {
	host     *Host
	listener net.Listener
	server   *http.Server
}

func (s *httpServer) run() {
	if err := s.server.Serve(s.listener); err != nil {
		s.host.log.Debug("HTTP listener closed", zap.Error(err))
	}
}

// serveHTTP opens the addresses for the balancer, operators and metrics and
// serves them.
func (h *Host) serveHTTP() error {
	s := h.cfg.Settings
	ready := mux.NewRouter()
	ready.HandleFunc(h.cfg.ReadyPath, h.serveReady).Methods(http.MethodGet)
	control := mux.NewRouter()
	h.addOperatorRoutes(control)
	control.HandleFunc(snapshotPath, h.serveSnapshot).Methods(http.MethodGet)
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(h.cfg.Registry, promhttp.HandlerOpts{}))
	for addr, handler := range map[string]http.Handler{s.Ready: ready, s.Control: control, s.Metrics: metrics} {
		if addr == "" {
			continue
		}
		bounds := s.capacity().OtherBounds(s.maxOperatorConns())
		l, err := listen.Open(addr, bounds)
		if err != nil {
			return err
		}
		h.listeners = append(h.listeners, l)
		hs := &httpServer{host: h, listener: h.operators.Listener(l, caller.Requests, bounds.ReadBuffer), server: caller.NewOperatorServer(handler)}
		go hs.run()
	}
	return nil
}

// notReadyReason returns why this host shouldn't get new connections of callers,
// or "" if it is ready.
func (h *Host) notReadyReason() string {
	h.mu.Lock()
	loaded, held := h.serversLoaded, h.evacHeld()
	h.mu.Unlock()
	switch {
	case h.leaving.Load():
		return "it is stopping"
	case h.relay.Config() == nil:
		return "it knows no configuration"
	case !loaded:
		return "it doesn't know the backend servers"
	case held:
		return "it doesn't know the evacuated data centres"
	}
	return ""
}

func (h *Host) isReady() bool { return h.notReadyReason() == "" }

// serveReady responds to the balancer's readiness check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
