package front

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/state"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// addOperatorRoutes adds the routes that the operators' commands read the state
// of a host from.
func (h *Host) addOperatorRoutes(m *mux.Router) {
	m.HandleFunc("/dump", h.serveDump).Methods(http.MethodGet)
	m.HandleFunc("/status", h.serveStatus).Methods(http.MethodGet)
	m.HandleFunc("/owner/{service}/{key}", h.serveOwner).Methods(http.MethodGet)
}

// serveStatus responds with the summary of a host.
func (h *Host) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := state.Host{
		Host: h.cfg.Settings.Host, DataCentre: h.cfg.Settings.DC, Incarnation: uint64(h.incarnation), UptimeMs: time.Now().UnixMilli() - h.incarnation, Ready: "yes",
	}
	if why := h.notReadyReason(); why != "" {
		s.Ready = why
	}
	if s.Revision = h.ConfigVersion(); s.Revision > 0 {
		s.InForce = time.UnixMilli(h.configAppliedAt.Load())
	}
	assigner, _, _, _ := h.members.currentAssigner()
	if h.role.term() > 0 {
		assigner = h.cfg.Settings.Host
	}
	leaving := make(map[keys.Server]bool)
	for _, sv := range h.serverList() {
		leaving[sv.ID] = sv.Draining
	}
	h.members.mu.Lock()
	for _, t := range h.members.tables {
		s.Cells = append(s.Cells, cellStatus(t, assigner, leaving))
	}
	h.members.mu.Unlock()
	slices.SortFunc(s.Cells, func(a, b state.Cell) int { return cmp.Compare(a.Cell, b.Cell) })
	b, err := json.Marshal(s)
	h.writeJSON(w, b, err)
}

// cellStatus returns the summary of a service's table.
func cellStatus(t owner.Table, assigner keys.Host, leaving map[keys.Server]bool) state.Cell {
	c := state.Cell{Cell: string(t.Service), Assigner: assigner, Term: uint32(t.Term), Version: t.Version, Stored: true /* tables are stored before they are sent */, Ranges: len(t.Spans)}
	byServer := make(map[keys.Server]*state.Server)
	for _, s := range t.Spans {
		if s.Server == "" {
			continue
		}
		share := float64(int(s.To)-int(s.From)+1) / float64(int(owner.MaxKey)+1)
		r := byServer[s.Server]
		if r == nil {
			r = &state.Server{Server: s.Server, Leaving: leaving[s.Server]}
			byServer[s.Server] = r
		}
		r.Ranges++
		r.Share += share
		c.Owned += share
	}
	largest := 0.0
	for _, r := range byServer {
		c.Servers = append(c.Servers, *r)
		largest = max(largest, r.Share)
	}
	slices.SortFunc(c.Servers, func(a, b state.Server) int { return cmp.Compare(a.Server, b.Server) })
	if c.Owned > 0 {
		c.Imbalance = largest * float64(len(byServer)) / c.Owned
	}
	return c
}

// serveOwner responds with the server that owns a key.
func (h *Host) serveOwner(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	o := state.Owner{Service: keys.Service(v["service"]), Key: v["key"], Stored: true}
	k, err := strconv.ParseUint(o.Key, 10, 16)
	h.members.mu.Lock()
	t, known := h.members.tables[o.Service]
	h.members.mu.Unlock()
	switch {
	case err != nil:
		o.Reason = "keys are numbers up to 65535"
	case !known:
		o.Reason = "no-table"
	default:
		if o.Server = t.Owner(owner.Key(k)); o.Server == "" {
			o.Reason = "no-owner"
		}
	}
	for _, sv := range h.serverList() {
		if sv.ID == o.Server {
			o.DataCentre = sv.DC
		}
	}
	b, err := json.Marshal(o)
	h.writeJSON(w, b, err)
}

// writeJSON sends an encoded response to an operator, or the error of encoding
// it.
func (h *Host) writeJSON(w http.ResponseWriter, b []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(b); err != nil {
		h.log.Debug("cannot send response to an operator", zap.Error(err))
	}
}

// dumpJSON is the response of /dump, the detailed state of a host.
type dumpJSON struct {
	Host    string `json:"host"`
	Run     int64  `json:"run"`
	Ready   bool   `json:"ready"`
	Config  uint64 `json:"config"`
	Term    uint64 `json:"term"`
	Servers any    `json:"servers"`
	Tables  any    `json:"tables"`
	Busy    any    `json:"busy"`
	Waiting any    `json:"waiting"`
	// Evacuated are the evacuated data centres.
	Evacuated []keys.DataCentre `json:"evacuated"`
	// Admission has the requests of all hosts for the servers whose admitter this host is.
	Admission any `json:"admission"`
}

func (h *Host) serveDump(w http.ResponseWriter, _ *http.Request) {
	d := dumpJSON{Host: string(h.cfg.Settings.Host), Run: h.incarnation, Ready: h.isReady(), Term: h.role.term(), Servers: h.dumpedServers(), Config: h.ConfigVersion()}
	d.Busy, d.Waiting = h.relay.LocalLoad()
	d.Evacuated = h.evacuatedDCs()
	d.Admission = h.admission.queues()
	h.members.mu.Lock()
	d.Tables = h.members.tables
	b, err := json.Marshal(d)
	h.members.mu.Unlock()
	h.writeJSON(w, b, err)
}
