package controller

import (
	"strings"
	"time"
)

// DefaultKept is how many decisions a Ring keeps where Size is zero.
const DefaultKept = 1024

// Decision is one decision and why it was taken.
type Decision struct {
	At time.Time
	// Part is the package that decided, Action what is to be done.
	Part   string
	Action string
	Reason string
	// Group, Upstream and Session say what it is about; empty: nothing of the
	// kind.
	Group    string
	Upstream string
	Session  string
	Detail   string
}

// about reports whether the decision concerns a subject: a group, an upstream, a
// session or a part. An empty subject takes all.
func (d *Decision) about(subject string) bool {
	switch subject {
	case "", d.Group, d.Upstream, d.Session, d.Part:
		return true
	}
	return strings.Contains(d.Detail, subject)
}

// Ring keeps the last decisions. A decision that repeats the newest one of the
// same subject is counted and not kept again: a step that is repeated every
// 50 ms while an upstream is down would otherwise push out of the ring the
// decisions that say why.
type Ring struct {
	// Size bounds the decisions kept; zero means DefaultKept.
	Size int

	kept []Decision
	next int
	same map[repeated]int // place in kept of the newest of its kind
}

type repeated struct{ part, action, reason, group, upstream, session string }

func (d *Decision) kind() repeated {
	return repeated{d.Part, d.Action, d.Reason, d.Group, d.Upstream, d.Session}
}

// sameFor is how long an equal decision is held to be a repetition.
const sameFor = 5 * time.Second

// Add keeps a decision and reports whether it was new.
func (r *Ring) Add(d Decision) bool {
	if r.kept == nil {
		if r.Size == 0 {
			r.Size = DefaultKept
		}
		r.kept = make([]Decision, 0, r.Size)
		r.same = make(map[repeated]int, r.Size)
	}
	k := d.kind()
	if i, ok := r.same[k]; ok && d.At.Sub(r.kept[i].At) < sameFor {
		return false
	}
	if len(r.kept) < r.Size {
		r.kept = append(r.kept, d)
		r.same[k] = len(r.kept) - 1
		return true
	}
	if old := r.kept[r.next].kind(); r.same[old] == r.next {
		delete(r.same, old)
	}
	r.kept[r.next] = d
	r.same[k] = r.next
	r.next = (r.next + 1) % r.Size
	return true
}

// Last returns at most limit decisions about a subject, the newest last. A limit
// of zero is no limit.
func (r *Ring) Last(subject string, limit int) []Decision {
	var out []Decision
	for i := range r.kept {
		d := &r.kept[(r.next+i)%len(r.kept)]
		if d.about(subject) {
			out = append(out, *d)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}
