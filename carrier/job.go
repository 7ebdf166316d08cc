package carrier

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/placer"
	"basildale.example/basildale/tracker"
)

// Bounds of carrying one statement.
const (
	// attempts bounds how often a read is sent: to each upstream of a group of
	// three, and once more to the best.
	attempts = 4
	// busyPause is how long a statement waits before it goes again to the one
	// upstream that may run it and has just refused it as busy: about the time in
	// which one of five slots comes free.
	busyPause = 8 * time.Millisecond
	// failing is what a failed or lost answer counts as, in ordinary latencies. With
	// the smoothing of the mean, an upstream that fails four of ten then costs three
	// times as much as the others.
	failing = 6
	// crowdedPause is how long a statement waits before it asks again for a
	// connection of the one upstream that may run it and has no room.
	crowdedPause = 120 * time.Millisecond
	// margin is left of a sample's greatest age for the clock's own error.
	margin = 20 * time.Millisecond
	// ageing is the part of a route's greatest age after which a new sample is
	// asked for while the old one still serves.
	ageing = 3
	// comeBack is told to callers who are refused for that.
	comeBack = time.Second
)

// Job is what the statements of one operation have in common.
type Job struct {
	// Request is the caller's id of the statement, for the log.
	Request string
	// Workspace is whose statement it is; "" where anyone may ask.
	Workspace string
	Freshness cataloger.Freshness
	MaxAge    time.Duration
	// LastWrite is the furthest of the session's own writes.
	LastWrite tracker.Mark
	// Writes says that the job may change data, so that only the leader will do.
	Writes bool
	// Arrived is when the operation's first byte was here, by the carrier's
	// clock; ages count from it.
	Arrived time.Time
	// ObjectiveAt is when the operation should have been answered, by the carrier's clock;
	// zero where nothing is aimed at.
	ObjectiveAt time.Time
	// Deadline is when the statement's time is over.
	Deadline time.Time
	// Values are those of the session.
	Values []Value
	// Prepared is what the statement executes, if it does.
	Prepared *Prepared
	// CanForward, when set, says that another process could carry the job now, so
	// that waiting here for a leader or a sample is no use.
	CanForward func() bool
	// CallerGone is closed when the caller has left; it may be nil.
	CallerGone <-chan struct{}

	tried map[*member]bool
}

// RequiresLeader reports whether the job must run on the present leader.
func (j *Job) RequiresLeader() bool { return j.Writes || j.Freshness == cataloger.Latest }

// avoid remembers that the job failed at a member.
func (j *Job) avoid(m *member) {
	if j.tried == nil {
		j.tried = map[*member]bool{}
	}
	j.tried[m] = true
}

// refusal is the answer to a job that nothing of was run.
func refusal(code Code, text string) Answer { return Answer{Code: code, Text: text} }

// exchange runs commands on a connection and keeps what the answer tells of the
// member.
func (g *Group) exchange(m *member, r *run, deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	g.mu.Lock()
	r.started = g.carrier.Now()
	g.mu.Unlock()
	answers, sent, err := r.conn.Exchange(deadline, commands...)
	g.mu.Lock()
	took := g.carrier.Now().Sub(r.started)
	if err != nil && r.harmful && took > stuckAfter && m.wrote.Before(r.started) {
		m.starved = g.carrier.Now()
	}
	r.started = time.Time{}
	g.mu.Unlock()
	if err != nil {
		g.log().Info("carrier: link lost", zap.String("group", g.name), zap.String("upstream", m.id), zap.String("request", commands[len(commands)-1].ID),
			zap.Duration("took", took), zap.Bool("sent", sent), zap.Error(err))
		return nil, sent, err
	}
	g.heard(m, answers[len(answers)-1].Mark)
	return answers, sent, nil
}

// open gets a connection to a member for a job.
func (g *Group) open(m *member, j *Job) (*run, Answer) {
	c, err := m.connectionFor(j.Workspace, j.Deadline)
	if err == nil && g.isClosed(m) {
		g.release(m, c, true)
		return nil, refusal(Busy, string(placer.LeaderDrained))
	}
	if err != nil {
		g.refused(m, err)
		switch {
		case errors.Is(err, errUnshared):
			return nil, refusal(Unavailable, err.Error())
		case errors.Is(err, ErrConnectionLimit):
			return nil, refusal(Overloaded, "upstream has too many connections")
		}
		j.avoid(m)
		return nil, refusal(Busy, "no connection to the upstream: "+err.Error())
	}
	return &run{conn: c}, Answer{}
}

// Run carries one statement outside of a transaction.
func (g *Group) Run(j *Job, cmd Command) Answer {
	answer := refusal(Busy, "out of time")
	for n := 0; n < attempts && time.Until(j.Deadline) > 0; n++ {
		m, since, refused := g.place(j)
		if m == nil {
			return refused
		}
		var again bool
		answer, again = g.attempt(m, j, cmd, since)
		if !again {
			return answer
		}
		if answer.Code == Overloaded && j.CanForward != nil && j.CanForward() {
			return refusal(Unavailable, answer.Text) // a peer may have connections there
		}
		if answer.Code == Overloaded || answer.Code == Busy {
			n-- // nothing was run; the deadline bounds these
		}
		g.log().Info("carrier: statement goes again", zap.String("request", j.Request), zap.String("group", g.name),
			zap.String("upstream", m.id), zap.Stringer("code", answer.Code), zap.String("cause", answer.Text), zap.Int("attempt", n+1))
	}
	return answer
}

