package carrier

import (
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// Tx is a transaction of a caller's on one connection. It belongs to one
// goroutine.
type Tx struct {
	g     *Group
	m     *member
	r     *run
	wrote bool
	state State
}

// Start begins a transaction and runs its first statement. A transaction whose
// first statement didn't succeed for a reason that another attempt may mend is
// begun anew elsewhere: the caller has seen nothing of it, and what it wrote is
// rolled back. The transaction is nil when the answer isn't OK.
func (g *Group) Start(j *Job, readOnly bool, cmd Command) (Transaction, Answer) {
	answer := refusal(Busy, "out of time")
	for n := 0; n < attempts && time.Until(j.Deadline) > 0; n++ {
		m, since, refused := g.place(j)
		if m == nil {
			return nil, refused
		}
		begin := Command{Verb: Begin}
		if readOnly && j.Freshness != cataloger.Latest {
			begin = Command{Verb: BeginRead, Since: since}
		}
		ticket, late := g.enter(m, j)
		if ticket == 0 {
			answer = late
			if g.other(m, j, since) {
				continue
			}
			return nil, answer
		}
		var tx *Tx
		tx, answer = g.first(m, j, begin, cmd)
		m.gate.Release(ticket, answer.Code == OK)
		if tx != nil {
			return tx, answer
		}
		if !g.again(m, j, answer) && answer.Code != Aborted {
			return nil, answer
		}
		if answer.Code == Overloaded && j.CanForward != nil && j.CanForward() {
			return nil, refusal(Unavailable, answer.Text) // a peer may have connections there
		}
		if answer.Code == Overloaded || answer.Code == Busy {
			n-- // nothing was run; the deadline bounds these
		}
		g.log().Info("carrier: transaction begins again", zap.String("request", j.Request), zap.String("group", g.name),
			zap.String("upstream", m.id), zap.Stringer("code", answer.Code), zap.String("cause", answer.Text), zap.Int("attempt", n+1))
	}
	return nil, answer
}

// first begins a transaction at a member and runs its first statement. What comes
// after it isn't held back by the member's gate: the transaction has a connection,
// and what it has done would be lost.
func (g *Group) first(m *member, j *Job, begin, cmd Command) (*Tx, Answer) {
	tx, answer := g.begun(m, j, begin)
	if tx == nil {
		return nil, answer
	}
	answer = tx.Do(j, cmd)
	if answer.Code == OK {
		return tx, answer
	}
	tx.Rollback()
	return nil, answer
}

// begun begins a transaction at a member.
func (g *Group) begun(m *member, j *Job, begin Command) (*Tx, Answer) {
	r, refused := g.open(m, j)
	if r == nil {
		return nil, refused
	}
	prelude := r.conn.prelude(j.Values, j.Prepared)
	g.begin(m, r)
	asked := g.carrier.Now()
	answers, _, err := g.exchange(m, r, j.Deadline, append(prelude, begin)...)
	if err != nil {
		g.end(m, r)
		g.release(m, r.conn, false)
		j.avoid(m)
		return nil, refusal(Aborted, "connection lost before the transaction began")
	}
	answer := verdict(answers, len(prelude))
	if answer.Code != OK {
		g.end(m, r)
		g.release(m, r.conn, answer.State == Idle)
		return nil, answer
	}
	if begin.Verb == Begin {
		g.proved(m, asked, answer.Mark)
	}
	return &Tx{g: g, m: m, r: r, state: Open}, Answer{}
}

// Do runs a statement inside the transaction. An answer that isn't OK means that
// the transaction has failed; nothing of it is kept.
func (t *Tx) Do(j *Job, cmd Command) Answer {
	if t.state != Open {
		return refusal(Aborted, "the transaction has failed")
	}
	t.wrote = t.wrote || j.Writes
	for {
		answer := t.once(j, cmd)
		busy := answer.Code == Busy && answer.State == Open
		if !busy || !pause(j, busyPause) {
			return t.settle(answer)
		}
	}
}

func (t *Tx) once(j *Job, cmd Command) Answer {
	prelude := t.r.conn.prelude(j.Values, j.Prepared)
	started := t.g.carrier.Now()
	answers, _, err := t.g.exchange(t.m, t.r, j.Deadline, append(prelude, cmd)...)
	if err != nil {
		j.avoid(t.m)
		if time.Until(j.Deadline) > 0 {
			t.g.ended(t.m, true)
		}
		return Answer{Code: Aborted, Text: "connection lost inside the transaction", State: Broken}
	}
	answer := verdict(answers, len(prelude))
	answer.Upstream, answer.Led = t.m.id, t.g.leads() == t.m
	t.g.judge(t.m, answer.Code)
	if answer.Code == OK {
		answer.Ran = t.g.carrier.Now().Sub(started)
		t.g.took(t.m, answer.Ran)
	}
	return answer
}

// settle takes in the answer of a statement. A transaction that the upstream
// holds open after a refusal is taken for failed all the same, as its caller
// takes it.
func (t *Tx) settle(a Answer) Answer {
	switch {
	case a.Code == OK && a.State == Open:
	case a.Code == OK:
		t.state = Broken
	default:
		t.state = Broken
		if !a.Code.GuaranteesNoEffect() {
			// Nothing of a transaction that never got its commit is kept, whatever
			// became of the statement.
			a = refusal(Aborted, a.Code.String()+": "+a.Text)
		}
	}
	return a
}

// Commit ends the transaction for good. Once the commit has been sent and its
// answer is lost, a transaction that wrote is in doubt.
func (t *Tx) Commit(j *Job, cmd Command) Answer {
	if t.state != Open {
		t.Rollback()
		return refusal(Aborted, "the transaction has failed")
	}
	t.r.harmful = t.wrote
	answers, sent, err := t.g.exchange(t.m, t.r, j.Deadline, cmd)
	t.g.end(t.m, t.r)
	if err != nil {
		t.g.release(t.m, t.r.conn, false)
		t.state = Idle
		if sent && t.wrote {
			return refusal(InDoubt, "connection lost after the commit was sent")
		}
		return refusal(Aborted, "connection lost at the commit of a transaction that wrote nothing")
	}
	t.state = Idle
	answer := answers[0]
	if t.wrote {
		t.g.acknowledged(t.m)
	}
	t.g.release(t.m, t.r.conn, answer.State == Idle)
	answer.State = Idle
	if answer.Code != OK && !answer.Code.GuaranteesNoEffect() && !t.wrote {
		return refusal(Aborted, answer.Code.String()+": "+answer.Text)
	}
	return answer
}

// Rollback ends the transaction and drops what it wrote. Its caller needn't wait
// for it: a connection that can't be rolled back is closed, which does the same.
func (t *Tx) Rollback() {
	if t.state == Idle {
		return
	}
	t.state = Idle
	answers, _, err := t.g.exchange(t.m, t.r, time.Now().Add(lookTimeout), Command{Verb: Rollback})
	t.g.end(t.m, t.r)
	t.g.release(t.m, t.r.conn, err == nil && answers[0].State == Idle)
}

// CommitEmpty commits a transaction without statements at an upstream, for its
// signature.
func (g *Group) CommitEmpty(j *Job, readOnly bool, cmd Command) Answer {
	for n := 0; n < attempts && time.Until(j.Deadline) > 0; n++ {
		m, since, refused := g.place(j)
		if m == nil {
			return refused
		}
		begin := Command{Verb: Begin}
		if readOnly && j.Freshness != cataloger.Latest {
			begin = Command{Verb: BeginRead, Since: since}
		}
		tx, answer := g.begun(m, j, begin)
		if tx != nil {
			return tx.Commit(j, cmd)
		}
		if !g.again(m, j, answer) && answer.Code != Aborted {
			return answer
		}
	}
	return refusal(Busy, "out of time")
}
