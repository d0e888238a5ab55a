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

// control routes POST requests below /fake/.
type control struct{ *mux.Router }

func newControl() control { return control{mux.NewRouter()} }

// on adds a control path; an error of fn is answered with 400.
func (c control) on(name string, fn func(r *http.Request) error) {
	c.Path("/fake/" + name).Methods(http.MethodPost).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := fn(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
}

// show adds a control path that answers with a value.
func (c control) show(name string, fn func() any) {
	c.Path("/fake/" + name).Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		send(w, fn())
	})
}

// number returns a query parameter that must be a number of at least 0.
func number(r *http.Request, name string) (int, error) {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || n < 0 {
		return 0, fmt.Errorf("fakes: parameter %q must be a number of at least 0", name)
	}
	return n, nil
}

// Control returns the handler of the store's control path. The store also
// serves it itself, even during outages:
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
	c.on("outage", func(r *http.Request) error {
		for _, o := range []Outage{NoOutage, Refuse, Drop, Hang} {
			if o.String() == r.URL.Query().Get("mode") {
				s.SetOutage(o)
				return nil
			}
		}
		return errors.New("fakes: mode must be none, refuse, drop or hang")
	})
	c.on("delay", func(r *http.Request) error {
		n, err := number(r, "ms")
		if err == nil {
			s.SetDelay(clock.Span(n))
		}
		return err
	})
	c.on("lose", func(r *http.Request) error {
		n, err := number(r, "n")
		if err == nil {
			s.LoseAnswers(n)
		}
		return err
	})
	c.on("limits", func(r *http.Request) error {
		writes, err := number(r, "writes")
		reads, err2 := number(r, "reads")
		if err = errors.Join(err, err2); err == nil {
			s.SetLimits(Limits{writes, reads})
		}
		return err
	})
	c.on("lag", func(r *http.Request) error {
		n, err := number(r, "ms")
		if err == nil {
			s.SetLag(clock.Span(n))
		}
		return err
	})
	c.on("add", func(r *http.Request) error {
		var m store.Member
		err := json.NewDecoder(r.Body).Decode(&m)
		if err == nil {
			s.AddMember(m)
		}
		return err
	})
	c.on("leave", func(r *http.Request) error {
		s.Leave(r.URL.Query().Get("name"))
		return nil
	})
	c.on("remove", func(r *http.Request) error {
		s.RemoveMember(r.URL.Query().Get("name"))
		return nil
	})
	c.show("usage", func() any { return s.Usage() })
	return c
}