// attempt sends a statement to a member once. It reports whether the statement
// may and should go again.
func (g *Group) attempt(m *member, j *Job, cmd Command, since tracker.Mark) (Answer, bool) {
	ticket, refused := g.enter(m, j)
	if ticket == 0 {
		return refused, g.other(m, j, since)
	}
	answer, again := g.admitted(m, j, cmd, since)
	m.gate.Release(ticket, answer.Code == OK)
	if !again {
		return answer, false
	}
	return answer, g.again(m, j, answer)
}

// admitted carries out an attempt that the member's gate let through. It reports
// whether the refusal is one after which the statement may go again.
func (g *Group) admitted(m *member, j *Job, cmd Command, since tracker.Mark) (Answer, bool) {
	if g.isBarred(m) {
		return refusal(Busy, "upstream barred while the statement waited for it"), true
	}
	r, refused := g.open(m, j)
	if r == nil {
		return refused, true
	}
	if j.Writes && !r.conn.Alive() {
		g.release(m, r.conn, false)
		return refusal(Busy, "connection was dead before the write"), true
	}
	r.harmful = j.Writes
	g.begin(m, r)
	defer g.end(m, r)
	started := g.carrier.Now()
	answer, sent, err := g.send(m, r, j, cmd, since)
	if err != nil {
		g.release(m, r.conn, false)
		j.avoid(m)
		if sent && time.Until(j.Deadline) > 0 {
			g.ended(m, true) // lost, and not only late: an overloaded upstream doesn't fail
		}
		answer, again := lost(j, sent)
		if !again {
			g.took(m, failing*ordinary)
		}
		return answer, again
	}
	usable := answer.State == Idle && answer.Code != NoStatement
	g.release(m, r.conn, usable)
	answer.State = Idle
	answer.Upstream, answer.Led = m.id, g.leads() == m
	g.judge(m, answer.Code)
	if answer.Code == OK {
		answer.Ran = g.carrier.Now().Sub(started)
		answer.Waited = started.Sub(j.Arrived)
		g.took(m, answer.Ran)
		if !j.RequiresLeader() {
			g.sufficed(m, since)
		}
		return answer, false
	}
	return answer, true
}

// lost is the answer to a statement whose connection broke.
func lost(j *Job, sent bool) (Answer, bool) {
	switch {
	case !sent:
		return refusal(Busy, "connection lost before the statement was sent"), true
	case j.Writes:
		return refusal(InDoubt, "connection lost after the statement was sent"), false
	case time.Until(j.Deadline) <= 0:
		return refusal(Timeout, "no answer in time"), false
	default:
		return refusal(Failed, "connection lost"), true
	}
}

// send carries out the exchanges of one attempt. A read that must see everything
// is wrapped in a transaction of the leader's: a former leader refuses its begin.
// The read goes out only after the begin was accepted, since behind a refused one
// it would run by itself, on a log that may lack the newest commits.
func (g *Group) send(m *member, r *run, j *Job, cmd Command, since tracker.Mark) (Answer, bool, error) {
	prelude := r.conn.prelude(j.Values, j.Prepared)
	if j.Writes {
		asked := g.carrier.Now()
		answers, sent, err := g.exchange(m, r, j.Deadline, append(prelude, cmd)...)
		if err != nil {
			return Answer{}, sent, err
		}
		answer := verdict(answers, len(prelude))
		g.acknowledged(m)
		if answer.Code == OK {
			g.proved(m, asked, answer.Mark)
		}
		return answer, true, nil
	}
	if j.Freshness == cataloger.Latest {
		return g.sendLatest(m, r, j, cmd, prelude)
	}
	cmd.Since = since
	answers, sent, err := g.exchange(m, r, j.Deadline, append(prelude, cmd)...)
	if err != nil {
		return Answer{}, sent, err
	}
	return verdict(answers, len(prelude)), true, nil
}

func (g *Group) sendLatest(m *member, r *run, j *Job, cmd Command, prelude []Command) (Answer, bool, error) {
	asked := g.carrier.Now()
	answers, sent, err := g.exchange(m, r, j.Deadline, append(prelude, Command{Verb: Begin})...)
	if err != nil {
		return Answer{}, sent, err
	}
	began := verdict(answers, len(prelude))
	if began.Code != OK {
		return began, true, nil
	}
	g.proved(m, asked, began.Mark)
	answers, sent, err = g.exchange(m, r, j.Deadline, cmd, Command{Verb: Rollback})
	if err != nil {
		return Answer{}, sent, err
	}
	answer := answers[0]
	answer.State = answers[1].State
	return answer, true, nil
}

// verdict returns the answer of the last command. A prelude that failed leaves
// the connection in an unknown shape: it isn't used again.
func verdict(answers []Answer, prelude int) Answer {
	for _, a := range answers[:prelude] {
		if a.Code != OK {
			return Answer{Code: Failed, Text: "session values couldn't be set: " + a.Text, State: Broken}
		}
	}
	return answers[len(answers)-1]
}

// again decides what a refusal of a member means for the job.
func (g *Group) again(m *member, j *Job, a Answer) bool {
	switch a.Code {
	case Lagging:
		g.late(m)
		j.avoid(m)
	case ReadOnly:
		g.deposed(m)
		if j.RequiresLeader() {
			return true
		}
		j.avoid(m)
	case Overloaded:
		anew := !j.RequiresLeader() && !j.tried[m]
		j.avoid(m)
		if !anew && (j.CanForward == nil || !j.CanForward()) {
			return pause(j, crowdedPause)
		}
	case Busy:
		g.took(m, 4*ordinary)
		if j.RequiresLeader() {
			return pause(j, busyPause)
		}
		j.avoid(m)
	case NoStatement:
	case Failed, Timeout:
		// An upstream that fails part of its work counts as slow, and so gets less
		// of it, until it answers well again.
		g.took(m, failing*ordinary)
		if j.Writes {
			return false
		}
		j.avoid(m)
	default:
		return false
	}
	return true
}
