package apply

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/store"
)

// Action is what an Attempt wants next: Read, Write or Done.
type Action interface{ action() }

type (
	// Read asks for an object. Pause says that the same was tried before, so
	// that a short wait is due first.
	Read struct {
		Name  string
		Pause bool
	}
	// Write asks for a conditional write.
	Write struct {
		Name      string
		Value     []byte
		IfVersion uint64
	}
	// Done ends the attempt.
	Done struct{ Result Result }
)

func (Read) action()  {}
func (Write) action() {}
func (Done) action()  {}

// Event is a result of an action, with an error of package store.
type Event interface{ event() }

type (
	// ReadDone answers Read.
	ReadDone struct {
		Object store.Object
		Err    error
	}
	// WriteDone answers Write.
	WriteDone struct{ Err error }
	// Expired says that the time for the attempt is over. It may replace any
	// answer.
	Expired struct{}
)

func (ReadDone) event()  {}
func (WriteDone) event() {}
func (Expired) event()   {}

// stage is what an Attempt waits for.
type stage int

const (
	readCurrent stage = iota
	readTarget        // of a rollback
	readPlanned       // to tell what others have changed
	readSlot          // before the current revision is archived
	writeSlot
	writeCurrent
	verifyCurrent // after a write with an unknown result
	verifySlot    // the same, if the revision was replaced already
)

// Attempt is one operator's request on its way.
type Attempt struct {
	req     Request
	stage   stage
	cur     base
	target  *config.Revision
	next    config.Revision
	value   []byte // of next
	result  Result // if next is stored
	unsure  bool   // a write of next may have taken effect or may still do so
	retried bool
}

// New returns an attempt that is not started.
func New(req Request) *Attempt { return &Attempt{req: req} }

// Start returns the first action.
func (a *Attempt) Start() Action { return a.read(readCurrent, CurrentObject) }

func (a *Attempt) read(s stage, name string) Action {
	a.stage = s
	return Read{Name: name, Pause: a.retried}
}

// Step takes the result of the last action.
func (a *Attempt) Step(ev Event) Action {
	switch ev := ev.(type) {
	case ReadDone:
		return a.readDone(ev)
	case WriteDone:
		return a.writeDone(ev.Err)
	}
	if a.unsure || a.stage == writeCurrent {
		return a.unknown("the store didn't tell in time whether the revision is stored")
	}
	return a.failed(errors.New("time is over"))
}

func (a *Attempt) done(r Result) Action { return Done{Result: r} }

func (a *Attempt) failed(err error) Action {
	return a.done(Result{
		Outcome: Unavailable, Revision: originOf(a.cur.rev), From: a.cur.rev.Number(),
		Reason: fmt.Sprintf("nothing was applied: %v", err),
	})
}

func (a *Attempt) unknown(why string) Action {
	return a.done(Result{Outcome: Unknown, Revision: originOf(a.next), From: a.cur.rev.Number(), Reason: why})
}

func (a *Attempt) readDone(ev ReadDone) Action {
	found, missing := ev.Err == nil, errors.Is(ev.Err, store.ErrNotFound)
	if !found && !missing {
		if a.unsure {
			a.retried = true
			return a.read(verifyCurrent, CurrentObject)
		}
		if a.stage != readPlanned {
			return a.failed(ev.Err)
		}
	}
	got := base{version: ev.Object.Version(), bytes: ev.Object.Value()}
	if found {
		var err error
		if got.rev, err = config.DecodeRevision(got.bytes); err != nil {
			if a.unsure {
				return a.unknown(err.Error())
			}
			return a.failed(err)
		}
	}
	switch a.stage {
	case readCurrent:
		a.cur = got
		if a.req.Kind == Rollback && a.target == nil {
			return a.read(readTarget, ArchiveObject(a.req.To))
		}
		return a.decide()
	case readTarget:
		if found && got.rev.Number() == a.req.To {
			a.target = &got.rev
		}
		return a.decide()
	case readPlanned:
		var planned *config.Revision
		if found && got.rev.Number() == a.req.From {
			planned = &got.rev
		}
		res, _ := decide(a.cur, a.req, planned, a.target)
		return a.done(res)
	case readSlot:
		if found && got.rev.Number() >= a.cur.rev.Number() {
			return a.write()
		}
		a.stage = writeSlot
		return Write{Name: ArchiveObject(a.cur.rev.Number()), Value: a.cur.bytes, IfVersion: got.version}
	case verifyCurrent:
		return a.verify(got)
	}
	// The revision that replaced ours was written after ours was archived.
	if !found || got.rev.Number() != a.next.Number() {
		return a.unknown("the revision with this number is not kept any more")
	}
	return a.compare(got)
}

// decide applies the rules to the current revision and goes on with the write.
func (a *Attempt) decide() Action {
	res, next := decide(a.cur, a.req, nil, a.target)
	if res.Outcome == Raced && a.req.From < a.cur.rev.Number() {
		return a.read(readPlanned, ArchiveObject(a.req.From))
	}
	if res.Outcome != Accepted || a.req.Plan {
		return a.done(res)
	}
	value, err := config.EncodeRevision(next)
	if err != nil {
		return a.done(refused(res, "%v", err))
	}
	a.next, a.value, a.result = next, value, res
	if a.cur.version == 0 {
		return a.write()
	}
	return a.read(readSlot, ArchiveObject(a.cur.rev.Number()))
}

func (a *Attempt) write() Action {
	a.stage = writeCurrent
	return Write{Name: CurrentObject, Value: a.value, IfVersion: a.cur.version}
}

func (a *Attempt) writeDone(err error) Action {
	conflict, unsure := errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnsure)
	if a.stage == writeSlot {
		switch {
		case err == nil:
			return a.write()
		case conflict, unsure:
			a.retried = true
			return a.read(readSlot, ArchiveObject(a.cur.rev.Number()))
		}
		return a.failed(err)
	}
	switch {
	case err == nil:
		return a.done(a.result)
	case a.unsure, unsure:
		a.unsure, a.retried = true, a.unsure
		return a.read(verifyCurrent, CurrentObject)
	case conflict:
		a.retried = true
		return a.read(readCurrent, CurrentObject)
	}
	return a.failed(err)
}

// verify finds out whether a write with an unknown result took effect. While
// the object has its old version, the write may still be on its way; repeating
// it is harmless, because at most one write of a version takes effect.
func (a *Attempt) verify(got base) Action {
	switch {
	case got.version == a.cur.version:
		return a.write()
	case got.rev.Number() == a.next.Number():
		return a.compare(got)
	case got.rev.Number() > a.next.Number():
		return a.read(verifySlot, ArchiveObject(a.next.Number()))
	}
	return a.unknown("the store has an earlier revision than before")
}

// compare answers with the revision that has the number of ours.
func (a *Attempt) compare(got base) Action {
	if bytes.Equal(got.bytes, a.value) {
		return a.done(a.result)
	}
	if a.req.Kind == Drain || a.req.Kind == Undrain {
		a.unsure = false // another's revision has the number, so ours can't take effect
		return a.read(readCurrent, CurrentObject)
	}
	res := Result{Revision: originOf(got.rev), From: got.rev.Number()}
	return a.done(raced(res, a.req, got, &a.cur.rev))
}
