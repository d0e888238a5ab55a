package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const goodSettings = `{
  "host": "a", "dataCentre": "n", "group": ["b", "a"],
  "listen": {"callers": "127.0.0.1:1", "relay": "127.0.0.1:2", "peers": "127.0.0.1:3", "operators": "127.0.0.1:4"},
  "store": {"address": "127.0.0.1:5"},
}`

const goodConfig = `{
  "services": {
    "s": {
      "keyed": true,
      "path": "/s/{key}",
      "operations": {"get": {"method": "GET"}, "pull": {"method": "GET", "path": "/all", "class": "bulk"}},
      "dataCentres": {"n": {"weight": 1}},
      "server": {"slots": 2, "connections": 130},
    },
    "t": {
      "path": "/t",
      "operations": {"get": {"method": "GET"}},
      "dataCentres": {"n": {"weight": 1}},
      "server": {"slots": 2, "connections": 130},
    },
  },
}`

func parseConfig(text string) (Config, Problems) {
	d, probs := Parse("f", []byte(text))
	c, more := d.Config()
	return c, append(probs, more...)
}

// Guards against invalid files that are accepted, or problems that are reported
// without the right line, the field, or the allowed values.
func TestProblems(t *testing.T) {
	tests := []struct {
		name, in string // in: goodSettings or goodConfig
		old, new string
		want     string // beginning of one problem
		allowed  string // part of the same problem
	}{
		{"syntax", goodConfig, `"keyed": true,`, `"keyed" true,`, "f:4: not JSON", "after object name"},
		{"not an object", goodConfig, goodConfig, "\n[]", "f:2: is array", "an object is required"},
		{"too deep", goodConfig, goodConfig, "\n" + strings.Repeat("[", 40), "f:2: values are nested", "32"},
		{"duplicate", goodConfig, `"keyed": true,`, `"keyed": true, "k\u0065yed": false,`, "f:4: services.s.keyed: duplicate", "line 4"},
		{"unknown", goodConfig, `"slots": 2,`, `"slots": 2, "slot": 3,`, "f:8: services.s.server.slot: unknown field", "checksFences, connect"},
		{"unknown odd name", goodConfig, `"keyed": true,`, `"a.b": true,`, `f:4: services.s."a.b": unknown field`, "allowed here"},
		{"wrong type", goodConfig, `"slots": 2`, `"slots": "2"`, "f:8: services.s.server.slots: is of the wrong type (string)", "a whole number from 1 to 10000"},
		{"fraction of a slot", goodConfig, `"slots": 2`, `"slots": 2.5`, "f:8: services.s.server.slots: is 2.5", "whole number"},
		{"huge number", goodConfig, `"slots": 2`, `"slots": 99999999999999999999`, "f:8: services.s.server.slots: is 999", "10000"},
		{"missing", goodConfig, `"slots": 2, `, ``, "f:8: services.s.server.slots: is missing", "from 1 to 10000"},
		{"missing object", goodConfig, `"server": {"slots": 2, "connections": 130},`, ``, "f:3: services.s.server: is missing", "an object"},
		{"null in a base", goodConfig, `"keyed": true`, `"keyed": null`, "f:4: services.s.keyed: is null", "overlay"},
		{"service name", goodConfig, `"t": {`, `"T": {`, "f:10: services.T: is not a valid name", "a-z"},
		{"method", goodConfig, `"method": "GET"`, `"method": "get"`, `f:6: services.s.operations.get.method: is "get"`, "GET"},
		{"class of an operation", goodConfig, `"bulk"`, `"slow"`, `f:6: services.s.operations.pull.class: is "slow"`, "interactive, bulk"},
		{"class", goodConfig, `"keyed": true,`, `"keyed": true, "classes": {"slow": {}},`, "f:4: services.s.classes.slow: unknown field", "bulk, interactive"},
		{"share", goodConfig, `"keyed": true,`, `"keyed": true, "classes": {"bulk": {"share": 1.01}},`, "f:4: services.s.classes.bulk.share: is 1.01", "0 to 1"},
		{"used class without share", goodConfig, `"keyed": true,`, `"keyed": true, "classes": {"bulk": {"share": 0}},`, "f:4: services.s.classes: gives class bulk the share 0", "more than 0"},
		{"bulk takes all slots", goodConfig, `"keyed": true,`, `"keyed": true, "classes": {"bulk": {"share": 1}},`, "f:4: services.s.classes: gives class bulk all 2 slots", "at least one"},
		{"policy", goodConfig, `"keyed": true,`, `"keyed": true, "policy": "x",`, `f:4: services.s.policy: is "x"`, "least-unavailable, least-churn"},
		{"weights", goodConfig, `"weight": 1`, `"weight": 0`, "f:7: services.s.dataCentres: has no weight above 0", "at least one"},
		{"no data centre", goodConfig, `{"n": {"weight": 1}}`, `{}`, "f:7: services.s.dataCentres: has no weight", "at least one"},
		{"no operation", goodConfig, `{"get": {"method": "GET"}}`, `{}`, "f:12: services.t.operations: is empty", "at least one"},
		{"slots above connections", goodConfig, `"slots": 2, "connections": 130`, `"slots": 6, "connections": 5`, "f:8: services.s.server.slots: is 6 with 5", "connections - 10"},
		{"no reserve", goodConfig, `"slots": 2, "connections": 130`, `"slots": 6, "connections": 15`, "f:8: services.s.server.slots: is 6 with 15", "connections - 10"},
		{"keyed without key", goodConfig, `"/s/{key}"`, `"/s"`, `f:5: services.s.path: is "/s"`, "{key} once"},
		{"key without keyed", goodConfig, `"keyed": true,`, ``, `f:5: services.s.path: is "/s/{key}"`, "only the path of a keyed"},
		{"path pattern", goodConfig, `"/t"`, `"/t/{a:[0-9]+}"`, `f:11: services.t.path: is "/t/{a`, "variables"},
		{"path of grants", goodConfig, `"/t"`, `"/laburnummux/t"`, `f:11: services.t.path`, "other than laburnummux"},
		{"services overlap", goodConfig, `"/t"`, `"/s/x"`, "f:11: services.t.path: overlaps with service s (f:5)", "must differ"},
		{"operations overlap", goodConfig, `"path": "/all"`, `"path": ""`, "f:6: services.s.operations.pull.path: overlaps with operation get", "must differ"},
		{"variable twice", goodConfig, `"path": "/all"`, `"path": "/{key}"`, "f:6: services.s.operations.pull.path: has {key} twice", "once"},
		{"timeout longer than the deduplication record", goodConfig, `"class": "bulk"`, `"timeoutMs": 540001`, "f:6: services.s.operations.pull.timeoutMs: is 540001", "540000"},
		{"host", goodSettings, `"host": "a"`, `"host": "A"`, `f:2: host: is "A"`, "a-z"},
		{"host not in group", goodSettings, `"host": "a"`, `"host": "c"`, "f:2: group: doesn't name this host", "c must be"},
		{"group too large", goodSettings, `["b", "a"]`, `["a","b","c","d","e","f","g","h","i"]`, "f:2: group: has 9 names", "1 to 8"},
		{"host named twice", goodSettings, `["b", "a"]`, `["a", "a"]`, "f:2: group[1]: names a again", "once"},
		{"host name in group", goodSettings, `["b", "a"]`, `["a", 7]`, "f:2: group[1]: is of the wrong type", "a name"},
		{"address", goodSettings, `127.0.0.1:1"`, `localhost:1"`, `f:3: listen.callers: is "localhost:1"`, "IP:port"},
		{"port", goodSettings, `127.0.0.1:1"`, `127.0.0.1:0"`, `f:3: listen.callers: is "127.0.0.1:0"`, "1 to 65535"},
		{"address used twice", goodSettings, `127.0.0.1:2"`, `127.0.0.1:1"`, "f:3: listen.relay: is 127.0.0.1:1 like callers", "its own"},
		{"store", goodSettings, `"store": {"address": "127.0.0.1:5"},`, ``, "f:1: store: is missing", "an object"},
		{"log level", goodSettings, `"host": "a"`, `"host": "a", "logLevel": "loud"`, "f:2: logLevel", "debug, info, warn, error"},
		{"limit", goodSettings, `"host": "a"`, `"host": "a", "callers": {"idleTimeoutMs": 0}`, "f:2: callers.idleTimeoutMs: is 0", "1000 to 3600000"},
		{"memory", goodSettings, `"host": "a"`, `"host": "a", "memoryMB": 63`, "f:2: memoryMB: is 63", "64 to 1048576"},
		{"memory in other units", goodSettings, `"host": "a"`, `"host": "a", "memoryMB": 144000000`, "f:2: memoryMB: is 144000000", "64 to 1048576"},
		{"connections", goodSettings, `"host": "a"`, `"host": "a", "callers": {"maxConnections": 0}`, "f:2: callers.maxConnections: is 0", "16 to 1048576"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(tt.in, tt.old)) // each test case must change the file
			text := strings.Replace(tt.in, tt.old, tt.new, 1)
			var probs Problems
			if tt.in == goodSettings {
				_, probs = ParseSettings("f", []byte(text))
			} else {
				_, probs = parseConfig(text)
			}
			for _, p := range probs {
				if strings.HasPrefix(p.Error(), tt.want) && strings.Contains(p.Message, tt.allowed) {
					return
				}
			}
			t.Fatalf("no problem starts with %q and contains %q:\n%v", tt.want, tt.allowed, probs)
		})
	}
}

