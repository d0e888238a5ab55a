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

// maxNameLength limits names, in characters, because they are part of store
// keys and metric labels.
const maxNameLength = 63

const nameRule = "a name of a-z, 0-9 and -, starting with a letter, of at most 63 characters"

func isName(s string) bool { return len(s) <= maxNameLength && validName.MatchString(s) }

// presence determines whether a field must be present.
type presence bool

const (
	required presence = true
	optional presence = false
)

// decoder collects the problems of a document. A partial document is an
// overlay: fields may be missing and null removes a field.
type decoder struct {
	problems Problems
	partial  bool
}

func (dec *decoder) addProblem(o Origin, field, format string, args ...any) {
	dec.problems = append(dec.problems, Problem{Origin: o, Field: field, Message: fmt.Sprintf(format, args...)})
}

// object decodes the fields of one object. Every method records the field that
// it decodes, so that checkUnknownFields can report the others.
type object struct {
	decoder     *decoder
	value       Value
	path        string
	name        string // set by children
	knownFields []string
}

// root returns the root of the document as an object.
func (dec *decoder) root(d Document) (*object, bool) {
	if d.root.kind != Object {
		dec.addProblem(d.root.origin, "", "is %s; an object is required", d.root.kind)
		return nil, false
	}
	return &object{decoder: dec, value: d.root}, true
}

// originOf returns the origin of a field, or of the object if the field is
// missing.
func (o *object) originOf(names ...string) Origin {
	if v, ok := o.value.Find(names...); ok {
		return v.origin
	}
	return o.value.origin
}

func (o *object) addProblem(name, format string, args ...any) {
	o.decoder.addProblem(o.originOf(name), JoinPath(o.path, name), format, args...)
}

// field returns the value of a field if it is present and of the given kind.
func (o *object) field(name string, p presence, k Kind, allowed string) (Value, bool) {
	o.knownFields = append(o.knownFields, name)
	v, ok := o.value.Get(name)
	switch {
	case !ok && p == required && !o.decoder.partial:
		o.addProblem(name, "is missing; %s is required", allowed)
		return Value{}, false
	case !ok, v.kind == Null && o.decoder.partial:
		return Value{}, false
	case v.kind == Null:
		o.addProblem(name, "is null, which only an overlay may use to remove a field; %s is required", allowed)
		return Value{}, false
	case v.kind != k:
		o.addProblem(name, "is of the wrong type (%s); %s is required", v.kind, allowed)
		return Value{}, false
	}
	return v, true
}

func (o *object) integer(name string, p presence, dst *int, lo, hi int) {
	allowed := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	v, ok := o.field(name, p, Number, allowed)
	if !ok {
		return
	}
	i, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil || i < int64(lo) || i > int64(hi) {
		o.addProblem(name, "is %s; %s is required", v.text, allowed)
		return
	}
	*dst = int(i)
}

// duration decodes a number of milliseconds.
func (o *object) duration(name string, dst *clock.Span, lo, hi clock.Span) {
	i := int(*dst)
	o.integer(name, optional, &i, int(lo), int(hi))
	*dst = clock.Span(i)
}

func (o *object) fraction(name string, p presence, dst *float64) {
	const allowed = "a number from 0 to 1"
	v, ok := o.field(name, p, Number, allowed)
	if !ok {
		return
	}
	f, err := strconv.ParseFloat(v.text, 64)
	if err != nil || f < 0 || f > 1 {
		o.addProblem(name, "is %s; %s is required", v.text, allowed)
		return
	}
	*dst = math.Abs(f) // the canonical JSON of -0 would differ from that of 0
}

func (o *object) boolean(name string, dst *bool) {
	if v, ok := o.field(name, optional, Bool, "true or false"); ok {
		*dst = v.text == "true"
	}
}

// str decodes a string that check accepts.
func (o *object) str(name string, p presence, dst *string, allowed string, check func(string) bool) {
	v, ok := o.field(name, p, String, allowed)
	if !ok {
		return
	}
	if !check(v.text) {
		o.addProblem(name, "is %q; %s is required", v.text, allowed)
		return
	}
	*dst = v.text
}

func (o *object) address(name string, dst *netip.AddrPort) {
	var s string
	o.str(name, required, &s, "an address IP:port with a port from 1 to 65535", func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		return err == nil && a.Port() != 0 && a.Addr().Zone() == ""
	})
	if s != "" {
		*dst = netip.MustParseAddrPort(s)
	}
}

// enum decodes a string that is the name of one of the values.
func enum[E fmt.Stringer](o *object, name string, dst *E, all []E) {
	names := make([]string, len(all))
	for i, e := range all {
		names[i] = e.String()
	}
	var s string
	o.str(name, optional, &s, "one of "+strings.Join(names, ", "), func(s string) bool {
		return slices.Contains(names, s)
	})
	if i := slices.Index(names, s); i >= 0 {
		*dst = all[i]
	}
}

// object decodes a nested object. If the field is absent or invalid, it returns
// an empty object, so that the defaults of its fields apply.
func (o *object) object(name string, p presence) *object {
	v, ok := o.field(name, p, Object, "an object")
	if !ok {
		// The problem has been reported. A separate decoder discards the
		// problems of the missing fields.
		return &object{decoder: &decoder{partial: true}, value: Value{kind: Object, origin: o.originOf(name)}}
	}
	return &object{decoder: o.decoder, value: v, path: JoinPath(o.path, name)}
}

// isSet reports whether the object has a field that isn't null.
func (o *object) isSet(name string) bool {
	v, ok := o.value.Get(name)
	return ok && v.kind != Null
}

// children returns the nested objects of an object whose field names are chosen
// by operators, sorted by name. It leaves out a null of an overlay.
func (o *object) children() (fields []*object) {
	for _, m := range o.value.members {
		o.knownFields = append(o.knownFields, m.Name)
		if !isName(m.Name) {
			o.decoder.addProblem(m.Value.origin, JoinPath(o.path, m.Name), "is not a valid name; %s is required", nameRule)
			continue
		}
		if v, ok := o.field(m.Name, optional, Object, "an object"); ok {
			fields = append(fields, &object{decoder: o.decoder, value: v, path: JoinPath(o.path, m.Name), name: m.Name})
		}
	}
	slices.SortFunc(fields, func(a, b *object) int { return strings.Compare(a.name, b.name) })
	return fields
}

// checkUnknownFields reports the fields that no method has decoded.
func (o *object) checkUnknownFields() {
	for _, m := range o.value.members {
		if !slices.Contains(o.knownFields, m.Name) {
			o.decoder.addProblem(m.Value.origin, JoinPath(o.path, m.Name), "unknown field; allowed here: %s",
				strings.Join(slices.Sorted(slices.Values(o.knownFields)), ", "))
		}
	}
}
