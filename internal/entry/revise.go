package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/gorilla/mux"
	"github.com/laburnummux/laburnummux/internal/apply"
	"github.com/laburnummux/laburnummux/internal/auth"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// reviseTimeout is the time within which an operator gets a response. It
	// covers an outage of the store of a few seconds after a write with an
	// unknown result.
	reviseTimeout = 4 * time.Second
	// reviseRetryDelay is the delay before a step is tried again.
	reviseRetryDelay = 50 * time.Millisecond
	// maxReviseBytes bounds the body of a request. A revision has at most 1 MiB
	// in its canonical form; with indentation it is larger.
	maxReviseBytes  = 4 << 20
	maxAuthorLength = 100  // characters
	maxNoteLength   = 1000 // characters
)

// ReviseRequest is the body of the operators' requests that change the
// configuration.
type ReviseRequest struct {
	Author   string                              `json:"author"`
	Note     string                              `json:"note,omitempty"`
	From     uint64                              `json:"from,omitempty"`     // apply and rollback
	To       uint64                              `json:"to,omitempty"`       // rollback
	Sites    map[keys.DataCentre]json.RawMessage `json:"sites,omitempty"`    // plan and apply: merged configurations
	Override []string                            `json:"override,omitempty"` // kinds of safety holds that the operator confirms
}

func (h *Host) reviseRoutes(m *mux.Router) {
	m.Methods(http.MethodPost).Path("/plan").HandlerFunc(h.reviseHandler(apply.Replace, true))
	m.Methods(http.MethodPost).Path("/apply").HandlerFunc(h.reviseHandler(apply.Replace, false))
	m.Methods(http.MethodPost).Path("/rollback").HandlerFunc(h.reviseHandler(apply.Rollback, false))
	m.Methods(http.MethodPost).Path("/drain/{server}").HandlerFunc(h.reviseHandler(apply.Drain, false))
	m.Methods(http.MethodDelete).Path("/drain/{server}").HandlerFunc(h.reviseHandler(apply.Undrain, false))
	m.Methods(http.MethodGet).Path("/revision").HandlerFunc(h.serveRevision)
}

func (h *Host) reviseHandler(kind apply.Kind, plan bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := readReviseRequest(w, r)
		if err != nil {
			status := http.StatusBadRequest
			var large *http.MaxBytesError
			if errors.As(err, &large) {
				status = http.StatusRequestEntityTooLarge
			}
			writeResult(w, status, apply.Result{Outcome: apply.Refused, Reason: err.Error()})
			return
		}
		if operator := callingOperator(r.Context()); operator != "" && operator != auth.Anonymous {
			req.Author = operator // authenticated by a certificate or a token
		}
		req.Kind, req.Plan, req.Time = kind, plan, time.Now()
		req.Server = keys.Server(mux.Vars(r)["server"])
		var listed bool
		if req.Peers, listed = h.cellPeers(req.Server); kind == apply.Drain && !listed {
			writeResult(w, http.StatusNotFound, apply.Result{
				Outcome: apply.Refused, Reason: fmt.Sprintf("the host list has no backend server %q", req.Server),
			})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), reviseTimeout)
		defer cancel()
		if !plan {
			// The attempt continues if the operator's connection is lost.
			ctx, cancel = context.WithTimeout(context.WithoutCancel(r.Context()), reviseTimeout)
			defer cancel()
		}
		res := h.revise(ctx, req)
		setAuditRevision(r.Context(), res.Revision.Number)
		writeResult(w, resultStatus(res.Outcome), res)
	}
}

func readReviseRequest(w http.ResponseWriter, r *http.Request) (req apply.Request, err error) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReviseBytes))
	d.DisallowUnknownFields()
	var b ReviseRequest
	if err = d.Decode(&b); err != nil {
		return req, fmt.Errorf("request body: %w", err)
	}
	if err = checkText("author", b.Author, maxAuthorLength); err != nil {
		return req, err
	}
	if err = checkText("note", b.Note, maxNoteLength); err != nil {
		return req, err
	}
	if b.Author == "" {
		return req, errors.New("author: is missing")
	}
	req = apply.Request{Author: b.Author, Note: b.Note, PlannedFrom: b.From, RollbackTo: b.To, Override: b.Override}
	req.Sites = make(map[keys.DataCentre]config.Config, len(b.Sites))
	for site, raw := range b.Sites {
		if req.Sites[site], err = config.Decode(raw); err != nil {
			return req, fmt.Errorf("site %s: %w", site, err)
		}
	}
	return req, nil
}

