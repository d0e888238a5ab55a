package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Revision is an accepted configuration of all sites. Every change increments
// the number.
type Revision struct {
	number uint64
	author string
	time   time.Time // wall clock of the operator's host, for display only
	note   string
	sites  map[keys.DataCentre]Config
	drains []keys.Server // sorted; nil if there are none
	// retired holds the layouts of removed services; nil if there are none.
	retired map[keys.Service]Layout
}

// NewRevision returns a revision. It fails if a configuration was merged for a
// different site, or if the cells, the path or the keyed flag of a service
// differ between sites: two sites could then each have an owner for a key.
func NewRevision(number uint64, author string, t time.Time, note string, sites map[keys.DataCentre]Config) (Revision, error) {
	r := Revision{
		number: number,
		author: author,
		time:   t.UTC().Truncate(time.Millisecond),
		note:   note,
		sites:  maps.Clone(sites),
	}
	if err := r.check(); err != nil {
		return Revision{}, fmt.Errorf("config.NewRevision: %w", err)
	}
	return r, nil
}

func (r Revision) Number() uint64 { return r.number }

// Author returns the name of the operator who applied the revision.
func (r Revision) Author() string { return r.author }

// Time returns when the revision was applied, in UTC and whole milliseconds.
func (r Revision) Time() time.Time { return r.time }

// Note returns the author's comment.
func (r Revision) Note() string { return r.note }

// Sites returns the names of all sites, sorted.
func (r Revision) Sites() []keys.DataCentre { return sortedSites(r.sites) }

func (r Revision) Site(name keys.DataCentre) (Config, bool) {
	c, ok := r.sites[name]
	return c, ok
}

// Drains returns the backend servers that operators are draining, sorted. It
// must not be modified.
func (r Revision) Drains() []keys.Server { return r.drains }

// WithDrains returns a copy of r that drains the given servers.
func (r Revision) WithDrains(servers []keys.Server) Revision {
	r.drains = nil
	if len(servers) > 0 {
		r.drains = slices.Compact(slices.Sorted(slices.Values(servers)))
	}
	return r
}

func sortedSites(sites map[keys.DataCentre]Config) []keys.DataCentre {
	return slices.Sorted(maps.Keys(sites))
}

func (r Revision) check() error {
	var probs Problems
	add := func(site keys.DataCentre, field, msg string) {
		p := Problem{Origin: Origin{storedFileName, 1}, Field: JoinPath("sites", string(site)) + "." + field, Message: msg}
		probs = append(probs, p)
	}
	for _, site := range r.Sites() {
		if own := r.sites[site].site; own != site {
			add(site, "site", fmt.Sprintf("is %q; a configuration merged for %s is required", own, site))
		}
	}
	checkSites(r.sites, add)
	return probs.Err()
}

type wireRevision struct {
	Number  uint64                              `json:"number"`
	Author  string                              `json:"author"`
	Time    time.Time                           `json:"time"`
	Note    string                              `json:"note"`
	Sites   map[keys.DataCentre]json.RawMessage `json:"sites"`
	Drains  []keys.Server                       `json:"drains,omitempty"`
	Retired map[keys.Service]wireLayout         `json:"retired,omitempty"`
}

// EncodeRevision returns the canonical JSON of r. It fails if the result is
// larger than the store accepts.
func EncodeRevision(r Revision) ([]byte, error) {
	w := wireRevision{r.number, r.author, r.time, r.note, make(map[keys.DataCentre]json.RawMessage, len(r.sites)), r.drains, encodeLayouts(r.retired)}
	for site, c := range r.sites {
		b, err := json.Marshal(c)
		if err != nil {
			return nil, fmt.Errorf("config.EncodeRevision: %w", err)
		}
		w.Sites[site] = b
	}
	return encode("config.EncodeRevision", w)
}

// DecodeRevision decodes the result of EncodeRevision.
func DecodeRevision(b []byte) (r Revision, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("config.DecodeRevision: %w", err)
		}
	}()
	if len(b) > MaxDocumentBytes {
		return Revision{}, TooLargeError{Bytes: len(b)}
	}
	var w wireRevision
	if err := json.Unmarshal(b, &w); err != nil {
		return Revision{}, err
	}
	sites := make(map[keys.DataCentre]Config, len(w.Sites))
	for site, raw := range w.Sites {
		if sites[site], err = Decode(raw); err != nil {
			return Revision{}, fmt.Errorf("site %s: %w", site, err)
		}
	}
	if r, err = NewRevision(w.Number, w.Author, w.Time, w.Note, sites); err != nil {
		return Revision{}, err
	}
	return r.WithDrains(w.Drains).WithRetired(decodeLayouts(w.Retired)), nil
}
