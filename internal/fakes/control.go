package fakes

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/store"
)

// control routes requests below /fake/.
type control struct{ *mux.Router }

func newControl() control { return control{mux.NewRouter()} }

// handlePost adds a path for POST requests. If fn returns an error, the response
// is 400 with its text.
func (c control) handlePost(name string, fn func(r *http.Request) error) {
	c.Path("/fake/" + name).Methods(http.MethodPost).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := fn(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
}

// handleGet adds a path for GET requests, which returns the value of fn as JSON.
func (c control) handleGet(name string, fn func() any) {
	c.Path("/fake/" + name).Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, fn())
	})
}

// intParam returns a query parameter that must be an integer of at least 0.
func intParam(r *http.Request, name string) (int, error) {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || n < 0 {
		return 0, fmt.Errorf("fakes: parameter %q must be an integer of at least 0", name)
	}
	return n, nil
}

// Control returns the handler of the store's control paths. The store itself
// serves them too, even during outages:
//
//	POST /fake/outage?mode=none|refuse|drop|hang
//	POST /fake/delay?ms=N
//	POST /fake/lose?n=N
//	POST /fake/limits?writes=N&reads=N
//	POST /fake/lag?ms=N
//	POST /fake/add               body: a member
//	POST /fake/leave?name=NAME
//	POST /fake/remove?name=NAME
//	GET  /fake/usage
func (s *Store) Control() http.Handler {
	c := newControl()
	c.handlePost("outage", func(r *http.Request) error {
		for _, o := range []Outage{NoOutage, Refuse, Drop, Hang} {
			if o.String() == r.URL.Query().Get("mode") {
				s.SetOutage(o)
				return nil
			}
		}
		return errors.New("fakes: parameter \"mode\" must be none, refuse, drop or hang")
	})
	c.handlePost("delay", func(r *http.Request) error {
		n, err := intParam(r, "ms")
		if err == nil {
			s.SetDelay(clock.Span(n))
		}
		return err
	})
	c.handlePost("lose", func(r *http.Request) error {
		n, err := intParam(r, "n")
		if err == nil {
			s.LoseResponses(n)
		}
		return err
	})
	c.handlePost("limits", func(r *http.Request) error {
		writes, err := intParam(r, "writes")
		reads, err2 := intParam(r, "reads")
		if err = errors.Join(err, err2); err == nil {
			s.SetLimits(Limits{writes, reads})
		}
		return err
	})
	c.handlePost("lag", func(r *http.Request) error {
		n, err := intParam(r, "ms")
		if err == nil {
			s.SetLag(clock.Span(n))
		}
		return err
	})
	c.handlePost("add", func(r *http.Request) error {
		var m store.Member
		err := json.NewDecoder(r.Body).Decode(&m)
		if err == nil {
			s.AddMember(m)
		}
		return err
	})
	c.handlePost("leave", func(r *http.Request) error {
		s.MarkLeaving(r.URL.Query().Get("name"))
		return nil
	})
	c.handlePost("remove", func(r *http.Request) error {
		s.RemoveMember(r.URL.Query().Get("name"))
		return nil
	})
	c.handleGet("usage", func() any { return s.Usage() })
	return c
}
