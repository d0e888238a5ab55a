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

// LoadSettings reads the settings of a host. The error may be Problems.
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
		return Settings{}, probs // not JSON at all
	}
	s, more := d.Settings()
	return s, append(probs, more...)
}

// Settings decodes the document as settings of a host. They are to be used
// only if there is no problem.
func (d Document) Settings() (Settings, Problems) {
	r := &reader{}
	o, ok := r.root(d)
	if !ok {
		return Settings{}, r.problems
	}
	var s Settings
	name := func(field string) (text string) {
		o.text(field, required, &text, nameRule, isName)
		return text
	}
	s.host = keys.Host(name("host"))
	s.dataCentre = keys.DataCentre(name("dataCentre"))
	s.group = readGroup(o, s.host)
	s.listen = readListen(o.object("listen", required))
	s.store = readStore(o.object("store", required))
	s.logLevel = LevelInfo
	enum(o, "logLevel", &s.logLevel, Levels())
	s.callers = readCallers(o.object("callers", optional))
	s.drain = defaultDrain
	o.span("drainMs", &s.drain, 0, 10*clock.Minute)
	s.tls = readTLS(o.object("tls", optional))
	s.operatorsTokens = readTokens(o)
	o.done()
	return s, r.problems
}

func readGroup(o *object, host keys.Host) (group []keys.Host) {
	const allowed = "an array with the names of the 1 to 8 hosts of the group"
	v, ok := o.field("group", required, Array, allowed)
	if !ok {
		return nil
	}
	if n := len(v.elements); n < 1 || n > MaxGroup {
		o.add("group", "has %d names; %s is required", n, allowed)
	}
	for i, e := range v.elements {
		field := fmt.Sprintf("%s[%d]", Join(o.path, "group"), i)
		switch h := keys.Host(e.text); {
		case e.kind != String:
			o.r.add(e.origin, field, "is of the wrong type (%s); %s is required", e.kind, nameRule)
		case !isName(e.text):
			o.r.add(e.origin, field, "is %q; %s is required", e.text, nameRule)
		case slices.Contains(group, h):
			o.r.add(e.origin, field, "names %s again; each host must be named once", h)
		default:
			group = append(group, h)
		}
	}
	if host != "" && !slices.Contains(group, host) {
		o.add("group", "doesn't name this host; %s must be one of the group", host)
	}
	slices.Sort(group)
	return group
}

func readListen(o *object) (l Listen) {
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
			o.add(f.name, "is %s like %s; each listener must have an address of its own", f.dst, other)
		}
		used[*f.dst] = f.name
	}
	o.done()
	return l
}

func readStore(o *object) (s Store) {
	o.address("address", &s.address)
	o.text("tokenFile", optional, &s.tokenFile, "the name of a file", func(s string) bool { return s != "" })
	o.done()
	return s
}

func readCallers(o *object) CallerLimits {
	l := CallerLimits{
		maxHeaderBytes:    defaultMaxHeaderBytes,
		idleTimeout:       defaultIdleTimeout,
		readHeaderTimeout: defaultReadHeaderTimeout,
		maxBodyBytes:      defaultCallerBodyBytes,
	}
	o.integer("maxHeaderBytes", optional, &l.maxHeaderBytes, 1<<10, 1<<20)
	o.span("idleTimeoutMs", &l.idleTimeout, clock.Second, 60*clock.Minute)
	o.span("readHeaderTimeoutMs", &l.readHeaderTimeout, 100, clock.Minute)
	o.integer("maxBodyBytes", optional, &l.maxBodyBytes, 0, maxBody)
	o.done()
	return l
}
