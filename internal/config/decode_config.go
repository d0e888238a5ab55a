package config

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Bounds of fields. They are documented in docs/configuration.md.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueue       = 1_000
	maxBody        = 1 << 30
	maxWeight      = 10_000
	maxCells       = 1_024

	// maxTimeout keeps a non-idempotent request shorter than its
	// deduplication record, which is relied on for 9 min.
	maxTimeout = 9 * clock.Minute
)

// Config decodes a document that is complete: a base or a merged result. It is
// to be used only if there is no error among the problems.
func (d Document) Config() (Config, Problems) { return d.config(false) }

// CheckOverlay reports the problems that an overlay has by itself. Values that
// the base must provide are checked by package merge.
func (d Document) CheckOverlay() Problems {
	_, probs := d.config(true)
	if site, ok := d.root.Get("site"); d.root.kind == Object && (!ok || site.kind == Null) {
		p := Problem{Origin: d.root.origin, Field: "site", Message: "is missing; an overlay names its data centre"}
		probs = append(probs, p)
	}
	return probs
}

func (d Document) config(partial bool) (cfg Config, probs Problems) {
	r := &reader{partial: partial}
	o, ok := r.root(d)
	if !ok {
		return Config{}, r.problems
	}
	o.text("site", optional, (*string)(&cfg.site), nameRule, isName)
	services := o.object("services", required)
	for _, f := range services.each() {
		cfg.services = append(cfg.services, readService(f))
	}
	o.done()
	if !partial {
		checkServicePaths(services, cfg.services)
	}
	return cfg, r.problems
}

func readService(o *object) Service {
	s := Service{
		name:         keys.Service(o.name),
		shares:       [2]float64{Interactive: 1, Bulk: defaultBulkShare},
		queuePerSlot: defaultQueuePerSlot,
		retryBudget:  defaultRetryBudget,
		maxBodyBytes: defaultBodyBytes,
	}
	o.boolean("keyed", &s.keyed)
	o.text("path", required, &s.path, pathRule, isServicePath)
	operations := o.object("operations", required)
	for _, f := range operations.each() {
		s.operations = append(s.operations, readOperation(f, s.path))
	}
	dataCentres := o.object("dataCentres", required)
	for _, f := range dataCentres.each() {
		s.dataCentres = append(s.dataCentres, readDataCentre(f))
	}
	server := o.object("server", required)
	s.server = readServer(server)
	enum(o, "policy", &s.policy, Policies())
	readClasses(o.object("classes", optional), &s.shares)
	o.integer("queuePerSlot", optional, &s.queuePerSlot, 0, maxQueue)
	o.fraction("retryBudget", optional, &s.retryBudget)
	o.integer("maxBodyBytes", optional, &s.maxBodyBytes, 0, maxBody)
	o.done()
	if !o.r.partial {
		c := serviceCheck{o: o, s: s, operations: operations, dataCentres: dataCentres, server: server}
		c.run()
	}
	return s
}

func readOperation(o *object, prefix string) Operation {
	op := Operation{name: o.name, timeout: defaultTimeout}
	o.text("method", required, &op.method, "one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT", isMethod)
	o.text("path", optional, &op.path, `"" or a path that starts with / and follows the service's path`, isOperationPath)
	op.template = prefix + op.path
	o.boolean("idempotent", &op.idempotent)
	enum(o, "class", &op.class, Classes())
	o.span("timeoutMs", &op.timeout, 1, maxTimeout)
	o.done()
	return op
}

func isMethod(s string) bool {
	switch s {
	case "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT":
		return true
	}
	return false
}

func readDataCentre(o *object) DataCentre {
	d := DataCentre{name: keys.DataCentre(o.name), cells: defaultCells}
	o.integer("weight", required, &d.weight, 0, maxWeight)
	o.integer("cells", optional, &d.cells, 1, maxCells)
	o.done()
	return d
}

func readServer(o *object) Server {
	s := Server{connectTimeout: defaultConnectTimeout, ramp: defaultRamp}
	o.integer("slots", required, &s.slots, 1, maxSlots)
	o.integer("connections", required, &s.connections, 1, maxConnections)
	o.boolean("checksFences", &s.checksFences)
	o.span("connectTimeoutMs", &s.connectTimeout, 1, clock.Minute)
	o.span("rampMs", &s.ramp, 0, 10*clock.Minute)
	o.done()
	return s
}

func readClasses(o *object, shares *[2]float64) {
	for _, c := range Classes() {
		class := o.object(c.String(), optional)
		class.fraction("share", optional, &shares[c])
		class.done()
	}
	o.done()
}
