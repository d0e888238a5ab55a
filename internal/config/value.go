package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

// Value is a parsed JSON value with its origin. The zero Value is null without
// an origin.
type Value struct {
	kind     Kind
	origin   Origin
	text     string // literal of a number or boolean, unescaped string
	members  []Member
	elements []Value
}

// Member is a field of an object.
type Member struct {
	Name  string
	Value Value
}

func NewObject(o Origin, members []Member) Value {
	return Value{kind: Object, origin: o, members: members}
}

func (v Value) Kind() Kind { return v.kind }

// Origin returns the file and line of v.
func (v Value) Origin() Origin { return v.origin }

// Text returns the unescaped string, or the literal of a number or boolean.
func (v Value) Text() string { return v.text }

// Members returns the fields of an object. It must not be modified.
func (v Value) Members() []Member { return v.members }

// Elements returns the elements of an array. It must not be modified.
func (v Value) Elements() []Value { return v.elements }

// Get returns the field of an object with the given name.
func (v Value) Get(name string) (Value, bool) {
	for _, m := range v.members {
		if m.Name == name {
			return m.Value, true
		}
	}
	return Value{}, false
}

// Find returns the value at a path of names.
func (v Value) Find(path ...string) (found Value, ok bool) {
	for _, name := range path {
		if v, ok = v.Get(name); !ok {
			return Value{}, false
		}
	}
	return v, true
}

// Equal reports whether v and w have the same value. Origins and the order of
// fields don't matter.
func (v Value) Equal(w Value) bool {
	switch {
	case v.kind != w.kind:
		return false
	case v.kind == Number:
		return v.text == w.text || numbersEqual(v.text, w.text)
	case v.kind == Array:
		return slices.EqualFunc(v.elements, w.elements, Value.Equal)
	case v.kind == Object:
		if len(v.members) != len(w.members) {
			return false
		}
		for _, m := range v.members {
			if o, ok := w.Get(m.Name); !ok || !m.Value.Equal(o) {
				return false
			}
		}
		return true
	}
	return v.text == w.text
}

// numbersEqual compares numbers written in different ways, such as 1 and 1.0.
func numbersEqual(a, b string) bool {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	return errX == nil && errY == nil && x == y
}

// Leaf is a value that isn't a non-empty object, with the path to it.
type Leaf struct {
	Path  []string
	Value Value
}

// Field returns the path in the format of Problem.Field.
func (l Leaf) Field() string {
	var f string
	for _, name := range l.Path {
		f = JoinPath(f, name)
	}
	return f
}

// Leaves returns all leaves of v in the order of the fields. An array is one
// leaf, because it is merged as one value.
func (v Value) Leaves() []Leaf { return v.leaves(nil) }

func (v Value) leaves(path []string) (all []Leaf) {
	if v.kind != Object || len(v.members) == 0 {
		return []Leaf{{Path: path, Value: v}}
	}
	for _, m := range v.members {
		all = append(all, m.Value.leaves(append(slices.Clip(path), m.Name))...)
	}
	return all
}

// MarshalJSON implements json.Marshaler. It keeps the order of fields.
func (v Value) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	switch v.kind {
	case Null:
		b.WriteString("null")
	case Bool, Number:
		b.WriteString(v.text)
	case String:
		return json.Marshal(v.text)
	case Array:
		return json.Marshal(slices.Concat([]Value{}, v.elements))
	case Object:
		b.WriteByte('{')
		for i, m := range v.members {
			if i > 0 {
				b.WriteByte(',')
			}
			name, err := json.Marshal(m.Name)
			if err != nil {
				return nil, err
			}
			val, err := m.Value.MarshalJSON()
			if err != nil {
				return nil, err
			}
			b.Write(name)
			b.WriteByte(':')
			b.Write(val)
		}
		b.WriteByte('}')
	}
	return b.Bytes(), nil
}

// String returns v as JSON.
func (v Value) String() string {
	b, err := v.MarshalJSON()
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// JoinPath appends a field to a path. Names that could be confused with the
// punctuation of the path are quoted.
func JoinPath(path, name string) string {
	if !unquotedName.MatchString(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
