package apply

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/store"
)

// Action is the next step that the user of an Attempt must carry out: Read,
// Write or Done.
type Action interface{ action() }

type (
	// Read requests an object. Backoff is set if the step is a retry,
	// before which the user should wait for a short time.
	Read struct {
		Name    string
		Backoff bool
	}
	// Write requests a conditional write of an object.
	Write struct {
		Name      string
		Value     []byte
		IfVersion uint64
	}
	// Done ends the attempt with its result.
	Done struct{ Result Result }
)

func (Read) action()  {}
func (Write) action() {}
func (Done) action()  {}

// Event is the result of an Action. Its errors are those of package store.
type Event interface{ event() }

type (
	// ReadDone is the result of Read.
	ReadDone struct {
		Object store.Object
		Err    error
	}
	// WriteDone is the result of Write.
	WriteDone struct{ Err error }
	// TimedOut reports that the attempt has timed out. It may come instead of
	// the result of any action.
	TimedOut struct{}
)

func (ReadDone) event()  {}
func (WriteDone) event() {}
func (TimedOut) event()  {}

// stage is the action whose result an Attempt waits for.
type stage int

const (
	readCurrent stage = iota
	readTarget        // of a rollback
	readPlanned       // to report what others have changed
	readArchive       // before the revision in force is archived
	writeArchive
	writeCurrent
	verifyCurrent // after a write with an unknown result
	verifyArchive // the same, if the revision has already been replaced
)

// Attempt is the state machine that carries out one operator's request.
type Attempt struct {
	req           Request
	stage         stage
	current       storedRevision
	target        *config.Revision
	next          config.Revision
	encodedNext   []byte
	result        Result // to return if next is stored
	indeterminate bool   // a write of next may have taken effect or may still do so
	retried       bool   // the next read is a retry
}

// New returns an attempt that has not been started.
func New(req Request) *Attempt { return &Attempt{req: req} }

// Start returns the first action.
func (a *Attempt) Start() Action { return a.read(readCurrent, CurrentObject) }

func (a *Attempt) read(s stage, name string) Action {
	a.stage = s
	return Read{Name: name, Backoff: a.retried}
}

// Step takes the result of the last action and returns the next action.
func (a *Attempt) Step(ev Event) Action {
	switch ev := ev.(type) {
	case ReadDone:
		return a.handleRead(ev)
	case WriteDone:
		return a.handleWrite(ev.Err)
	}
	if a.indeterminate || a.stage == writeCurrent {
		return a.finishUnknown("the store did not confirm in time whether the revision was stored")
	}
	return a.finishUnavailable(errors.New("the request timed out"))
}

func (a *Attempt) finish(r Result) Action { return Done{Result: r} }

func (a *Attempt) finishUnavailable(err error) Action {
	return a.finish(Result{
		Outcome: Unavailable, Revision: revisionInfo(a.current.rev), From: a.current.rev.Number(),
		Reason: fmt.Sprintf("nothing was applied: %v", err),
	})
}

func (a *Attempt) finishUnknown(reason string) Action {
	return a.finish(Result{Outcome: Unknown, Revision: revisionInfo(a.next), From: a.current.rev.Number(), Reason: reason})
}

