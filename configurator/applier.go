package configurator

import (
	"encoding/json"
	"slices"
	"time"
)

// pastNonces is how many earlier changes an object remembers. A writer whose
// answer was lost finds its change among them unless more than so many others
// changed the same object in the meantime.
const pastNonces = 4

// Outcome says what came of an Applier's changes.
type Outcome uint8

// The outcomes.
const (
	Running  Outcome = iota
	Applied          // all changes are in the platform
	Conflict         // another writer was first; later changes were not tried
	NotRun           // the platform is down; the change certainly has no effect
	Unknown          // the platform is down; the change may have taken effect
)

// Put asks for a conditional write of an object.
type Put struct {
	Name  string
	Match uint64
	Value json.RawMessage
}

// ReadBack asks for an object whose write had no answer.
type ReadBack struct {
	Name string
}

// The events of an Applier.
type (
	// PutDone says that a Put took effect at a version.
	PutDone struct{ Version uint64 }
	// PutConflict says that the object had another version; Current is zero when
	// there is none.
	PutConflict struct{ Current Object }
	// PutLost says that there was no answer.
	PutLost struct{}
	// PutDown says that a Put, or a ReadBack, certainly had no effect.
	PutDown struct{}
	// ReadDone is the answer to a ReadBack; Current is zero when there is none.
	ReadDone struct{ Current Object }
)

// Applier writes planned changes one after the other. It holds no clock and
// makes no calls: Start and Handle return the command to carry out next, a Put
// or a ReadBack, and nil at the end.
//
// A lost answer is settled by the nonce. The object is read back: a nonce of
// ours in it, or among the changes before it, means that the change took
// effect. The object still at the version we matched means that it has not, but
// may yet, so the same conditional write is made again: of the two at most one
// takes effect, and if it is the first, the second meets our own nonce.
type Applier struct {
	Writer string
	Nonce  string // unlike that of any other apply
	Time   time.Time

	// Outcome is Running until the last command has been answered.
	Outcome Outcome
	// Version is that of the last change written.
	Version uint64
	// Written holds the changes that took effect, Replaced those of them that
	// another writer has changed again since.
	Written  []Change
	Replaced []string
	// Reason says in words why the outcome is not Applied.
	Reason string

	changes []Change
	next    int
	lost    bool // an answer to the present change was lost
}

// Start begins with the first of the changes.
func (a *Applier) Start(changes []Change) any {
	a.changes = changes
	return a.put()
}

// Handle takes what came of the last command.
func (a *Applier) Handle(ev any) any {
	if a.Outcome != Running {
		return nil
	}
	switch ev := ev.(type) {
	case PutDone:
		return a.done(ev.Version)
	case PutConflict:
		return a.compare(ev.Current)
	case PutLost:
		a.lost = true
		return ReadBack{Name: a.changes[a.next].ID.String()}
	case ReadDone:
		return a.compare(ev.Current)
	case PutDown:
		return a.down()
	default:
		return nil
	}
}

// put returns the write of the present change.
func (a *Applier) put() any {
	if a.next == len(a.changes) {
		a.Outcome = Applied
		return nil
	}
	c := &a.changes[a.next]
	e := c.entry(a.meta(c))
	b, err := e.Encode()
	if err != nil {
		panic("configurator: a checked spec can't be encoded: " + err.Error())
	}
	return Put{Name: c.ID.String(), Match: c.Match, Value: b}
}

func (a *Applier) meta(c *Change) Meta {
	m := Meta{Writer: a.Writer, Time: a.Time, Nonce: a.Nonce}
	if c.Old.Meta.Nonce != "" {
		m.Past = append([]string{c.Old.Meta.Nonce}, c.Old.Meta.Past...)
		m.Past = m.Past[:min(len(m.Past), pastNonces)]
	}
	return m
}

func (a *Applier) done(version uint64) any {
	a.Written = append(a.Written, a.changes[a.next])
	a.Version = max(a.Version, version)
	a.next++
	a.lost = false
	return a.put()
}

// compare looks at the object as it is now, after a conflict or a lost answer.
func (a *Applier) compare(now Object) any {
	c := &a.changes[a.next]
	if now.Version == c.Match {
		return a.put()
	}
	if now.Name == "" {
		return a.stop(Conflict, c.ID.String()+" is gone from the platform")
	}
	e, err := Decode(now)
	if err != nil {
		return a.stop(Conflict, c.ID.String()+" has changed and can't be read: "+err.Error())
	}
	if e.Meta.Nonce == a.Nonce {
		return a.done(now.Version)
	}
	if slices.Contains(e.Meta.Past, a.Nonce) {
		a.Replaced = append(a.Replaced, describe(e, *c))
		return a.done(now.Version)
	}
	if a.lost && len(e.Meta.Past) == pastNonces {
		return a.stop(Unknown, "the answer was lost, and many changes have followed: "+describe(e, *c))
	}
	return a.stop(Conflict, describe(e, *c))
}

func (a *Applier) down() any {
	id := a.changes[a.next].ID.String()
	if a.lost {
		return a.stop(Unknown, id+": the platform is down and the answer to the change was lost; run diff when it is back")
	}
	return a.stop(NotRun, id+": the platform is down; it has not been changed")
}

func (a *Applier) stop(o Outcome, reason string) any {
	a.Outcome, a.Reason = o, reason
	return nil
}
