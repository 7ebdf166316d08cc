package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
)

// groupRunner runs the statements of one group, here or at a peer.
type groupRunner struct {
	f     *Forwarder
	group *carrier.Group
}

// search is the search for a process that runs one statement.
type search struct {
	runner *groupRunner
	job    *carrier.Job
	tried  map[netip.AddrPort]bool
	delay  time.Duration // before the next recheck of this process and the peers
	// redirect is the substitute that the last refusal named; zero if it named none.
	redirect Candidate
	// askedFurther is set once the statement has waited here only to be offered to processes
	// beyond maxOffers.
	askedFurther bool
	// preferred is the gateway that was chosen by load; "" where affinity decides.
	preferred string
}

// newSearch returns the search for a process that runs a job, and sets the job's CanForward.
func (g *groupRunner) newSearch(j *carrier.Job) *search {
	s := &search{runner: g, job: j, preferred: g.f.preferredGateway(g.group, j.Workspace)}
	j.CanForward = func() bool {
		_, ok := g.f.choosePeer(s.criteria())
		return ok && len(s.tried) < maxOffers
	}
	return s
}

func (s *search) criteria() criteria {
	return criteria{group: s.runner.group.Name(), workspace: s.job.Workspace, needsLeader: s.job.RequiresLeader(), tried: s.tried, preferred: s.preferred}
}

// next returns the process to run the statement: this one, or a peer. It waits while
// neither can, and reports false when time is over or waiting is useless.
func (s *search) next() (peer Candidate, local, ok bool) {
	if p, ok := s.takeRedirect(); ok {
		return p, false, true
	}
	for {
		changed := s.changed()
		found := false
		if len(s.tried) < maxOffers {
			peer, found = s.runner.f.choosePeer(s.criteria())
		}
		better := found && s.runner.f.prefersPeer(s.criteria(), peer)
		if !better && s.runner.group.CanServe(s.job) {
			return peer, true, true
		}
		if found {
			return peer, false, true
		}
		if s.runner.group.IsGateway() {
			if s.awaitsSubstitute() && s.wait(changed) {
				continue
			}
			return peer, true, true // the statement waits for a leader in package carrier
		}
		if s.runner.f.AreGatewaysIsolated(s.runner.group.Name()) || !s.wait(changed) {
			return peer, false, false
		}
	}
}

// wait waits for the next recheck and reports whether there is time left. After it the
// peers that refused are offered the statement again: those that start together with this
// process refuse for some tenths of a second and serve then. Otherwise a statement that
// three of them refused would wait for its whole second and then fail.
func (s *search) wait(changed <-chan struct{}) bool {
	s.delay = min(max(2*s.delay, minRecheckDelay), maxRecheckDelay)
	if changed != nil {
		s.delay = minRecheckDelay // peers are still offered it once in reportTTL only
	}
	if time.Until(s.job.Deadline) <= s.delay {
		return false
	}
	select {
	case <-s.job.CallerGone:
		return false
	case <-changed:
		clear(s.tried)
		return true
	case <-time.After(s.delay):
		clear(s.tried) // a lost peer stays skipped until a datagram from it is received
		return true
	}
}

// markTried excludes a peer from the rest of the search.
func (s *search) markTried(peer Candidate) {
	if s.tried == nil {
		s.tried = map[netip.AddrPort]bool{}
	}
	s.tried[peer.Address] = true
}

// isUnavailable reports whether an answer means that another process has to run the
// statement.
func isUnavailable(a carrier.Answer) bool { return a.Code == carrier.Unavailable }

// noGateway returns the answer for a statement that no process could run in time.
func noGateway() carrier.Answer {
	return carrier.Answer{Code: carrier.Busy, Text: "no proxy reaches the group; come back in 1s"}
}

// Run implements carrier.Runner.
func (g *groupRunner) Run(j *carrier.Job, cmd carrier.Command) carrier.Answer {
	s := g.newSearch(j)
	for {
		peer, local, ok := s.next()
		if !ok {
			return s.refuse()
		}
		if local {
			if answer := g.group.Run(j, cmd); !isUnavailable(answer) {
				return answer
			}
			continue
		}
		answer, done := s.forward(peer, runOne, cmd, nil)
		if done {
			return answer
		}
	}
}

// forward sends the statement to a peer. It reports false when another process has to be
// tried.
func (s *search) forward(peer Candidate, a action, cmd carrier.Command, modify func(*request)) (carrier.Answer, bool) {
	s.markTried(peer)
	r := newRequest(a, s.runner.group.Name(), s.job, cmd, s.runner.f.Now())
	r.Loads = s.runner.f.asksForLoads(s.runner.group, s.job.Workspace)
	if modify != nil {
		modify(&r)
	}
	defer s.watchCaller(peer, &r)()
	ctx, cancel := withDeadline(s.job)
	defer cancel()
	o := s.offer(ctx, peer, r)
	peer, resp, err := o.peer, o.resp, o.err
	log := s.runner.f.Log
	switch {
	case err == nil && !resp.Refused && !isUnavailable(resp.Answer):
		if peer.isSubstitute {
			s.runner.f.confirmSubstitute(s.runner.group.Name(), peer)
		}
		log.Debug("forwarder: statement run by a peer", zap.String("request", s.job.Request), zap.String("peer", peer.Name))
		return answerFrom(peer, resp.Answer), true
	case err == nil:
		if resp.Substitute != nil {
			s.redirect = resp.Substitute.candidate(peer.Address)
		}
		log.Info("forwarder: peer refused the statement", zap.String("request", s.job.Request), zap.String("peer", peer.Name))
		return carrier.Answer{}, false
	case errors.Is(err, ErrTooLarge):
		return answerFrom(peer, tooLarge("statement and session state")), true
	case errors.Is(err, ErrUnsent):
		return carrier.Answer{}, false
	case a == runOne && s.job.Writes || a == commitEmpty:
		return answerFrom(peer, carrier.Answer{Code: carrier.InDoubt, Text: "peer lost after the statement was sent"}), true
	case errors.Is(err, ErrAnswerTooLarge):
		return answerFrom(peer, tooLarge("answer")), true
	case time.Until(s.job.Deadline) <= 0:
		return answerFrom(peer, carrier.Answer{Code: carrier.Timeout, Text: "no answer of a peer in time"}), true
	default:
		return carrier.Answer{}, false
	}
}

