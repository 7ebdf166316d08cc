package promoter

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// answerBy is how long a call to the platform may stay unanswered.
const answerBy = 2 * time.Second

// reachedProbes is for how many probe intervals an upstream counts as reached.
const reachedProbes = 10

// grant is what the proxy knows of the group's record, and its one call to the
// platform under way.
type grant struct {
	record  Record
	version uint64
	// holders are those of the record.
	holders []string
	// changed: members, record or term have changed since the record was last
	// compared with what it should be.
	changed bool
	// loaded: the platform has answered at least once. stale: read it again.
	loaded bool
	stale  bool
	// pending is the record being written; its nonce settles a lost answer.
	pending Record
	// open: a call is under way, given up at answerAt.
	open     bool
	answerAt time.Time
	// retryAt is the earliest time of the next call.
	retryAt  time.Time
	failures int
	writes   int
	// reloadAt is when the record is read again.
	reloadAt time.Time
	// missing is since when the holders should be others.
	missing time.Time
}

// takeRecord takes a newer version of the record from anywhere.
func (g *Group) takeRecord(r Record, version uint64) {
	if version == 0 || version <= g.grant.version {
		return
	}
	g.grant.record = r
	g.grant.version = version
	g.grant.holders = r.Holders()
	g.grant.changed = true
	g.grant.missing = time.Time{}
	g.see(r.Term)
	g.adopt(r.Primary, r.Term, "recorded in the platform")
}

func (g *Group) loaded(ev Loaded) {
	if ev.Outcome != Done {
		g.callFailed()
		return
	}
	g.callDone()
	own := ev.Record.Nonce != "" && ev.Record.Nonce == g.grant.pending.Nonce
	news := ev.Version > g.grant.version && (own || g.grant.version != 0)
	g.takeRecord(ev.Record, ev.Version)
	if news {
		// A write of our own whose answer was lost, or one that others may have
		// missed as well.
		g.tell("", "the record has changed")
	}
}

func (g *Group) saved(ev Saved) {
	switch {
	case ev.Nonce != g.grant.pending.Nonce:
		// The answer to a write given up long ago; only its record counts.
		if ev.Outcome != Lost {
			g.takeRecord(ev.Record, ev.Version)
		}
	case ev.Outcome == Lost:
		// It may have taken effect. Reading back shows by the nonce; until then
		// this proxy doesn't act as if it held the grant.
		g.grant.stale = true
		g.callFailed()
	default:
		g.callDone()
		g.takeRecord(ev.Record, ev.Version)
		if ev.Outcome == Done {
			g.tell("", "the record has changed")
		}
	}
}

func (g *Group) callDone() {
	g.grant.open = false
	g.grant.loaded = true
	g.grant.stale = false
	g.grant.changed = true
	g.grant.failures = 0
	g.grant.retryAt = g.now
}

// callFailed backs off, up to half as long again by a share of the own name, so
// that the fleet doesn't call in step after an outage.
func (g *Group) callFailed() {
	g.grant.open = false
	pause := g.set.Backoff << min(g.grant.failures, 10)
	pause = min(pause, g.set.BackoffMax)
	jitter := xxhash.Sum64String(g.Self+strconv.Itoa(g.grant.failures)) % uint64(pause/2+1)
	g.grant.failures++
	g.grant.retryAt = g.now.Add(pause + time.Duration(jitter))
}

// claim keeps the record right: it reads it, creates it, replaces holders that
// are gone, and writes down a new primary.
func (g *Group) claim() {
	gr := &g.grant
	if gr.open {
		if g.now.Before(gr.answerAt) {
			g.wake(gr.answerAt)
			return
		}
		gr.stale = true
		g.callFailed()
	}
	if !gr.loaded || gr.stale {
		if g.mayCall() {
			g.emit(Load{Reason: "the group's record isn't known for sure"})
		}
		return
	}
	g.reload()
	if gr.open || !gr.changed {
		return
	}
	want, reason, ok := g.wanted()
	if !ok && gr.missing.IsZero() {
		gr.changed = false
	}
	if !ok || !g.mayCall() {
		return
	}
	gr.writes++
	want.Nonce = g.Self + "/" + strconv.Itoa(gr.writes)
	gr.pending = want
	g.emit(Save{Record: want, Version: gr.version, Reason: reason})
}

