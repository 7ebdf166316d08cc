package replacer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Times of a replacement.
const (
	// askAgain is the time after which an upstream that hasn't answered is asked
	// again. An answer takes 1 to 2 ms.
	askAgain = 100 * time.Millisecond
	// orderAgain is the time after which an order that wasn't answered is repeated.
	orderAgain = 300 * time.Millisecond
	// promoteWait is how long an accepted order may take to show: promoting takes
	// 300 to 1,000 ms.
	promoteWait = 2500 * time.Millisecond
	// catchUp is how long the chosen replica of a planned change may take to
	// receive the rest; then another way is tried.
	catchUp = 2 * time.Second
	// verifyFor is how long a leader that seems dead is given to answer before
	// anything is halted. What this process and its peers believe may be old: one
	// that was cut off or has just taken the duty over would halt a group that
	// works.
	verifyFor = 100 * time.Millisecond
	// fenceFor is how long peers that reach the leader are given to take the lead
	// from it: a round of gossip there, and one back.
	fenceFor = 1200 * time.Millisecond
	// joinFor is how long the list is watched, after such a peer was there, for a
	// replica that has just joined on the leader's side.
	joinFor = 300 * time.Millisecond
	// stuckFor is how long a holder tries to halt all replicas before it leaves
	// the duty to another process.
	stuckFor = 2500 * time.Millisecond
	// tidyAfter is how long after taking the duty a holder releases replicas that are
	// halted without need. An order without an answer is carried out some seconds late.
	tidyAfter = 6 * time.Second
	// rest is the time between two attempts.
	rest = 500 * time.Millisecond
)

// phase is where a replacement is.
type phase uint8

const (
	quiet     phase = iota
	verifying       // the leader that seems dead is asked once more
	guarding        // planned: the platform is made to refuse what earlier holders ordered
	halting         // replicas are told to stop receiving
	fencing         // peers that reach the leader take the lead from it
	catching        // planned: the chosen one receives the rest
	promoting       // the order is out
	settling        // the order was accepted
)

// Replacer is the state for one group. Its zero value, with the group's name,
// is ready for use.
type Replacer struct {
	Group string

	phase   phase
	planned bool
	view    View
	token   uint64 // of the holder's block
	chosen  uint64 // orders of this block that were sent, each with a token of its own
	term    tracker.Term
	target  string
	from    string       // the leader that is replaced
	need    tracker.Mark // planned: what the target must have received
	reports map[string]*report
	began   time.Time // of the phase
	fenced  time.Time // crash: no choice before
	sent    time.Time // of the last order
	first   uint64    // token of the first copy of the last choice
	next    time.Time // no attempt before
	taken   time.Time // when this block of tokens was first seen
	tidied  bool      // what an earlier holder left halted was released
	guarded bool      // the platform has seen a token of this block
}

// Busy reports whether a replacement is under way.
func (r *Replacer) Busy() bool { return r.phase != quiet }

// Handle takes in an event.
func (r *Replacer) Handle(ev Event, now time.Time) []Command {
	switch ev := ev.(type) {
	case Tick:
		r.forget(ev.View.Members)
		r.view = ev.View
	case Reported:
		r.report(ev)
	case Ordered:
		return r.ordered(ev, now)
	}
	return r.step(now)
}

// forget drops what upstreams reported before they started again. A start ends a halt
// and may lose the log: one sees a replica that counts as halted confirm commits, or
// chosen by a position that it doesn't have any more.
func (r *Replacer) forget(now []Member) {
	for _, m := range now {
		for _, before := range r.view.Members {
			if before.ID == m.ID && !before.Born.Equal(m.Born) {
				delete(r.reports, m.ID)
			}
		}
	}
}

func (r *Replacer) step(now time.Time) []Command {
	switch r.phase {
	case quiet:
		return r.start(now)
	case verifying:
		return r.verify(now)
	case guarding:
		return r.guard(now)
	case halting:
		return r.halt(now)
	case fencing:
		return r.fence(now)
	case catching:
		return r.catch(now)
	case promoting:
		return append(r.joined(now), r.repeat(now)...)
	case settling:
		return append(r.joined(now), r.settle(now)...)
	default:
		return nil
	}
}

// start begins a replacement when there is a reason and this process holds the
// duty.
func (r *Replacer) start(now time.Time) []Command {
	if r.view.Token == 0 || now.Before(r.next) || len(r.view.Members) < 2 {
		return nil
	}
	if r.view.Token != r.token {
		r.token, r.chosen = r.view.Token, 0
		r.taken, r.tidied, r.guarded = now, false, false
	}
	if r.chosen >= Block {
		return []Command{Explain{"resign", "", "the tokens of the block are used up"}, Resign{}}
	}
	var cause string
	switch leaving := r.leaving(r.view.Leader); {
	case r.view.Dead:
		r.planned = false
		r.target = ""
		cause = "leader is dead"
	case r.view.Leads && (leaving || r.view.Shunned || r.view.Alone):
		r.planned = true
		r.target = r.successor()
		cause = "leader is leaving, or out of reach or failing for many"
		if !leaving && !r.view.Shunned {
			cause = "leader is alone with more than it can do, the replicas are late"
		}
		if r.target == "" {
			return nil
		}
	default:
		return r.tidy(now)
	}
	r.need = tracker.Mark{}
	r.from = r.view.Leader
	r.term = tracker.Term{Epoch: r.view.Term.Epoch + 1}
	r.reports = map[string]*report{}
	if !r.planned && r.from != "" {
		r.enter(verifying, now)
		return append([]Command{Explain{"verify", r.from, cause}}, r.verify(now)...)
	}
	if r.planned && !r.guarded {
		r.enter(guarding, now)
		return r.choice(r.from, "guard", cause, now)
	}
	r.enter(halting, now)
	return append([]Command{Explain{"halt", r.target, cause}}, r.halt(now)...)
}

func (r *Replacer) enter(p phase, now time.Time) {
	r.phase = p
	r.began = now
}

func (r *Replacer) leaving(id string) bool {
	for _, m := range r.view.Members {
		if m.ID == id {
			return m.Leaving
		}
	}
	return false
}

// successor returns the replica that a planned change goes to: the first that
// stays. Which one is furthest changes all the time; any that receives will do.
func (r *Replacer) successor() string {
	for _, m := range r.view.Members {
		if m.ID != r.view.Leader && !m.Leaving && !m.Lost {
			return m.ID
		}
	}
	return ""
}