// checkText checks that a text is short and fits on one line of an operator's
// terminal.
func checkText(field, s string, limit int) error {
	if len([]rune(s)) > limit {
		return fmt.Errorf("%s: has more than %d characters", field, limit)
	}
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return fmt.Errorf("%s: contains characters that can't be printed", field)
	}
	return nil
}

func resultStatus(o apply.Outcome) int {
	switch o {
	case apply.Conflict:
		return http.StatusConflict
	case apply.Held, apply.Refused:
		return http.StatusUnprocessableEntity
	case apply.Unavailable:
		return http.StatusServiceUnavailable
	case apply.Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

func writeResult(w http.ResponseWriter, status int, res apply.Result) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	writeJSON(w, res)
}

// revise executes the actions of an attempt to change the configuration.
func (h *Host) revise(ctx context.Context, req apply.Request) apply.Result {
	a := apply.New(req)
	for act := a.Start(); ; {
		switch x := act.(type) {
		case apply.Done:
			return x.Result
		case apply.Read:
			act = a.Step(h.reviseRead(ctx, x))
		case apply.Write:
			act = a.Step(h.reviseWrite(ctx, x))
		}
	}
}

func (h *Host) reviseRead(ctx context.Context, act apply.Read) apply.Event {
	if act.Backoff {
		select {
		case <-ctx.Done():
		case <-time.After(reviseRetryDelay):
		}
	}
	if ctx.Err() != nil {
		return apply.TimedOut{}
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	o, err := h.store.Get(ctx, act.Name)
	if !errors.Is(err, store.ErrNotFound) {
		h.recordStoreCall("get", err)
	}
	return apply.ReadDone{Object: o, Err: err}
}

func (h *Host) reviseWrite(ctx context.Context, act apply.Write) apply.Event {
	if ctx.Err() != nil {
		return apply.WriteDone{Err: store.ErrUnavailable} // not sent
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := h.store.Put(ctx, act.Name, act.Value, act.IfVersion)
	h.recordStoreCall("put", err)
	return apply.WriteDone{Err: err}
}

// cellPeers returns the other live backend servers of a server's cell. listed
// reports whether the server is in the host list.
func (h *Host) cellPeers(name keys.Server) (peers []keys.Server, listed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.members[string(name)]
	if !ok || m.Role() != store.RoleBackend {
		return nil, false
	}
	svc, _ := h.config.Service(m.Service())
	for _, o := range h.members {
		if o.Role() == store.RoleBackend && o.Service() == m.Service() && o.DataCentre() == m.DataCentre() &&
			o.Name() != m.Name() && o.State() == store.StateLive && cellIndex(svc, o) == cellIndex(svc, m) {
			peers = append(peers, keys.Server(o.Name()))
		}
	}
	return peers, true
}

// drainOrdered reports whether the configuration orders the drain of a backend
// server.
func (h *Host) drainOrdered(name keys.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := slices.BinarySearch(h.revision.Drains(), name)
	return ok
}

// Revision is the configuration in force on a host.
type Revision struct {
	apply.RevisionInfo
	InForce time.Time                         `json:"inForceSince"`
	Drains  []keys.Server                     `json:"drains"`
	Sites   map[keys.DataCentre]config.Config `json:"sites"`
}

func (h *Host) serveRevision(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	rev, inForce := h.revision, h.inForceSince
	h.mu.Unlock()
	v := Revision{
		RevisionInfo: apply.RevisionInfo{Number: rev.Number(), Author: rev.Author(), Time: rev.Time(), Note: rev.Note()},
		InForce:      inForce, Drains: append([]keys.Server{}, rev.Drains()...), Sites: make(map[keys.DataCentre]config.Config),
	}
	for _, s := range rev.Sites() {
		v.Sites[s], _ = rev.Site(s)
	}
	writeJSON(w, v)
}
