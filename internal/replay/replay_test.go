package replay_test

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/laburnummux/laburnummux/internal/replay"
	"github.com/matryer/is"
)

// Guards against ownership decisions that exceed a bound of a trace's expected
// outcome. Each bound is a subtest of its own, so that it can be listed alone in
// KNOWN-RED.txt.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d traces: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			tr, err := replay.Read(file)
			if err != nil {
				t.Fatal(err)
			}
			r := replay.Play(tr)
			t.Logf("%+v", r.Figures)
			for _, v := range r.Verdicts {
				t.Run(v.Figure, func(t *testing.T) {
					if !v.Met {
						t.Errorf("%s is %g, expected at most %g", v.Figure, v.Value, v.Bound)
					}
				})
			}
		})
	}
}

const smallTrace = `{
  "name": "small", "seed": 9, "policy": "LeastUnavailable", "hosts": ["a1", "a2", "a3"],
  "servers": [{"name": "s1", "checks": true}, {"name": "s2"}],
  "keys": [{"name": "k", "count": 20}], "warmMs": 3000, "endMs": 9000,
  "outcome": {"longestGapMs": 100},
  "events": [
    {"atMs": 0, "do": "load", "keys": "k", "rate": 100},
    {"atMs": 5000, "do": "serverLost", "server": "s1"} // longestGapMs is less than a lease
  ]
}`

// Guards against results that differ between runs, and against exceeded bounds
// that aren't reported.
func TestVerdict(t *testing.T) {
	is := is.New(t)
	tr, err := replay.Parse([]byte(smallTrace))
	is.NoErr(err)
	r := replay.Play(tr)
	is.True(reflect.DeepEqual(r, replay.Play(tr)))
	is.True(!r.Met)
	is.True(r.Figures.LongestGap > 300) // the lease of a lost server must expire first
	is.Equal(r.Figures.DoubleOwners, 0)
	is.True(r.Figures.KeyMoves > 0)
}

// Guards against invalid traces that are accepted and then partly ignored.
func TestParse(t *testing.T) {
	for _, bad := range []string{
		`{`,
		`{"policy": "LeastChurn"}`,
		`{"unknown": 1}`,
		`{"policy": "LeastChurn", "hosts": ["a"], "servers": [{"name": "s"}], "keys": [{"name": "k", "count": 1}], "endMs": 1,
		  "events": [{"do": "serverLost", "server": "t"}]}`,
		`{"policy": "LeastChurn", "hosts": ["a"], "servers": [{"name": "s"}], "keys": [{"name": "k", "count": 1}], "endMs": 1,
		  "events": [{"do": "vanishes"}]}`,
	} {
		if _, err := replay.Parse([]byte(bad)); err == nil {
			t.Errorf("accepted: %s", bad)
		}
	}
}
