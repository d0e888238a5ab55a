package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against an encoding that loses a value or depends on the format of the
// file.
func TestEncode(t *testing.T) {
	is := is.New(t)
	c, probs := parseConfig(goodConfig)
	is.NoErr(probs.Err())
	b, err := Encode(c)
	is.NoErr(err)
	back, err := Decode(b)
	is.NoErr(err)
	is.Equal(back, c)
	other, probs := parseConfig(strings.Replace(goodConfig, `"keyed": true,`, `"policy": "least-unavailable", "keyed": true,`, 1))
	is.NoErr(probs.Err())
	b2, err := Encode(other)
	is.NoErr(err)
	is.Equal(string(b2), string(b))
}

// Guards against a configuration that is accepted although the store would
// reject it as too large.
func TestEncodeTooLarge(t *testing.T) {
	is := is.New(t)
	c, probs := parseConfig(goodConfig)
	is.NoErr(probs.Err())
	for i := range 3000 {
		s := c.services[1]
		s.name = keys.Service(fmt.Sprintf("x%d", i))
		c.services = append(c.services, s)
	}
	_, err := Encode(c)
	var tooLarge TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.True(tooLarge.Bytes > 1<<20)
}

// Guards against a revision whose sites would determine different owners of a
// key, and against a revision that changes when it is encoded and decoded.
func TestRevision(t *testing.T) {
	at := time.Date(2026, 3, 1, 8, 0, 0, 123456789, time.FixedZone("", 3600))
	site := func(name, old, new string) Config {
		text := strings.Replace(goodConfig, `"services"`, `"site": "`+name+`", "services"`, 1)
		c, probs := parseConfig(strings.Replace(text, old, new, 1))
		if err := probs.Err(); err != nil {
			t.Fatal(err)
		}
		return c
	}
	tests := []struct {
		name  string
		north Config
		want  string // empty if the revision is valid
	}{
		{"equal", site("north", "", ""), ""},
		{"other slots", site("north", `"slots": 2`, `"slots": 3`), ""},
		{"other weight", site("north", `"weight": 1`, `"weight": 2`), "sites.south.services.s.dataCentres: differs"},
		{"other path", site("north", `/t"`, `/u"`), "sites.south.services.t.path: differs"},
		{"other site", site("west", "", ""), `sites.north.site: is "west"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, err := NewRevision(7, "moana", at, "more slots", map[keys.DataCentre]Config{
				"north": tt.north, "south": site("south", "", ""),
			})
			if tt.want != "" {
				is.True(strings.Contains(fmt.Sprint(err), tt.want))
				return
			}
			is.NoErr(err)
			b, err := EncodeRevision(r)
			is.NoErr(err)
			back, err := DecodeRevision(b)
			is.NoErr(err)
			is.Equal(back, r)
			is.Equal(back.Time().Nanosecond(), 123_000_000)
		})
	}
}

// Guards against cells that overlap, leave a gap, or ignore the weights.
func TestCells(t *testing.T) {
	tests := []struct {
		name string
		dcs  []DataCentre
		want []float64 // share of the hash space of each cell
	}{
		{"thirds", []DataCentre{{"a", 1, 1}, {"b", 1, 1}, {"c", 1, 1}}, []float64{1. / 3, 1. / 3, 1. / 3}},
		{"weights and cells", []DataCentre{{"a", 3, 2}, {"b", 0, 4}, {"c", 1, 1}}, []float64{.375, .375, .25}},
		{"one", []DataCentre{{"a", 0, 1}, {"b", 9, 1}}, []float64{1}},
		{"extreme", []DataCentre{{"a", 1, 1}, {"b", 10000, 1}, {"c", 0, 1}}, []float64{1. / 10001, 10000. / 10001}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cells := Service{name: "s", dataCentres: tt.dcs}.Cells()
			is.Equal(len(cells), len(tt.want))
			next := keys.Hash(0)
			for i, c := range cells {
				is.Equal(c.Range.Lo(), next)
				next = c.Range.Hi() + 1
				w := c.Range.Share() - tt.want[i]
				is.True(w < 1e-12 && w > -1e-12)
			}
			is.Equal(next, keys.Hash(0)) // the last cell ends with the hash space
		})
	}
}
