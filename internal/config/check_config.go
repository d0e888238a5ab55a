package config

import (
	"slices"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// serviceChecker compares the values of one service with each other. Values that
// are missing or out of range have already been reported and are 0 here.
type serviceChecker struct {
	object      *object
	service     Service
	operations  *object
	dataCentres *object
	server      *object
}

func (c *serviceChecker) check() {
	c.checkKey()
	c.checkOperations()
	c.checkWeights()
	c.checkServer()
	c.checkShares()
}

// checkKey requires the path of a keyed service to contain the key.
func (c *serviceChecker) checkKey() {
	n := countSegment(c.service.path, keyVariable)
	switch {
	case c.service.path == "":
	case c.service.keyed && n != 1:
		c.object.addProblem("path", "is %q; the path of a keyed service contains %s once", c.service.path, keyVariable)
	case !c.service.keyed && n > 0:
		c.object.addProblem("path", "is %q; only the path of a keyed service may contain %s", c.service.path, keyVariable)
	}
}

func (c *serviceChecker) checkOperations() {
	if len(c.service.operations) == 0 && c.object.isSet("operations") {
		c.object.addProblem("operations", "is empty; at least one operation is required")
	}
	for i, op := range c.service.operations {
		if c.service.path == "" || op.method == "" {
			continue
		}
		at := c.operations.originOf(op.name)
		if v, ok := c.operations.value.Find(op.name, "path"); ok {
			at = v.origin
		}
		field := JoinPath(JoinPath(c.operations.path, op.name), "path")
		if v := repeatedVariable(op.template); v != "" {
			c.object.decoder.addProblem(at, field, "has %s twice in %q; each variable may occur once", v, op.template)
		}
		if !c.service.keyed && countSegment(op.path, keyVariable) > 0 {
			c.object.decoder.addProblem(at, field, "is %q; only the path of a keyed service may contain %s", op.path, keyVariable)
		}
		for _, other := range c.service.operations[:i] {
			if other.method == op.method && pathsOverlap(other.template, op.template) {
				c.object.decoder.addProblem(at, field, "overlaps with operation %s: %s %s and %s match the same paths; "+
					"operations of a service must differ in method or path",
					other.name, op.method, op.template, other.template)
			}
		}
	}
}

func (c *serviceChecker) checkWeights() {
	if !c.object.isSet("dataCentres") {
		return
	}
	for _, d := range c.service.dataCentres {
		if d.weight > 0 {
			return
		}
	}
	c.object.addProblem("dataCentres", "has no weight above 0; at least one data centre needs one, or the service has no cell")
}

func (c *serviceChecker) checkServer() {
	s := c.service.server
	if s.slots > 0 && s.connections > 0 && s.connections < s.slots+ConnectionReserve {
		c.server.addProblem("slots", "is %d with %d connections; at most connections - %d are allowed, "+
			"because that many connections are reserved for the next dispatcher", s.slots, s.connections, ConnectionReserve)
	}
}

// checkShares requires a share for every class that an operation has, and at
// least one slot that bulk requests can't occupy.
func (c *serviceChecker) checkShares() {
	used := map[Class]bool{}
	for _, op := range c.service.operations {
		if used[op.class] {
			continue
		}
		used[op.class] = true
		if c.service.classShares[op.class] == 0 {
			c.object.addProblem("classes", "gives class %s the share 0, but operation %s has that class; more than 0 is required",
				op.class, op.name)
		}
	}
	slots := c.service.server.slots
	if slots > 0 && used[Bulk] && used[Interactive] && c.service.ClassSlots(Bulk) >= slots {
		c.object.addProblem("classes", "gives class bulk all %d slots; at least one must be left for interactive operations", slots)
	}
}

// checkServicePaths requires that a path matches one service only.
func checkServicePaths(services *object, all []Service) {
	for i, s := range all {
		for _, other := range all[:i] {
			if s.path == "" || other.path == "" || !prefixesOverlap(s.path, other.path) {
				continue
			}
			at, _ := services.value.Find(string(s.name), "path")
			first, _ := services.value.Find(string(other.name), "path")
			services.decoder.addProblem(at.origin, JoinPath(JoinPath(services.path, string(s.name)), "path"),
				"overlaps with service %s (%s): %s and %s match the same paths; the paths of services must differ",
				other.name, first.origin, s.path, other.path)
		}
	}
}

// checkSites requires that the fields which determine the owner of a key are the
// same at all sites. Otherwise two sites could each have an owner for the key.
func checkSites(sites map[keys.DataCentre]Config, add func(site keys.DataCentre, field, msg string)) {
	first := map[keys.Service]Service{}
	for _, site := range sortedSites(sites) {
		for _, s := range sites[site].services {
			f, ok := first[s.name]
			if !ok {
				first[s.name] = s
				continue
			}
			path := JoinPath("services", string(s.name))
			if s.keyed != f.keyed {
				add(site, JoinPath(path, "keyed"), "differs from other sites")
			}
			if s.path != f.path {
				add(site, JoinPath(path, "path"), "differs from other sites")
			}
			if !slices.Equal(s.dataCentres, f.dataCentres) {
				add(site, JoinPath(path, "dataCentres"), "differs from other sites")
			}
		}
	}
}
