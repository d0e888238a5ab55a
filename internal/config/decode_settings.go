package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// LoadSettings reads the settings of a host from a file. The error is of type
// Problems if the file could be read but is not valid.
func LoadSettings(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("config.LoadSettings: %w", err)
	}
	s, probs := ParseSettings(filepath.Clean(file), data)
	return s, probs.Err()
}

// ParseSettings parses the settings of a host.
func ParseSettings(file string, data []byte) (Settings, Problems) {
	d, probs := Parse(file, data)
	if d.root.kind == Null && probs.Err() != nil {
		return Settings{}, probs // not JSON
	}
	s, more := d.Settings()
	return s, append(probs, more...)
}

// Settings decodes the document as settings of a host. They must not be used if
// there is an error among the problems.
func (d Document) Settings() (Settings, Problems) {
	dec := &decoder{}
	o, ok := dec.root(d)
	if !ok {
		return Settings{}, dec.problems
	}
	var s Settings
	name := func(field string) (text string) {
		o.str(field, required, &text, nameRule, isName)
		return text
	}
	s.host = keys.Host(name("host"))
	s.dataCentre = keys.DataCentre(name("dataCentre"))
	s.group = decodeGroup(o, s.host)
	s.listen = decodeListen(o.object("listen", required))
	s.store = decodeStore(o.object("store", required))
	s.logLevel = LevelInfo
	enum(o, "logLevel", &s.logLevel, Levels())
	s.callers = decodeCallers(o.object("callers", optional))
	s.drainTimeout = defaultDrainTimeout
	o.duration("drainMs", &s.drainTimeout, 0, 10*clock.Minute)
	s.memory = decodeMemory(o)
	s.tls = decodeTLS(o.object("tls", optional))
	s.operatorsTokens = decodeOperatorsTokens(o)
	o.checkUnknownFields()
	return s, dec.problems
}

// decodeMemory decodes the memory of the process, in bytes.
func decodeMemory(o *object) int64 {
	var mb int
	o.integer("memoryMB", optional, &mb, minMemoryMB, maxMemoryMB)
	return int64(mb) * 1e6
}

func decodeGroup(o *object, host keys.Host) (group []keys.Host) {
	const allowed = "an array with the names of the 1 to 8 hosts of the group"
	v, ok := o.field("group", required, Array, allowed)
	if !ok {
		return nil
	}
	if n := len(v.elements); n < 1 || n > MaxGroupHosts {
		o.addProblem("group", "has %d names; %s is required", n, allowed)
	}
	for i, e := range v.elements {
		field := fmt.Sprintf("%s[%d]", JoinPath(o.path, "group"), i)
		switch h := keys.Host(e.text); {
		case e.kind != String:
			o.decoder.addProblem(e.origin, field, "is of the wrong type (%s); %s is required", e.kind, nameRule)
		case !isName(e.text):
			o.decoder.addProblem(e.origin, field, "is %q; %s is required", e.text, nameRule)
		case slices.Contains(group, h):
			o.decoder.addProblem(e.origin, field, "names %s again; each host must be named once", h)
		default:
			group = append(group, h)
		}
	}
	if host != "" && !slices.Contains(group, host) {
		o.addProblem("group", "doesn't name this host; %s must be a member of the group", host)
	}
	slices.Sort(group)
	return group
}

func decodeListen(o *object) (l Listen) {
	fields := []struct {
		name string
		dst  *netip.AddrPort
	}{
		{"callers", &l.callers}, {"relay", &l.relay}, {"peers", &l.peers}, {"operators", &l.operators},
	}
	used := map[netip.AddrPort]string{}
	for _, f := range fields {
		o.address(f.name, f.dst)
		if other, ok := used[*f.dst]; ok && f.dst.IsValid() {
			o.addProblem(f.name, "is %s like %s; each listener must have its own address", f.dst, other)
		}
		used[*f.dst] = f.name
	}
	o.checkUnknownFields()
	return l
}

func decodeStore(o *object) (s Store) {
	o.address("address", &s.address)
	o.str("tokenFile", optional, &s.tokenFile, "the name of a file", func(s string) bool { return s != "" })
	o.checkUnknownFields()
	return s
}

func decodeCallers(o *object) CallerLimits {
	l := CallerLimits{
		maxHeaderBytes:    defaultMaxHeaderBytes,
		idleTimeout:       defaultIdleTimeout,
		readHeaderTimeout: defaultReadHeaderTimeout,
		maxBodyBytes:      defaultCallerMaxBodyBytes,
	}
	o.integer("maxHeaderBytes", optional, &l.maxHeaderBytes, 1<<10, 1<<20)
	o.duration("idleTimeoutMs", &l.idleTimeout, clock.Second, 60*clock.Minute)
	o.duration("readHeaderTimeoutMs", &l.readHeaderTimeout, 100, clock.Minute)
	o.integer("maxBodyBytes", optional, &l.maxBodyBytes, 0, maxBodyLimit)
	o.integer("maxConnections", optional, &l.maxConnections, minConnections, maxConnections)
	o.checkUnknownFields()
	return l
}
