package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
)

// path runs the statements of one group, here or at a peer.
type path struct {
	f     *Forwarder
	group *carrier.Group
}

// turn is one statement's search for somebody who carries it.
type turn struct {
	p     *path
	job   *carrier.Job
	tried map[netip.AddrPort]bool
	pause time.Duration // before peers are asked again
}

func (p *path) turn(j *carrier.Job) *turn {
	t := &turn{p: p, job: j}
	j.CanForward = func() bool {
		_, ok := p.f.peer(t.wish())
		return ok && len(t.tried) < hops
	}
	return t
}

func (t *turn) wish() wish {
	return wish{group: t.p.group.Name(), workspace: t.job.Workspace, leader: t.job.RequiresLeader(), tried: t.tried}
}

// next says who is to carry the statement: this process, or the peer that is
// returned. It waits while neither can, and reports false when time is over.
func (t *turn) next() (peer Candidate, local, ok bool) {
	for {
		found := false
		if len(t.tried) < hops {
			peer, found = t.p.f.peer(t.wish())
		}
		better := found && t.p.f.prefers(t.wish(), peer)
		if !better && t.p.group.CanServe(t.job) {
			return peer, true, true
		}
		if found {
			return peer, false, true
		}
		if t.p.group.IsGateway() {
			return peer, true, true // it waits for a leader there
		}
		if t.p.f.Blind(t.p.group.Name()) || !t.wait() {
			return peer, false, false
		}
	}
}

// wait lets some time pass and reports whether there is time left. After it the
// peers that refused are asked again: those that start together with this process
// refuse for some tenths of a second and serve then. Without it a statement that
// was refused by three of them waited for its whole second and was refused.
func (t *turn) wait() bool {
	t.pause = min(max(2*t.pause, recheck), longestRecheck)
	if time.Until(t.job.Deadline) <= t.pause {
		return false
	}
	select {
	case <-t.job.CallerGone:
		return false
	case <-time.After(t.pause):
		clear(t.tried) // one that was lost is passed over until it is heard again
		return true
	}
}

// avoid passes a peer over for the rest of the statement.
func (t *turn) avoid(peer Candidate) {
	if t.tried == nil {
		t.tried = map[netip.AddrPort]bool{}
	}
	t.tried[peer.Address] = true
}

// elsewhere reports whether an answer means that somebody else is to be asked.
func elsewhere(a carrier.Answer) bool { return a.Code == carrier.Unavailable }

// nobody is the answer when nobody could carry the statement in time.
func nobody() carrier.Answer {
	return carrier.Answer{Code: carrier.Busy, Text: "no proxy reaches the group; come back in 1s"}
}

// Run implements carrier.Runner.
func (p *path) Run(j *carrier.Job, cmd carrier.Command) carrier.Answer {
	t := p.turn(j)
	for {
		peer, local, ok := t.next()
		if !ok {
			return nobody()
		}
		if local {
			if answer := p.group.Run(j, cmd); !elsewhere(answer) {
				return answer
			}
			continue
		}
		answer, done := t.remote(peer, runOne, cmd, nil)
		if done {
			return answer
		}
	}
}

// remote has a peer carry something. It reports false when somebody else is to be
// asked.
func (t *turn) remote(peer Candidate, a action, cmd carrier.Command, change func(*request)) (carrier.Answer, bool) {
	t.avoid(peer)
	r := asked(a, t.p.group.Name(), t.job, cmd, t.p.f.Now())
	if change != nil {
		change(&r)
	}
	ctx, cancel := bounded(t.job)
	defer cancel()
	resp, err := t.p.f.ask(ctx, peer, r)
	log := t.p.f.Log
	switch {
	case err == nil && !resp.Refused && !elsewhere(resp.Answer):
		log.Debug("forwarder: carried by a peer", zap.String("request", t.job.Request), zap.String("peer", peer.Name))
		return resp.Answer, true
	case err == nil:
		log.Info("forwarder: peer can't carry either", zap.String("request", t.job.Request), zap.String("peer", peer.Name))
		return carrier.Answer{}, false
	case errors.Is(err, ErrUnsent):
		return carrier.Answer{}, false
	case a == runOne && t.job.Writes || a == commitEmpty:
		return carrier.Answer{Code: carrier.InDoubt, Text: "peer lost after the statement was sent"}, true
	case time.Until(t.job.Deadline) <= 0:
		return carrier.Answer{Code: carrier.Timeout, Text: "no answer of a peer in time"}, true
	default:
		return carrier.Answer{}, false
	}
}

