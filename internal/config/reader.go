package config

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
)

var validName = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// maxName bounds names, which appear in keys of the store and in metrics.
const maxName = 63

const nameRule = "a name of a-z, 0-9 and -, starting with a letter, of at most 63 characters"

func isName(s string) bool { return len(s) <= maxName && validName.MatchString(s) }

// need tells whether a field must be stated.
type need bool

const (
	required need = true
	optional need = false
)

// reader collects the problems of a document. A partial document is an
// overlay: fields may be missing and null removes a field.
type reader struct {
	problems Problems
	partial  bool
}

func (r *reader) add(o Origin, field, format string, args ...any) {
	r.problems = append(r.problems, Problem{Origin: o, Field: field, Message: fmt.Sprintf(format, args...)})
}

// object reads the fields of one object. Every method names its field, so that
// done can report the others.
type object struct {
	r     *reader
	v     Value
	path  string
	name  string // set by each
	known []string
}

// root returns the whole document as an object.
func (r *reader) root(d Document) (*object, bool) {
	if d.root.kind != Object {
		r.add(d.root.origin, "", "is %s; an object is required", d.root.kind)
		return nil, false
	}
	return &object{r: r, v: d.root}, true
}

// at returns where a field was written, or the object if it is missing.
func (o *object) at(names ...string) Origin {
	if v, ok := o.v.Find(names...); ok {
		return v.origin
	}
	return o.v.origin
}

func (o *object) add(name, format string, args ...any) {
	o.r.add(o.at(name), Join(o.path, name), format, args...)
}

// field returns the value of a field if it is there and of the right kind.
func (o *object) field(name string, n need, k Kind, allowed string) (Value, bool) {
	o.known = append(o.known, name)
	v, ok := o.v.Get(name)
	switch {
	case !ok && n == required && !o.r.partial:
		o.add(name, "is missing; %s is required", allowed)
		return Value{}, false
	case !ok, v.kind == Null && o.r.partial:
		return Value{}, false
	case v.kind == Null:
		o.add(name, "is null, which only an overlay may use to remove a field; %s is required", allowed)
		return Value{}, false
	case v.kind != k:
		o.add(name, "is of the wrong type (%s); %s is required", v.kind, allowed)
		return Value{}, false
	}
	return v, true
}

func (o *object) integer(name string, n need, dst *int, lo, hi int) {
	allowed := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	v, ok := o.field(name, n, Number, allowed)
	if !ok {
		return
	}
	i, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil || i < int64(lo) || i > int64(hi) {
		o.add(name, "is %s; %s is required", v.text, allowed)
		return
	}
	*dst = int(i)
}

// span reads a number of milliseconds.
func (o *object) span(name string, dst *clock.Span, lo, hi clock.Span) {
	i := int(*dst)
	o.integer(name, optional, &i, int(lo), int(hi))
	*dst = clock.Span(i)
}

func (o *object) fraction(name string, n need, dst *float64) {
	const allowed = "a number from 0 to 1"
	v, ok := o.field(name, n, Number, allowed)
	if !ok {
		return
	}
	f, err := strconv.ParseFloat(v.text, 64)
	if err != nil || f < 0 || f > 1 {
		o.add(name, "is %s; %s is required", v.text, allowed)
		return
	}
	*dst = math.Abs(f) // -0 would not have the bytes of 0 in the wire form
}

func (o *object) boolean(name string, dst *bool) {
	if v, ok := o.field(name, optional, Bool, "true or false"); ok {
		*dst = v.text == "true"
	}
}

// text reads a string that check accepts.
func (o *object) text(name string, n need, dst *string, allowed string, check func(string) bool) {
	v, ok := o.field(name, n, String, allowed)
	if !ok {
		return
	}
	if !check(v.text) {
		o.add(name, "is %q; %s is required", v.text, allowed)
		return
	}
	*dst = v.text
}

func (o *object) address(name string, dst *netip.AddrPort) {
	var s string
	o.text(name, required, &s, "an address IP:port with a port from 1 to 65535", func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		return err == nil && a.Port() != 0 && a.Addr().Zone() == ""
	})
	if s != "" {
		*dst = netip.MustParseAddrPort(s)
	}
}

// enum reads one of the names of all.
func enum[E fmt.Stringer](o *object, name string, dst *E, all []E) {
	names := make([]string, len(all))
	for i, e := range all {
		names[i] = e.String()
	}
	var s string
	o.text(name, optional, &s, "one of "+strings.Join(names, ", "), func(s string) bool {
		return slices.Contains(names, s)
	})
	if i := slices.Index(names, s); i >= 0 {
		*dst = all[i]
	}
}

// object reads a nested object. Without one it returns an empty object, so
// that the defaults of its fields apply.
func (o *object) object(name string, n need) *object {
	v, ok := o.field(name, n, Object, "an object")
	if !ok {
		// What is wrong has been reported; the fields of an absent object
		// need no problems of their own.
		return &object{r: &reader{partial: true}, v: Value{kind: Object, origin: o.at(name)}}
	}
	return &object{r: o.r, v: v, path: Join(o.path, name)}
}

// has reports whether the object has a field that isn't null.
func (o *object) has(name string) bool {
	v, ok := o.v.Get(name)
	return ok && v.kind != Null
}

// each returns the fields of an object whose fields have names that operators
// choose, sorted by name. A null in an overlay is left out.
func (o *object) each() (fields []*object) {
	for _, m := range o.v.members {
		o.known = append(o.known, m.Name)
		if !isName(m.Name) {
			o.r.add(m.Value.origin, Join(o.path, m.Name), "is not a valid name; %s is required", nameRule)
			continue
		}
		if v, ok := o.field(m.Name, optional, Object, "an object"); ok {
			fields = append(fields, &object{r: o.r, v: v, path: Join(o.path, m.Name), name: m.Name})
		}
	}
	slices.SortFunc(fields, func(a, b *object) int { return strings.Compare(a.name, b.name) })
	return fields
}

// done reports the fields that no method asked for.
func (o *object) done() {
	for _, m := range o.v.members {
		if !slices.Contains(o.known, m.Name) {
			o.r.add(m.Value.origin, Join(o.path, m.Name), "unknown field; allowed here: %s",
				strings.Join(slices.Sorted(slices.Values(o.known)), ", "))
		}
	}
}
