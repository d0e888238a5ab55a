package config

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Limits of fields, as documented in docs/configuration.md.
const (
	maxServerSlots        = 10_000
	maxServerConnections  = 100_000
	maxQueuePerSlot       = 1_000
	maxBodyLimit          = 1 << 30
	maxWeight             = 10_000
	maxCellsPerDataCentre = 1_024

	// maxTimeout ensures that a non-idempotent request ends before its
	// deduplication record, which is guaranteed for 9 min only.
	maxTimeout = 9 * clock.Minute
)

// Config decodes a complete document: a base or a merged result. The Config must
// not be used if there is an error among the problems.
func (d Document) Config() (Config, Problems) { return d.decodeConfig(false) }

// CheckOverlay checks an overlay without its base. Values that the base must
// provide are checked by package merge.
func (d Document) CheckOverlay() Problems {
	_, probs := d.decodeConfig(true)
	if site, ok := d.root.Get("site"); d.root.kind == Object && (!ok || site.kind == Null) {
		p := Problem{Origin: d.root.origin, Field: "site", Message: "is missing; an overlay names its data centre"}
		probs = append(probs, p)
	}
	return probs
}

func (d Document) decodeConfig(partial bool) (cfg Config, probs Problems) {
	dec := &decoder{partial: partial}
	o, ok := dec.root(d)
	if !ok {
		return Config{}, dec.problems
	}
	o.str("site", optional, (*string)(&cfg.site), nameRule, isName)
	services := o.object("services", required)
	for _, f := range services.children() {
		cfg.services = append(cfg.services, decodeService(f))
	}
	o.checkUnknownFields()
	if !partial {
		checkServicePaths(services, cfg.services)
	}
	return cfg, dec.problems
}

func decodeService(o *object) Service {
	s := Service{
		name:         keys.Service(o.name),
		classShares:  [2]float64{Interactive: 1, Bulk: defaultBulkShare},
		queuePerSlot: defaultQueuePerSlot,
		retryBudget:  defaultRetryBudget,
		maxBodyBytes: defaultMaxBodyBytes,
	}
	o.boolean("keyed", &s.keyed)
	o.str("path", required, &s.path, pathRule, isServicePath)
	operations := o.object("operations", required)
	for _, f := range operations.children() {
		s.operations = append(s.operations, decodeOperation(f, s.path))
	}
	dataCentres := o.object("dataCentres", required)
	for _, f := range dataCentres.children() {
		s.dataCentres = append(s.dataCentres, decodeDataCentre(f))
	}
	server := o.object("server", required)
	s.server = decodeServer(server)
	enum(o, "policy", &s.policy, Policies())
	decodeClasses(o.object("classes", optional), &s.classShares)
	o.integer("queuePerSlot", optional, &s.queuePerSlot, 0, maxQueuePerSlot)
	o.fraction("retryBudget", optional, &s.retryBudget)
	o.integer("maxBodyBytes", optional, &s.maxBodyBytes, 0, maxBodyLimit)
	o.checkUnknownFields()
	if !o.decoder.partial {
		c := serviceChecker{object: o, service: s, operations: operations, dataCentres: dataCentres, server: server}
		c.check()
	}
	return s
}

func decodeOperation(o *object, prefix string) Operation {
	op := Operation{name: o.name, timeout: defaultTimeout}
	o.str("method", required, &op.method, "one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT", isMethod)
	o.str("path", optional, &op.path, `"" or a path that starts with / and follows the service's path`, isOperationPath)
	op.template = prefix + op.path
	o.boolean("idempotent", &op.idempotent)
	enum(o, "class", &op.class, Classes())
	o.duration("timeoutMs", &op.timeout, 1, maxTimeout)
	o.checkUnknownFields()
	return op
}

func isMethod(s string) bool {
	switch s {
	case "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT":
		return true
	}
	return false
}

func decodeDataCentre(o *object) DataCentre {
	d := DataCentre{name: keys.DataCentre(o.name), cells: defaultCells}
	o.integer("weight", required, &d.weight, 0, maxWeight)
	o.integer("cells", optional, &d.cells, 1, maxCellsPerDataCentre)
	o.checkUnknownFields()
	return d
}

func decodeServer(o *object) Server {
	s := Server{connectTimeout: defaultConnectTimeout, warmup: defaultWarmup}
	o.integer("slots", required, &s.slots, 1, maxServerSlots)
	o.integer("connections", required, &s.connections, 1, maxServerConnections)
	o.boolean("checksFences", &s.checksFences)
	o.duration("connectTimeoutMs", &s.connectTimeout, 1, clock.Minute)
	o.duration("rampMs", &s.warmup, 0, 10*clock.Minute)
	o.checkUnknownFields()
	return s
}

func decodeClasses(o *object, shares *[2]float64) {
	for _, c := range Classes() {
		class := o.object(c.String(), optional)
		class.fraction("share", optional, &shares[c])
		class.checkUnknownFields()
	}
	o.checkUnknownFields()
}
