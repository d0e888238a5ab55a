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
	// cellStoreTimeout is the time after which the result of a call to the store
	// counts as unknown. Ownership decisions never wait longer for the store.
	cellStoreTimeout = 150 * time.Millisecond
	// maxPendingOps bounds the queue of a cell's store operations.
	maxPendingOps = 16
)

// cellObject is the value of a cell's object in the store.
type cellObject struct {
	Role       elect.Role        `json:"role"`
	Assignment assign.Assignment `json:"assignment"`
}

func cellObjectName(c keys.Cell) string { return "cells/" + c.String() }

// storeOp is an operation on a cell's object in the store.
type storeOp interface{ storeOp() }

type (
	readRole  struct{ id uint64 }
	writeRole struct {
		id        uint64
		role      elect.Role
		ifVersion uint64
	}
	writeAssignment struct{ assignment assign.Assignment }
)

func (readRole) storeOp()        {}
func (writeRole) storeOp()       {}
func (writeAssignment) storeOp() {}

// cellStore reads and writes the store object of one cell, one call at a time.
// Results are sent to the control worker as events.
type cellStore struct {
	host *Host
	cell keys.Cell
	ops  *ring.Ring[storeOp]

	// Newest known state of the object. Only run uses these fields.
	found   bool
	version uint64
	value   cellObject
}

func newCellStore(h *Host, c keys.Cell) *cellStore {
	return &cellStore{host: h, cell: c, ops: ring.New[storeOp](maxPendingOps)}
}

func (o *cellStore) run(ctx context.Context) {
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

func (o *cellStore) readRole(ctx context.Context, op readRole) {
	if err := o.read(ctx); err != nil {
		o.pushElectEvent(elect.RoleOpFailed{Op: op.id})
		return
	}
	o.pushElectEvent(elect.RoleRead{Op: op.id, Role: o.value.Role, Version: o.version, Found: o.found})
}

func (o *cellStore) writeRole(ctx context.Context, op writeRole) {
	value := cellObject{Role: op.role}
	if op.ifVersion != 0 {
		if o.version != op.ifVersion && o.read(ctx) != nil {
			o.pushElectEvent(elect.RoleOpFailed{Op: op.id})
			return
		}
		if o.version != op.ifVersion {
			o.pushElectEvent(elect.RoleConflict{Op: op.id})
			return
		}
		value.Assignment = o.value.Assignment
	}
	switch err := o.write(ctx, value, op.ifVersion); {
	case err == nil:
		o.pushElectEvent(elect.RoleWritten{Op: op.id, Version: o.version})
	case errors.Is(err, store.ErrConflict):
		o.pushElectEvent(elect.RoleConflict{Op: op.id})
	case errors.Is(err, store.ErrIndeterminate):
		o.pushElectEvent(elect.RoleIndeterminate{Op: op.id})
	default:
		o.pushElectEvent(elect.RoleOpFailed{Op: op.id})
	}
}

// writeAssignment writes an assignment and keeps the role in the object. An
// assigner that has lost its role but hasn't detected it yet must not replace a
// newer assignment. The condition on the version prevents this if the newer one was
// written after the read of the object, and the comparison of the assignments if
// it was written before.
func (o *cellStore) writeAssignment(ctx context.Context, op writeAssignment) {
	err := o.putAssignment(ctx, op.assignment)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrIndeterminate) {
		if err = o.read(ctx); err == nil {
			o.pushElectEvent(elect.RoleRead{Role: o.value.Role, Version: o.version, Found: o.found})
			err = o.putAssignment(ctx, op.assignment)
		}
	}
	if err != nil {
		o.host.events.Push(cellEvent{o.cell, assign.StoreFailed{Version: op.assignment.Version}})
		return
	}
	o.pushElectEvent(elect.RoleRead{Role: o.value.Role, Version: o.version, Found: true})
	o.host.events.Push(cellEvent{o.cell, assign.Stored{Version: op.assignment.Version}})
}

func (o *cellStore) putAssignment(ctx context.Context, a assign.Assignment) error {
	if !o.found {
		if err := o.read(ctx); err != nil {
			return err
		}
	}
	cur := o.value.Assignment
	switch {
	case !o.found:
		return store.ErrNotFound // the object is created when the role is written
	case cur.Term == a.Term && cur.Version == a.Version:
		return nil // an earlier write took effect, but its response was lost
	case !a.Newer(cur):
		return store.ErrRejected
	}
	return o.write(ctx, cellObject{Role: o.value.Role, Assignment: a}, o.version)
}

func (o *cellStore) read(ctx context.Context) (err error) {
	defer func() { o.host.recordStoreCall("get", err) }()
	ctx, cancel := context.WithTimeout(ctx, cellStoreTimeout)
	defer cancel()
	obj, err := o.host.store.Get(ctx, cellObjectName(o.cell))
	if errors.Is(err, store.ErrNotFound) {
		o.found, o.version, o.value = false, 0, cellObject{}
		return nil
	}
	if err != nil {
		return err
	}
	var v cellObject
	if err = json.Unmarshal(obj.Value(), &v); err != nil {
		return fmt.Errorf("entry.read: cannot decode store object %s: %w", obj.Name(), err)
	}
	o.found, o.version, o.value = true, obj.Version(), v
	return nil
}

func (o *cellStore) write(ctx context.Context, v cellObject, ifVersion uint64) (err error) {
	defer func() { o.host.recordStoreCall("put", err) }()
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("entry.write: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, cellStoreTimeout)
	defer cancel()
	version, err := o.host.store.Put(ctx, cellObjectName(o.cell), b, ifVersion)
	if err != nil {
		return err
	}
	o.found, o.version, o.value = true, version, v
	return nil
}

func (o *cellStore) pushElectEvent(ev elect.Event) { o.host.events.Push(cellEvent{o.cell, ev}) }