// reload reads the record now and then. After a partition each half may have
// recorded holders of its own, and the half with the older record hears of the
// newer one by no other way if the announcement was lost.
func (g *Group) reload() {
	gr := &g.grant
	if g.rank() != 0 {
		gr.reloadAt = time.Time{}
		return
	}
	if gr.reloadAt.IsZero() {
		gr.reloadAt = g.now.Add(g.set.Reload)
	}
	if g.now.Before(gr.reloadAt) {
		g.wake(gr.reloadAt)
		return
	}
	if g.mayCall() {
		gr.reloadAt = time.Time{}
		g.emit(Load{Reason: "it may have been changed unseen"})
	}
}

func (g *Group) mayCall() bool {
	if g.now.Before(g.grant.retryAt) {
		g.wake(g.grant.retryAt)
		return false
	}
	g.grant.open = true
	g.grant.answerAt = g.now.Add(answerBy)
	g.wake(g.grant.answerAt)
	return true
}

// wanted returns the record as this proxy should write it, if it should.
func (g *Group) wanted() (Record, string, bool) {
	r := g.grant.record
	if g.grant.version != 0 && r.Term.Less(g.term) && g.rank() == 0 {
		r.Primary, r.Term = g.primary, g.term
		return r, "a new primary was promoted", true
	}
	if !g.writesGrant() {
		g.grant.missing = time.Time{}
		return r, "", false
	}
	holders := g.pick()
	oldGrant := r.Epoch < g.highest.Epoch
	if !oldGrant && slices.Equal(holders, g.grant.holders) {
		g.grant.missing = time.Time{}
		return r, "", false
	}
	if g.grant.missing.IsZero() {
		g.grant.missing = g.now
	}
	if due := g.grant.missing.Add(g.set.Grant); g.grant.version != 0 && !oldGrant && g.now.Before(due) {
		g.wake(due)
		return r, "", false
	}
	if g.grant.version != 0 && !g.reaches(g.now.Add(-reachedProbes*g.set.Probe)) {
		// Cut off with a minority: holders from here could do nothing.
		g.askAll(g.set.Probe, "may it record holders")
		g.wake(g.now.Add(g.set.Probe))
		return r, "", false
	}
	r.Epoch = max(r.Epoch, g.highest.Epoch) + 1
	r.Leader, r.Deputies = holders[0], holders[1:]
	if r.Term.Less(g.term) {
		r.Primary, r.Term = g.primary, g.term
	}
	return r, "holders have gone, come or are too old", true
}

// writesGrant reports whether this proxy is the one to change the holders: the
// first live holder, or with none left the first in rendezvous order. Were it
// everyone's task, a zone's loss would bring one write from each proxy.
func (g *Group) writesGrant() bool {
	if len(g.live) == 0 {
		return false
	}
	for _, id := range g.grant.holders {
		if g.isLive(id) {
			return id == g.Self
		}
	}
	return g.live[0].ID == g.Self
}

// pick returns the holders as they should be: the recorded ones that live keep
// their order, so that leadership doesn't move without need; free places go to
// the next in rendezvous order, from zones without a holder first.
func (g *Group) pick() []string {
	var picked []string
	zones := make(map[string]bool)
	take := func(m Member) {
		if len(picked) < g.set.Holders && !slices.Contains(picked, m.ID) {
			picked = append(picked, m.ID)
			zones[m.Zone] = true
		}
	}
	for _, id := range g.grant.holders {
		for _, m := range g.live {
			if m.ID == id {
				take(m)
			}
		}
	}
	for _, m := range g.live {
		if !zones[m.Zone] {
			take(m)
		}
	}
	for _, m := range g.live {
		take(m)
	}
	return picked
}
