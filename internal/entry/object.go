package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/ring"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// storeTimeout is how long a call to the store may take before its result
	// counts as unknown. Ownership decisions never wait longer for the store.
	storeTimeout = 150 * time.Millisecond
	// objectRing bounds the store operations of a cell that wait.
	objectRing = 16
)

// cellObject is a cell's object in the store.
type cellObject struct {
	Role       elect.Role        `json:"role"`
	Assignment assign.Assignment `json:"assignment"`
}

func cellObjectName(c keys.Cell) string { return "cells/" + c.String() }

// operation is a call to the store for a cell.
type operation interface{ operation() }

type (
	readRole  struct{ op uint64 }
	writeRole struct {
		op        uint64
		role      elect.Role
		ifVersion uint64
	}
	writeAssignment struct{ assignment assign.Assignment }
)

func (readRole) operation()        {}
func (writeRole) operation()       {}
func (writeAssignment) operation() {}

// object reads and writes the object of one cell, one call at a time. Results
// go to the control worker as events.
type object struct {
	h    *Host
	cell keys.Cell
	ops  *ring.Ring[operation]

	// Newest known state of the object; used by run only.
	found   bool
	version uint64
	value   cellObject
}

func newObject(h *Host, c keys.Cell) *object {
	return &object{h: h, cell: c, ops: ring.New[operation](objectRing)}
}

func (o *object) run(ctx context.Context) {
	for {
		op, ok := o.ops.Pop(ctx)
		if !ok {
			return
		}
		switch op := op.(type) {
		case readRole:
			o.readRole(ctx, op)
		case writeRole:
			o.writeRole(ctx, op)
		case writeAssignment:
			o.writeAssignment(ctx, op)
		}
	}
}

func (o *object) readRole(ctx context.Context, op readRole) {
	if err := o.read(ctx); err != nil {
		o.elected(elect.RoleFailed{Op: op.op})
		return
	}
	o.elected(elect.RoleRead{Op: op.op, Role: o.value.Role, Version: o.version, Found: o.found})
}

func (o *object) writeRole(ctx context.Context, op writeRole) {
	value := cellObject{Role: op.role}
	if op.ifVersion != 0 {
		if o.version != op.ifVersion && o.read(ctx) != nil {
			o.elected(elect.RoleFailed{Op: op.op})
			return
		}
		if o.version != op.ifVersion {
			o.elected(elect.RoleConflict{Op: op.op})
			return
		}
		value.Assignment = o.value.Assignment
	}
	switch err := o.write(ctx, value, op.ifVersion); {
	case err == nil:
		o.elected(elect.RoleWritten{Op: op.op, Version: o.version})
	case errors.Is(err, store.ErrConflict):
		o.elected(elect.RoleConflict{Op: op.op})
	case errors.Is(err, store.ErrUnsure):
		o.elected(elect.RoleUnsure{Op: op.op})
	default:
		o.elected(elect.RoleFailed{Op: op.op})
	}
}

// writeAssignment writes an assignment beside the role that the object has.
// An assigner that lost its role without noticing must not replace a newer
// assignment: the condition on the version catches a write after its read,
// the comparison one before it.
func (o *object) writeAssignment(ctx context.Context, op writeAssignment) {
	err := o.tryAssignment(ctx, op.assignment)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnsure) {
		if err = o.read(ctx); err == nil {
			o.elected(elect.RoleRead{Role: o.value.Role, Version: o.version, Found: o.found})
			err = o.tryAssignment(ctx, op.assignment)
		}
	}
	if err != nil {
		o.h.events.Push(cellEvent{o.cell, assign.StoreFailed{Version: op.assignment.Version}})
		return
	}
	o.elected(elect.RoleRead{Role: o.value.Role, Version: o.version, Found: true})
	o.h.events.Push(cellEvent{o.cell, assign.Stored{Version: op.assignment.Version}})
}

func (o *object) tryAssignment(ctx context.Context, a assign.Assignment) error {
	if !o.found {
		if err := o.read(ctx); err != nil {
			return err
		}
	}
	cur := o.value.Assignment
	switch {
	case !o.found:
		return store.ErrNotFound // the role comes first
	case cur.Term == a.Term && cur.Version == a.Version:
		return nil // an earlier write took effect though its answer was lost
	case !a.Newer(cur):
		return store.ErrRejected
	}
	return o.write(ctx, cellObject{Role: o.value.Role, Assignment: a}, o.version)
}

func (o *object) read(ctx context.Context) (err error) {
	defer func() { o.h.metrics.Store("get", err) }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := o.h.st.Get(ctx, cellObjectName(o.cell))
	if errors.Is(err, store.ErrNotFound) {
		o.found, o.version, o.value = false, 0, cellObject{}
		return nil
	}
	if err != nil {
		return err
	}
	var v cellObject
	if err = json.Unmarshal(obj.Value(), &v); err != nil {
		return fmt.Errorf("entry.read: %s: %w", obj.Name(), err)
	}
	o.found, o.version, o.value = true, obj.Version(), v
	return nil
}

func (o *object) write(ctx context.Context, v cellObject, ifVersion uint64) (err error) {
	defer func() { o.h.metrics.Store("put", err) }()
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("entry.write: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := o.h.st.Put(ctx, cellObjectName(o.cell), b, ifVersion)
	if err != nil {
		return err
	}
	o.found, o.version, o.value = true, version, v
	return nil
}

func (o *object) elected(ev elect.Event) { o.h.events.Push(cellEvent{o.cell, ev}) }
