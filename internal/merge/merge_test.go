package merge

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/laburnummux/laburnummux/internal/config"
)

// TestMain sets a fixed seed, so that every run checks the same cases. The flag
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// node is a generated document: an object if fields isn't nil, and otherwise a
// literal.
type node struct {
	literal string
	fields  map[string]node
}

func drawNode(t *rapid.T, depth int, literals []string) node {
	if depth == 0 || rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
		return node{literal: rapid.SampledFrom(literals).Draw(t, "literal")}
	}
	return drawObject(t, depth, literals)
}

func drawObject(t *rapid.T, depth int, literals []string) node {
	n := node{fields: map[string]node{}}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "services"}), 0, 4, rapid.ID[string]).Draw(t, "names") {
		n.fields[name] = drawNode(t, depth-1, literals)
	}
	return n
}

// objectSuffix follows the path of an object in the lines that print records.
const objectSuffix = "{"

// print writes the node with a field per line, so that each has a line of its
// own, and records the line of each value.
func (n node) print(t *rapid.T, b *strings.Builder, path string, lines map[string]int) {
	line := 1 + strings.Count(b.String(), "\n")
	if n.fields == nil {
		lines[path] = line
		b.WriteString(n.literal)
		return
	}
	lines[path+objectSuffix] = line
	names := make([]string, 0, len(n.fields))
	for name := range n.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	b.WriteString("{")
	for _, name := range rapid.Permutation(names).Draw(t, "order") {
		fmt.Fprintf(b, "\n%q: ", name)
		n.fields[name].print(t, b, path+"/"+name, lines)
		b.WriteString(",")
	}
	b.WriteString("\n}")
}

func (n node) parse(t *rapid.T, file string) (Document, map[string]int) {
	var b strings.Builder
	lines := map[string]int{}
	n.print(t, &b, "", lines)
	d, probs := config.Parse(file, []byte(b.String()))
	if probs.Err() != nil {
		t.Fatalf("%v in %s", probs, b.String())
	}
	return d, lines
}

// expectedMerge is a second implementation of the merge rules on plain maps.
func expectedMerge(base, overlay node) node {
	if overlay.fields == nil {
		return overlay
	}
	res := node{fields: map[string]node{}}
	for name, b := range base.fields {
		res.fields[name] = b
	}
	for name, o := range overlay.fields {
		if o.literal == "null" {
			delete(res.fields, name)
			continue
		}
		res.fields[name] = expectedMerge(base.fields[name], o)
	}
	return res
}

// Guards against a merge that loses or adds a value, that reports the wrong
// origin, or whose result depends on the order of fields.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := []string{"1", "true", `"x"`, `[1, 2]`, "[]"}
		base := drawObject(t, 3, values)
		overlay := drawObject(t, 3, append([]string{"null"}, values...))
		b, baseLines := base.parse(t, "base")
		o, overlayLines := overlay.parse(t, "overlay")
		m, _ := Merge(b, o)
		want, _ := expectedMerge(base, overlay).parse(t, "want")
		if !m.Document().Root().Equal(want.Root()) {
			t.Fatalf("got %v, want %v", m.Document().Root(), want.Root())
		}
		for _, l := range m.Document().Root().Leaves() {
			path := strings.Join(append([]string{""}, l.Path...), "/")
			wantOrigin := config.Origin{File: "overlay", Line: overlayLines[path]}
			if wantOrigin.Line == 0 {
				wantOrigin = config.Origin{File: "base", Line: baseLines[path]}
			}
			if l.Value.Kind() == config.Object { // without fields: its origin is in the base if the base has the object
				wantOrigin = config.Origin{File: "base", Line: baseLines[path+objectSuffix]}
				if wantOrigin.Line == 0 {
					wantOrigin = config.Origin{File: "overlay", Line: overlayLines[path+objectSuffix]}
				}
			}
			if l.Value.Origin() != wantOrigin {
				t.Fatalf("%s is from %v, want %v", path, l.Value.Origin(), wantOrigin)
			}
		}
		same, _ := Merge(b, Document{})
		if !same.Document().Root().Equal(b.Root()) {
			t.Fatalf("with an empty overlay got %v, want %v", same.Document().Root(), b.Root())
		}
		b2, _ := base.parse(t, "base") // fields in another order
		o2, _ := overlay.parse(t, "overlay")
		if m2, _ := Merge(b2, o2); m2.Document().Root().String() != m.Document().Root().String() {
			t.Fatalf("result depends on the order of fields: got %v and %v", m2.Document().Root(), m.Document().Root())
		}
	})
}

const testBase = `{"services": {
  "s": {"keyed": true, "path": "/s/{key}", "operations": {"get": {"method": "GET"}},
    "dataCentres": {"n": {"weight": 1}, "m": {"weight": 1}},
    "server": {"slots": 4, "connections": 60, "rampMs": 7}},
  "t": {"path": "/t", "operations": {"get": {"method": "GET"}},
    "dataCentres": {"n": {"weight": 1}, "m": {"weight": 0}}, "server": {"slots": 4, "connections": 60}}}}`