// tooLarge returns the answer where something is too large to pass between processes.
func tooLarge(what string) carrier.Answer {
	return carrier.Answer{Code: carrier.TooLarge, Text: what + " too large to be forwarded"}
}

// answerFrom returns the answer to a statement that was forwarded to a peer. The peer is stated
// under the name that this process knows, whatever the answer says.
func answerFrom(peer Candidate, a carrier.Answer) carrier.Answer {
	a.Gateway = peer.Name
	return a
}

// Start implements carrier.Runner.
func (g *groupRunner) Start(j *carrier.Job, readOnly bool, cmd carrier.Command) (carrier.Transaction, carrier.Answer) {
	s := g.newSearch(j)
	for {
		peer, local, ok := s.next()
		if !ok {
			return nil, s.refuse()
		}
		if local {
			tx, answer := g.group.Start(j, readOnly, cmd)
			if !isUnavailable(answer) {
				return tx, answer
			}
			continue
		}
		stream := g.f.streams.Add(1)
		answer, done := s.forward(peer, startTx, cmd, func(r *request) { r.Stream, r.ReadOnly = stream, readOnly })
		if !done {
			continue
		}
		tx := &remoteTx{f: g.f, peer: peer, group: g.group.Name(), stream: stream, wrote: j.Writes && !readOnly, open: true}
		if answer.Code == carrier.TooLarge {
			go tx.Rollback() // the peer holds it open if only the answer is too large
		}
		if answer.Code != carrier.OK {
			return nil, answer
		}
		return tx, answer
	}
}

// CommitEmpty implements carrier.Runner.
func (g *groupRunner) CommitEmpty(j *carrier.Job, readOnly bool, cmd carrier.Command) carrier.Answer {
	s := g.newSearch(j)
	for {
		peer, local, ok := s.next()
		if !ok {
			return s.refuse()
		}
		if local {
			if answer := g.group.CommitEmpty(j, readOnly, cmd); !isUnavailable(answer) {
				return answer
			}
			continue
		}
		answer, done := s.forward(peer, commitEmpty, cmd, func(r *request) { r.ReadOnly = readOnly })
		if done {
			if answer.Code == carrier.InDoubt {
				answer.Code = carrier.Aborted // the transaction had written nothing
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
	r := newRequest(a, t.group, j, cmd, t.f.Now())
	r.Stream = t.stream
	ctx, cancel := withDeadline(j)
	defer cancel()
	return t.f.call(ctx, t.peer, r)
}

// Do implements carrier.Transaction.
func (t *remoteTx) Do(j *carrier.Job, cmd carrier.Command) carrier.Answer {
	t.wrote = t.wrote || j.Writes
	resp, err := t.send(doTx, j, cmd)
	if errors.IsAny(err, ErrTooLarge, ErrAnswerTooLarge) {
		answer := tooLarge("statement, session state or answer")
		answer.State = carrier.InFailedTransaction
		return answerFrom(t.peer, answer) // Rollback ends it at the peer
	}
	if err != nil || resp.Refused {
		t.open = false
		return answerFrom(t.peer, carrier.Answer{Code: carrier.Aborted, Text: "peer lost inside the transaction", State: carrier.InFailedTransaction})
	}
	t.open = resp.Answer.Code == carrier.OK
	return answerFrom(t.peer, resp.Answer)
}

// Commit implements carrier.Transaction.
func (t *remoteTx) Commit(j *carrier.Job, cmd carrier.Command) carrier.Answer {
	t.open = false
	resp, err := t.send(commitTx, j, cmd)
	switch {
	case err != nil && t.wrote && !errors.Is(err, ErrUnsent):
		return answerFrom(t.peer, carrier.Answer{Code: carrier.InDoubt, Text: "peer lost after the commit was sent"})
	case err != nil || resp.Refused:
		return answerFrom(t.peer, carrier.Answer{Code: carrier.Aborted, Text: "peer lost the transaction"})
	default:
		return answerFrom(t.peer, resp.Answer)
	}
}

// Rollback implements carrier.Transaction. A peer that the request does not reach rolls
// back by itself, once the transaction has been idle for too long.
func (t *remoteTx) Rollback() {
	if !t.open {
		return
	}
	t.open = false
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	if _, err := t.f.call(ctx, t.peer, request{Action: rollbackTx, Group: t.group, Stream: t.stream}); err != nil {
		t.f.Log.Info("forwarder: rollback not confirmed by the peer", zap.String("peer", t.peer.Name), zap.Error(err))
	}
}