// Guards against a decoder that stops at the first problem, and against
// additional problems that are only consequences of a reported one.
func TestAllProblemsReported(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"/t"`, `"t"`, `"slots": 2`, `"slots": 0`, `"keyed": true`, `"keyed": 1`).Replace(goodConfig)
	_, probs := parseConfig(text)
	var fields []string
	for _, p := range probs {
		fields = append(fields, p.Field)
	}
	is.Equal(fields, []string{
		"services.s.keyed", "services.s.server.slots", "services.s.path", // {key} in the path of a service that isn't keyed
		"services.t.path", "services.t.server.slots",
	})
	is.Equal(len(strings.Split(probs.Error(), "\n")), 5)
}

// Guards against defaults that differ from docs/configuration.md.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, probs := ParseSettings("f", []byte(goodSettings))
	is.NoErr(probs.Err())
	is.Equal(s.Group(), []keys.Host{"a", "b"})
	is.Equal(s.LogLevel(), LevelInfo)
	is.Equal(s.DrainTimeout(), 30*clock.Second)
	is.Equal(s.Callers(), CallerLimits{65536, clock.Minute, 5 * clock.Second, 16 << 20, 0})
	is.Equal(s.Memory(), int64(0))
	c, probs := parseConfig(goodConfig)
	is.NoErr(probs.Err())
	svc, ok := c.Service("s")
	is.True(ok)
	is.Equal(svc.Server(), Server{2, 130, false, 100, 5000})
	is.Equal(svc.Operations()[0], Operation{"get", "GET", "", "/s/{key}", false, Interactive, 1000})
	is.Equal(svc.Operations()[1].Template(), "/s/{key}/all")
	is.Equal(svc.ClassSlots(Bulk), 1)
	is.Equal(svc.ClassSlots(Interactive), 2)
	is.Equal([]float64{svc.RetryBudget(), float64(svc.QueuePerSlot()), float64(svc.MaxBodyBytes())}, []float64{0.1, 16, 1 << 20})
	_, ok = c.Service("u")
	is.True(!ok)
}

// Guards against example settings that no longer load.
func TestExampleSettings(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/host-*.jsonc")
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, file := range files {
		s, err := LoadSettings(file)
		is.NoErr(err)
		is.Equal(len(s.Group()), 4)
	}
}

// Guards against a decoder that panics, and against problems without a line.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("../../examples/*/*.jsonc")
	if err != nil || len(files) == 0 {
		f.Fatal("no examples", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, s := range []string{"", "{", `{"a":1,"a":2}`, "//", "/*", `"\`, `{"services":null}`, "\xff", "\"0\n0\"", `{"group":[{}]}`, goodConfig, goodSettings} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, all := Parse("f", data)
		cfg, probs := d.Config()
		all = append(all, probs...)
		all = append(all, d.CheckOverlay()...)
		_, more := ParseSettings("f", data)
		for _, p := range append(all, more...) {
			if p.Line < 1 || p.File != "f" || strings.Contains(p.Error(), "\n") {
				t.Errorf("problem without file and line, or on several lines: %q", p.Error())
			}
		}
		if len(all) > 0 && probs.Err() != nil {
			return
		}
		b, err := Encode(cfg)
		if err != nil {
			return
		}
		if again, err := Decode(b); err != nil || !reflect.DeepEqual(again, cfg) {
			t.Errorf("encoding and decoding changed the configuration to %v, %v", again, err)
		}
	})
}
