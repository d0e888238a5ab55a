package config

import (
	"slices"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// serviceCheck compares the values of one service with each other. Values that
// are missing or out of range are 0 here and have been reported already.
type serviceCheck struct {
	o           *object
	s           Service
	operations  *object
	dataCentres *object
	server      *object
}

func (c *serviceCheck) run() {
	c.checkKey()
	c.checkOperations()
	c.checkWeights()
	c.checkServer()
	c.checkShares()
}

// checkKey requires a keyed service to say where the key is.
func (c *serviceCheck) checkKey() {
	n := count(c.s.path, keyVariable)
	switch {
	case c.s.path == "":
	case c.s.keyed && n != 1:
		c.o.add("path", "is %q; the path of a keyed service contains %s once", c.s.path, keyVariable)
	case !c.s.keyed && n > 0:
		c.o.add("path", "is %q; only the path of a keyed service may contain %s", c.s.path, keyVariable)
	}
}

func (c *serviceCheck) checkOperations() {
	if len(c.s.operations) == 0 && c.o.has("operations") {
		c.o.add("operations", "is empty; at least one operation is required")
	}
	for i, op := range c.s.operations {
		if c.s.path == "" || op.method == "" {
			continue
		}
		at := c.operations.at(op.name)
		if v, ok := c.operations.v.Find(op.name, "path"); ok {
			at = v.origin
		}
		field := Join(Join(c.operations.path, op.name), "path")
		if v := repeated(op.template); v != "" {
			c.o.r.add(at, field, "has %s twice in %q; each variable may occur once", v, op.template)
		}
		if !c.s.keyed && count(op.path, keyVariable) > 0 {
			c.o.r.add(at, field, "is %q; only the path of a keyed service may contain %s", op.path, keyVariable)
		}
		for _, other := range c.s.operations[:i] {
			if other.method == op.method && samePath(other.template, op.template) {
				c.o.r.add(at, field, "overlaps with operation %s: %s %s and %s match the same paths; "+
					"operations of a service must differ in method or path",
					other.name, op.method, op.template, other.template)
			}
		}
	}
}

func (c *serviceCheck) checkWeights() {
	if !c.o.has("dataCentres") {
		return
	}
	for _, d := range c.s.dataCentres {
		if d.weight > 0 {
			return
		}
	}
	c.o.add("dataCentres", "has no weight above 0; at least one data centre needs one, or no cell has a place")
}

func (c *serviceCheck) checkServer() {
	s := c.s.server
	if s.slots > 0 && s.connections > 0 && s.connections < s.slots+ConnectionReserve {
		c.server.add("slots", "is %d with %d connections; at most connections - %d are allowed, "+
			"because that many connections are left to a successor", s.slots, s.connections, ConnectionReserve)
	}
}

// checkShares requires that every class that is used can run, and that
// long-running requests leave a slot to the others.
func (c *serviceCheck) checkShares() {
	used := map[Class]bool{}
	for _, op := range c.s.operations {
		if used[op.class] {
			continue
		}
		used[op.class] = true
		if c.s.shares[op.class] == 0 {
			c.o.add("classes", "gives class %s the share 0, but operation %s is of that class; more than 0 is required",
				op.class, op.name)
		}
	}
	slots := c.s.server.slots
	if slots > 0 && used[Bulk] && used[Interactive] && c.s.ClassSlots(Bulk) >= slots {
		c.o.add("classes", "gives class bulk all %d slots; at least one must be left for interactive operations", slots)
	}
}

// checkServicePaths requires that a path belongs to one service only.
func checkServicePaths(services *object, all []Service) {
	for i, s := range all {
		for _, other := range all[:i] {
			if s.path == "" || other.path == "" || !samePrefix(s.path, other.path) {
				continue
			}
			at, _ := services.v.Find(string(s.name), "path")
			first, _ := services.v.Find(string(other.name), "path")
			services.r.add(at.origin, Join(Join(services.path, string(s.name)), "path"),
				"overlaps with service %s (%s): %s and %s match the same paths; the paths of services must differ",
				other.name, first.origin, s.path, other.path)
		}
	}
}

// checkSites requires that all sites agree on what decides who owns a key.
// Otherwise two sites could each have an owner for it.
func checkSites(sites map[keys.DataCentre]Config, add func(site keys.DataCentre, field, msg string)) {
	first := map[keys.Service]Service{}
	for _, site := range sortedSites(sites) {
		for _, s := range sites[site].services {
			f, ok := first[s.name]
			if !ok {
				first[s.name] = s
				continue
			}
			path := Join("services", string(s.name))
			if s.keyed != f.keyed {
				add(site, Join(path, "keyed"), "differs from other sites")
			}
			if s.path != f.path {
				add(site, Join(path, "path"), "differs from other sites")
			}
			if !slices.Equal(s.dataCentres, f.dataCentres) {
				add(site, Join(path, "dataCentres"), "differs from other sites")
			}
		}
	}
}