// Start implements carrier.Runner.
func (p *path) Start(j *carrier.Job, readOnly bool, cmd carrier.Command) (carrier.Transaction, carrier.Answer) {
	t := p.turn(j)
	for {
		peer, local, ok := t.next()
		if !ok {
			return nil, nobody()
		}
		if local {
			tx, answer := p.group.Start(j, readOnly, cmd)
			if !elsewhere(answer) {
				return tx, answer
			}
			continue
		}
		stream := p.f.streams.Add(1)
		answer, done := t.remote(peer, startTx, cmd, func(r *request) { r.Stream, r.ReadOnly = stream, readOnly })
		if !done {
			continue
		}
		if answer.Code != carrier.OK {
			return nil, answer
		}
		return &remoteTx{f: p.f, peer: peer, group: p.group.Name(), stream: stream, wrote: j.Writes && !readOnly, open: true}, answer
	}
}

// CommitEmpty implements carrier.Runner.
func (p *path) CommitEmpty(j *carrier.Job, readOnly bool, cmd carrier.Command) carrier.Answer {
	t := p.turn(j)
	for {
		peer, local, ok := t.next()
		if !ok {
			return nobody()
		}
		if local {
			if answer := p.group.CommitEmpty(j, readOnly, cmd); !elsewhere(answer) {
				return answer
			}
			continue
		}
		answer, done := t.remote(peer, commitEmpty, cmd, func(r *request) { r.ReadOnly = readOnly })
		if done {
			if answer.Code == carrier.InDoubt {
				answer.Code = carrier.Aborted // it had written nothing
			}
			return answer
		}
	}
}

// remoteTx is a transaction that a peer holds open.
type remoteTx struct {
	f      *Forwarder
	peer   Candidate
	group  string
	stream uint64
	wrote  bool
	open   bool
}

func (t *remoteTx) send(a action, j *carrier.Job, cmd carrier.Command) (response, error) {
	r := asked(a, t.group, j, cmd, t.f.Now())
	r.Stream = t.stream
	ctx, cancel := bounded(j)
	defer cancel()
	return t.f.ask(ctx, t.peer, r)
}

// Do implements carrier.Transaction.
func (t *remoteTx) Do(j *carrier.Job, cmd carrier.Command) carrier.Answer {
	t.wrote = t.wrote || j.Writes
	resp, err := t.send(doTx, j, cmd)
	if err != nil || resp.Refused {
		t.open = false
		return carrier.Answer{Code: carrier.Aborted, Text: "peer lost inside the transaction", State: carrier.Broken}
	}
	t.open = resp.Answer.Code == carrier.OK
	return resp.Answer
}

// Commit implements carrier.Transaction.
func (t *remoteTx) Commit(j *carrier.Job, cmd carrier.Command) carrier.Answer {
	t.open = false
	resp, err := t.send(commitTx, j, cmd)
	switch {
	case err != nil && t.wrote && !errors.Is(err, ErrUnsent):
		return carrier.Answer{Code: carrier.InDoubt, Text: "peer lost after the commit was sent"}
	case err != nil || resp.Refused:
		return carrier.Answer{Code: carrier.Aborted, Text: "peer lost the transaction"}
	default:
		return resp.Answer
	}
}

// Rollback implements carrier.Transaction. A peer that can't be told rolls back by
// itself, once the transaction has rested for too long.
func (t *remoteTx) Rollback() {
	if !t.open {
		return
	}
	t.open = false
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	if _, err := t.f.ask(ctx, t.peer, request{Action: rollbackTx, Group: t.group, Stream: t.stream}); err != nil {
		t.f.Log.Info("forwarder: rollback not told", zap.String("peer", t.peer.Name), zap.Error(err))
	}
}