func (a *Attempt) handleRead(ev ReadDone) Action {
	found, missing := ev.Err == nil, errors.Is(ev.Err, store.ErrNotFound)
	if !found && !missing {
		if a.indeterminate {
			a.retried = true
			return a.read(verifyCurrent, CurrentObject)
		}
		if a.stage != readPlanned {
			return a.finishUnavailable(ev.Err)
		}
	}
	got := storedRevision{version: ev.Object.Version(), bytes: ev.Object.Value()}
	if found {
		var err error
		if got.rev, err = config.DecodeRevision(got.bytes); err != nil {
			if a.indeterminate {
				return a.finishUnknown(err.Error())
			}
			return a.finishUnavailable(err)
		}
	}
	switch a.stage {
	case readCurrent:
		a.current = got
		if a.req.Kind == Rollback && a.target == nil {
			return a.read(readTarget, ArchiveObject(a.req.RollbackTo))
		}
		return a.decide()
	case readTarget:
		if found && got.rev.Number() == a.req.RollbackTo {
			a.target = &got.rev
		}
		return a.decide()
	case readPlanned:
		var planned *config.Revision
		if found && got.rev.Number() == a.req.PlannedFrom {
			planned = &got.rev
		}
		res, _ := decide(a.current, a.req, planned, a.target)
		return a.finish(res)
	case readArchive:
		if found && got.rev.Number() >= a.current.rev.Number() {
			return a.write()
		}
		a.stage = writeArchive
		return Write{Name: ArchiveObject(a.current.rev.Number()), Value: a.current.bytes, IfVersion: got.version}
	case verifyCurrent:
		return a.verifyWrite(got)
	}
	// The revision that replaced a.next was written after a.next was archived.
	if !found || got.rev.Number() != a.next.Number() {
		return a.finishUnknown("the revision with this number is no longer in the archive")
	}
	return a.compareStored(got)
}

// decide checks the request against the revision in force and, if it is
// accepted, starts to store the next revision.
func (a *Attempt) decide() Action {
	res, next := decide(a.current, a.req, nil, a.target)
	if res.Outcome == Conflict && a.req.PlannedFrom < a.current.rev.Number() {
		return a.read(readPlanned, ArchiveObject(a.req.PlannedFrom))
	}
	if res.Outcome != Accepted || a.req.Plan {
		return a.finish(res)
	}
	value, err := config.EncodeRevision(next)
	if err != nil {
		return a.finish(refuse(res, "%v", err))
	}
	a.next, a.encodedNext, a.result = next, value, res
	if a.current.version == 0 {
		return a.write()
	}
	return a.read(readArchive, ArchiveObject(a.current.rev.Number()))
}

func (a *Attempt) write() Action {
	a.stage = writeCurrent
	return Write{Name: CurrentObject, Value: a.encodedNext, IfVersion: a.current.version}
}

func (a *Attempt) handleWrite(err error) Action {
	conflict, indeterminate := errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrIndeterminate)
	if a.stage == writeArchive {
		switch {
		case err == nil:
			return a.write()
		case conflict, indeterminate:
			a.retried = true
			return a.read(readArchive, ArchiveObject(a.current.rev.Number()))
		}
		return a.finishUnavailable(err)
	}
	switch {
	case err == nil:
		return a.finish(a.result)
	case a.indeterminate, indeterminate:
		a.indeterminate, a.retried = true, a.indeterminate
		return a.read(verifyCurrent, CurrentObject)
	case conflict:
		a.retried = true
		return a.read(readCurrent, CurrentObject)
	}
	return a.finishUnavailable(err)
}

// verifyWrite determines whether a write with an unknown result took effect.
// While the object has its old version, the write may still take effect later.
// Retrying it is harmless, because at most one write that is conditional on a
// version takes effect.
func (a *Attempt) verifyWrite(got storedRevision) Action {
	switch {
	case got.version == a.current.version:
		return a.write()
	case got.rev.Number() == a.next.Number():
		return a.compareStored(got)
	case got.rev.Number() > a.next.Number():
		return a.read(verifyArchive, ArchiveObject(a.next.Number()))
	}
	return a.finishUnknown("the store returned an earlier revision than before")
}

// compareStored ends the attempt with the stored revision that has the number
// of a.next: either a.next itself or the revision of another operator. A drain
// or undrain starts again on top of the other revision.
func (a *Attempt) compareStored(got storedRevision) Action {
	if bytes.Equal(got.bytes, a.encodedNext) {
		return a.finish(a.result)
	}
	if a.req.Kind == Drain || a.req.Kind == Undrain {
		a.indeterminate = false // a revision of another operator has the number, so a.next can't take effect
		return a.read(readCurrent, CurrentObject)
	}
	res := Result{Revision: revisionInfo(got.rev), From: got.rev.Number()}
	return a.finish(revisionConflict(res, a.req, got, &a.current.rev))
}