func parse(t *testing.T, file, text string) Document {
	d, probs := config.Parse(file, []byte(text))
	if err := probs.Err(); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a merge that accepts a result with two owners of a key or with
// cells that have no assigner, and against warnings that are missing or are
// reported as errors.
func TestMergeProblems(t *testing.T) {
	tests := []struct {
		name, overlay string
		want          []string // beginnings of all problems
		refused       bool
	}{
		{"differs", `{"site": "n", "services": {"s": {"server": {"slots": 3}}}}`, nil, false},
		{"default restored", `{"site": "n", "services": {"s": {"server": {"rampMs": null}}}}`, nil, false},
		{"repeated", `{"site": "n", "services": {"s": {"server": {"slots": 4.0}}}}`,
			[]string{"o:1: services.s.server.slots: warning: repeats the value of b:4", "o:1: services.s.server.slots: is 4.0"}, true},
		{"repeated equally", `{"site": "n", "services": {"s": {"server": {"slots": 4}}}}`,
			[]string{"o:1: services.s.server.slots: warning: repeats the value of b:4"}, false},
		{"removes nothing", `{"site": "n", "services": {"s": {"policy": null}}}`,
			[]string{"o:1: services.s.policy: warning: removes a field"}, false},
		{"required field removed", `{"site": "n", "services": {"s": {"server": {"slots": null}}}}`,
			[]string{"b:4: services.s.server.slots: is missing"}, true},
		{"inconsistent only when merged", `{"site": "n", "services": {"s": {"server": {"connections": 12}}}}`,
			[]string{"b:4: services.s.server.slots: is 4 with 12"}, true},
		{"other weight", `{"site": "n", "services": {"s": {"dataCentres": {"m": {"weight": 2}}}}}`,
			[]string{"o:1: services.s.dataCentres: differs from the base"}, true},
		{"other path", `{"site": "n", "services": {"t": {"path": "/u"}}}`,
			[]string{"o:1: services.t.path: differs from the base"}, true},
		{"service added", `{"site": "n", "services": {"u": {"path": "/u"}}}`,
			[]string{"o:1: services.u: is not in the base", "o:1: services.u.operations: is missing",
				"o:1: services.u.dataCentres: is missing", "o:1: services.u.server: is missing"}, true},
		{"service with cells removed", `{"site": "n", "services": {"t": null}}`,
			[]string{"o:1: services.t: can't be removed at n"}, true},
		{"service without cells removed", `{"site": "m", "services": {"t": null}}`, nil, false},
		{"misspelt site", `{"site": "nn"}`, []string{"o:1: site: warning: no service has nn"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, probs := Merge(parse(t, "b", testBase), parse(t, "o", tt.overlay))
			is.Equal(len(probs), len(tt.want))
			for i, p := range probs {
				is.True(strings.HasPrefix(p.Error(), tt.want[i]))
			}
			is.Equal(config.Problems(probs).Err() != nil, tt.refused)
		})
	}
}

// Guards against changes that remove a service or its capacity without a
// confirmation, and against holds on harmless changes.
func TestReview(t *testing.T) {
	tests := []struct {
		name     string
		old, new string // replacement in testBase
		want     string // kinds of the holds
	}{
		{"no change", "", "", "[]"},
		{"half the slots", `"slots": 4`, `"slots": 2`, "[]"},
		{"less than half the slots", `"slots": 4`, `"slots": 1`, "[slots-lowered]"},
		{"keyless", `"keyed": true, "path": "/s/{key}"`, `"path": "/s"`, "[keyed-to-keyless]"},
		{"one data centre left", `"n": {"weight": 1}, `, ``, "[]"},
		{"all data centres moved", `{"n": {"weight": 1}, "m": {"weight": 0}}`, `{"n": {"weight": 0}, "m": {"weight": 1}}`, "[data-centres-removed]"},
		{"renamed", `"t": {`, `"u": {`, "[service-removed]"},
		{"all removed", testBase, `{"services": {}}`, "[no-services service-removed service-removed]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(testBase, tt.old))
			before, probs := parse(t, "b", testBase).Config()
			is.NoErr(probs.Err())
			after, probs := parse(t, "b", strings.Replace(testBase, tt.old, tt.new, 1)).Config()
			is.NoErr(probs.Err())
			var kinds []HoldKind
			for _, h := range Review(before, after) {
				kinds = append(kinds, h.Kind)
				is.True(h.Reason != "")
			}
			is.Equal(fmt.Sprint(kinds), tt.want)
		})
	}
}

// Guards against example files that don't merge without problems, and against
// entries without their origin.
func TestExamples(t *testing.T) {
	tests := []struct {
		dir, keyed string
		sites      int
		field      string
		origin     string
	}{
		{"harakeke", "ledger", 3, "services.ledger.server.checksFences", "north-3.jsonc:5"},
		{"darlingdowns", "stockroom", 3, "services.stockroom.classes.bulk.share", "south-3.jsonc:5"},
	}
	for _, tt := range tests {
		t.Run(tt.dir, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("../../examples", tt.dir)
			base, probs, err := config.Load(filepath.Join(dir, "base.jsonc"))
			is.NoErr(err)
			is.Equal(len(probs), 0)
			overlays, err := filepath.Glob(filepath.Join(dir, "[ns]o*.jsonc"))
			is.NoErr(err)
			is.Equal(len(overlays), tt.sites)
			for i, file := range overlays {
				overlay, probs, err := config.Load(file)
				is.NoErr(err)
				probs = append(probs, overlay.CheckOverlay()...)
				m, more := Merge(base, overlay)
				is.Equal(len(append(probs, more...)), 0) // not even a warning
				is.Equal(string(m.Config().Site())+".jsonc", filepath.Base(file))
				is.Equal(len(m.Config().Services()), 3)
				for _, s := range m.Config().Services() {
					is.Equal(s.Keyed(), string(s.Name()) == tt.keyed)
				}
				entries, err := m.Entries()
				is.NoErr(err)
				j := slices.IndexFunc(entries, func(e Entry) bool { return e.Field == tt.field })
				is.True(j >= 0)
				is.Equal(strings.HasSuffix(entries[j].Origin.String(), tt.origin), i == tt.sites-1)
			}
		})
	}
}
