package fakes

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/store"
)

const (
	maxBatchBytes = 4 << 20 // bytes of values in a page or a batch of changes

	// Limits of the changes that are kept for watches that have fallen behind.
	maxHistory      = 1024     // changes
	maxHistoryBytes = 16 << 20 // bytes of values
)

// Store is an in-memory fake of the platform's object API and host list. It
// implements http.Handler. All methods are safe for concurrent use.
type Store struct {
	clock  *clock.Clock
	token  string
	router *mux.Router

	mu           sync.Mutex
	revision     uint64
	objects      map[string]store.Object
	history      []store.Object // changes, oldest first
	historyBytes int            // bytes of values in history
	compacted    uint64         // history has every change after this revision
	nextWrite    chan struct{}  // closed by the next write
	faults       faults
	usage        Usage
	window       rateWindow
	memberLists  []memberList // versions of the host list, oldest first
}

// NewStore returns an empty store. It requires the bearer token if that is not
// empty. The rate limits and the lag of the host list use the clock.
func NewStore(c *clock.Clock, token string) *Store {
	s := &Store{
		clock:       c,
		token:       token,
		objects:     make(map[string]store.Object),
		nextWrite:   make(chan struct{}),
		faults:      faults{limits: DefaultLimits, changed: make(chan struct{})},
		memberLists: []memberList{{}},
	}
	m := mux.NewRouter().SkipClean(true)
	m.PathPrefix("/fake/").Handler(s.Control())
	m.Path("/objects/{name:.+}").Methods(http.MethodGet).Handler(s.handle(Get, s.get))
	m.Path("/objects/{name:.+}").Methods(http.MethodPut).Handler(s.handle(Put, s.put))
	m.Path("/objects").Methods(http.MethodGet).Handler(s.handle(List, s.list))
	m.Path("/changes").Methods(http.MethodGet).Handler(s.handle(Watch, s.watch))
	m.Path("/hosts").Methods(http.MethodGet).Handler(s.handle(Hosts, s.hosts))
	s.router = m
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Object returns an object regardless of the faults.
func (s *Store) Object(name string) (o store.Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok = s.objects[name]
	return o, ok
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, _ []byte) {
	o, ok := s.Object(mux.Vars(r)["name"])
	if !ok {
		writeError(w, http.StatusNotFound, "not-found")
		return
	}
	w.Header().Set("ETag", etag(o.Version()))
	w.Header().Set("Content-Length", strconv.Itoa(len(o.Value())))
	w.Write(o.Value())
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, body []byte) {
	name := mux.Vars(r)["name"]
	if store.CheckName(name) != nil {
		writeError(w, http.StatusBadRequest, "invalid")
		return
	}
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	if (match == "") == (none != "*") {
		writeError(w, http.StatusBadRequest, "invalid") // writes must be conditional
		return
	}

	s.mu.Lock()
	old, exists := s.objects[name]
	if exists == (none == "*") || exists && etag(old.Version()) != match {
		s.mu.Unlock()
		writeError(w, http.StatusPreconditionFailed, "conflict")
		return
	}
	v := s.write(name, body)
	loseResponse := s.faults.loseResponses > 0
	if loseResponse {
		s.faults.loseResponses--
	}
	s.mu.Unlock()

	if loseResponse {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.Header().Set("ETag", etag(v))
}

// write stores an object, records the change and wakes up the watches.
func (s *Store) write(name string, value []byte) (version uint64) {
	s.revision++
	o := store.NewObject(name, s.revision, value)
	s.objects[name] = o
	s.history = append(s.history, o)
	s.historyBytes += len(value)
	for len(s.history) > maxHistory || s.historyBytes > maxHistoryBytes {
		s.historyBytes -= len(s.history[0].Value())
		s.compacted = s.history[0].Version()
		s.history = slices.Delete(s.history, 0, 1)
	}
	close(s.nextWrite)
	s.nextWrite = make(chan struct{})
	return s.revision
}

type pageJSON struct {
	Objects  []store.Object `json:"objects"`
	Next     string         `json:"next"`
	Revision uint64         `json:"revision"`
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, _ []byte) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > store.MaxPage {
		writeError(w, http.StatusBadRequest, "invalid")
		return
	}
	s.mu.Lock()
	var found []store.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			found = append(found, o)
		}
	}
	p := pageJSON{Revision: s.revision}
	s.mu.Unlock()

	slices.SortFunc(found, func(a, b store.Object) int { return strings.Compare(a.Name(), b.Name()) })
	p.Objects = firstBatch(found, limit)
	if n := len(p.Objects); n < len(found) {
		p.Next = p.Objects[n-1].Name()
	}
	writeJSON(w, p)
}

type changesJSON struct {
	Changes  []store.Object `json:"changes"`
	Revision uint64         `json:"revision"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, _ []byte) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait"), 10, 64)
	if err != nil || err2 != nil {
		writeError(w, http.StatusBadRequest, "invalid")
		return
	}
	s.updateUsage(func(u *Usage) { u.Waiting++ })
	defer s.updateUsage(func(u *Usage) { u.Waiting-- })
	end := time.NewTimer(clock.Span(wait).Std())
	defer end.Stop()
	for {
		// The channels are read before the outage is checked, so that no
		// change of either is missed.
		c, nextWrite, fault := s.changes(q.Get("prefix"), since)
		if !s.applyOutage(w, r) {
			return
		}
		if len(c.Changes) > 0 {
			writeJSON(w, c)
			return
		}
		select {
		case <-nextWrite:
		case <-fault: // an outage ends waiting watches
		case <-end.C:
			writeJSON(w, c)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changes returns the changes after since, and the channels that are closed by
// the next write and the next change of faults. If the history no longer has all
// of these changes, it returns the current objects instead.
func (s *Store) changes(prefix string, since uint64) (c changesJSON, nextWrite, fault <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.history
	if since == 0 || since < s.compacted {
		from = nil
		for _, o := range s.objects {
			from = append(from, o)
		}
		slices.SortFunc(from, func(a, b store.Object) int { return cmp.Compare(a.Version(), b.Version()) })
	}
	var found []store.Object
	for _, o := range from {
		if o.Version() > since && strings.HasPrefix(o.Name(), prefix) {
			found = append(found, o)
		}
	}
	c = changesJSON{Changes: firstBatch(found, store.MaxPage), Revision: s.revision}
	if n := len(c.Changes); n < len(found) {
		c.Revision = c.Changes[n-1].Version()
	}
	return c, s.nextWrite, s.faults.changed
}

// firstBatch returns the first objects of list: at most n, and none after those
// whose values together exceed maxBatchBytes.
func firstBatch(list []store.Object, n int) []store.Object {
	size := 0
	for i, o := range list {
		if i == n || size > maxBatchBytes {
			return list[:i]
		}
		size += len(o.Value())
	}
	return list
}

func etag(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }

func writeJSON(w http.ResponseWriter, v any) { writeJSONStatus(w, http.StatusOK, v) }

func writeJSONStatus(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}{code, http.StatusText(status)})
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) (b []byte, ok bool) {
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	if int64(len(b)) > limit {
		writeError(w, http.StatusRequestEntityTooLarge, "too-large")
		return nil, false
	}
	return b, true
}
