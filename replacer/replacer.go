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
	// probeFor is how long a planned change looks for a replica that has what the
	// leader had a moment before. Nothing is halted meanwhile.
	probeFor = 2 * time.Second
	// haltFor is how long the others of a planned change are given to stop receiving,
	// before it goes on without those that don't answer: an answer takes 1 to 2 ms, and
	// one whose packet is lost comes after 200 ms.
	haltFor = 300 * time.Millisecond
	// catchUp is how long the chosen replica may take to receive the rest while the
	// others are halted. A replica that receives is a few ms behind; one that doesn't any
	// more keeps every commit of the group waiting for as long.
	catchUp = 500 * time.Millisecond
	// yieldFor is how long a leader may take to give the lead up, and the chosen replica
	// to receive what was on its way then. The group has no leader meanwhile.
	yieldFor = 300 * time.Millisecond
	// verifyFor is how long a leader that seems dead is given to answer before
	// anything is halted. What this process and its peers believe may be old: one
	// that was cut off or has just taken the duty over would halt a group that
	// works.
	verifyFor = 100 * time.Millisecond
	// effect is how long after it was accepted an order may take effect: promoting takes
	// 300 to 1,000 ms. One for the leader that stands changes nothing, unless that has
	// lost the lead meanwhile.
	effect = 1200 * time.Millisecond
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
	probing         // planned: a replica is sought that receives
	halting         // replicas are told to stop receiving
	fencing         // peers that reach the leader take the lead from it
	clearing        // planned, without all halted: nothing that was ordered is under way any more
	catching        // planned: the chosen one receives the rest
	yielding        // planned, without all halted: the leader gives the lead up first
	promoting       // the order is out
	settling        // the order was accepted
)

// Replacer is the state for one group. Its zero value, with the group's name,
// is ready for use.
type Replacer struct {
	Group string

	phase   phase
	planned bool
	must    bool // planned: the leader is leaving or out of reach, and has to be replaced
	around  bool // planned: some of those that are to be halted don't answer
	view    View
	token   uint64 // of the holder's block
	chosen  uint64 // orders of this block that were sent, each with a token of its own
	term    tracker.Term
	target  string
	from    string       // the leader that is replaced
	need    tracker.Mark // planned: what the target must have received; zero while unknown
	reports map[string]*report
	since   time.Time // of the reports: answers to earlier questions don't count
	began   time.Time // of the phase
	fenced  time.Time // crash: no choice before
	order   Order     // that was sent last
	first   uint64    // token of its first copy
	cleared time.Time // when nothing that was ordered can take effect any more; zero while unknown
	sent    time.Time // of the last order
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
		r.forget(ev.View.Upstreams)
		r.view = ev.View
	case UpstreamReport:
		r.report(ev)
	case OrderAnswer:
		return r.ordered(ev, now)
	}
	return r.step(now)
}

// forget drops what upstreams reported before they started again. A start ends a halt
// and may lose the log: one sees a replica that counts as halted confirm commits, or
// chosen by a position that it doesn't have any more.
func (r *Replacer) forget(now []Upstream) {
	for _, m := range now {
		for _, before := range r.view.Upstreams {
			if before.ID == m.ID && !before.StartedAt.Equal(m.StartedAt) {
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
	case probing:
		return r.probe(now)
	case halting:
		return r.halt(now)
	case fencing:
		return r.fence(now)
	case clearing:
		return r.clear(now)
	case catching:
		return r.catch(now)
	case yielding:
		return r.yield(now)
	case promoting:
		return append(r.haltJoined(now), r.repeat(now)...)
	case settling:
		return append(r.haltJoined(now), r.settle(now)...)
	default:
		return nil
	}
}

// start begins a replacement when there is a reason and this process holds the
// duty.
func (r *Replacer) start(now time.Time) []Command {
	if r.view.Token == 0 || now.Before(r.next) || len(r.view.Upstreams) < 2 {
		return nil
	}
	if r.view.Token != r.token {
		r.token, r.chosen = r.view.Token, 0
		r.taken, r.tidied, r.guarded = now, false, false
		r.cleared = time.Time{}
	}
	if r.chosen >= TokenBlockSize-spare {
		return []Command{LogStep{"resign", "", "the tokens of the block are used up"}, ReleaseLease{}}
	}
	r.must = r.leaving(r.view.Leader) || r.view.LeaderDegraded
	switch {
	case r.view.Dead:
		return r.failover(now)
	case r.view.LeaderAnswers && (r.must || r.view.LeaderOverloaded) && len(r.successors(r.view.Leader)) > 0:
		return r.plan(now)
	case r.view.LeaderAnswers && (r.must || r.view.LeaderOverloaded):
		return nil
	default:
		return r.tidy(now)
	}
}

// begin makes an attempt to replace the present leader.
func (r *Replacer) begin(planned bool, now time.Time) {
	r.planned, r.around = planned, false
	r.from, r.target = r.view.Leader, ""
	r.need = tracker.Mark{}
	r.term = tracker.Term{Epoch: r.view.Term.Epoch + 1}
	r.ask(now)
}

// ask begins to ask the upstreams anew.
func (r *Replacer) ask(now time.Time) {
	r.reports, r.since = map[string]*report{}, now
}

// failover begins to replace a leader that is dead.
func (r *Replacer) failover(now time.Time) []Command {
	const cause = "leader is dead"
	r.begin(false, now)
	if r.from == "" {
		r.enter(halting, now)
		return append([]Command{LogStep{"halt", "", cause}}, r.halt(now)...)
	}
	r.enter(verifying, now)
	return append([]Command{LogStep{"verify", r.from, cause}}, r.verify(now)...)
}

func (r *Replacer) enter(p phase, now time.Time) {
	r.phase = p
	r.began = now
}

func (r *Replacer) leaving(id string) bool {
	for _, m := range r.view.Upstreams {
		if m.ID == id {
			return m.Leaving
		}
	}
	return false
}
