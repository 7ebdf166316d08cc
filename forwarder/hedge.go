package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/placer"
)

// hedges decides when a forwarded read without an answer is offered to another gateway too. Its
// zero value is ready for use. It is safe for concurrent use.
type hedges struct {
	mu    sync.Mutex
	hedge placer.Hedge
}

func (h *hedges) delay(class int) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.Delay(class)
}

func (h *hedges) record(class int, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge.Record(class, took)
}

func (h *hedges) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.Take()
}

// offered is a call of a statement to a gateway, and its outcome.
type offered struct {
	peer Candidate
	resp response
	err  error
}

// isFinal reports whether the outcome is one that every gateway would give, so that the caller
// gets it at once. Any other, such as no room or an upstream that failed, may be that of this
// gateway only, and one that has not answered yet may still run the read.
func (o *offered) isFinal() bool {
	if o.err != nil || o.resp.Refused {
		return false
	}
	switch o.resp.Answer.Code {
	case carrier.OK, carrier.NoStatement, carrier.NoDatabase, carrier.Forbidden, carrier.TooLarge, carrier.Malformed:
		return true
	default:
		return false
	}
}

// mayHedge reports whether a statement may be offered to a second gateway while the first has
// not answered: a read outside of a transaction, where the setting asks for it.
func (s *search) mayHedge(r *request) bool {
	f := s.runner.f
	isRead := !r.Writes && r.Command.Verb != carrier.Write && !r.Command.Writes
	return r.Action == runOne && isRead && f.HedgesReads != nil && f.HedgesReads()
}

// offer sends the statement to a gateway and returns the outcome. A read without an answer in
// the usual time is offered to a second gateway as well: a gateway that has been cut off is
// known as silent only seconds later, and until then each read sent to it would be lost. The
// first final answer counts; the other call goes on, and its answer is dropped. Without a final
// answer that of the first gateway counts.
func (s *search) offer(ctx context.Context, peer Candidate, r request) offered {
	f := s.runner.f
	if !s.mayHedge(&r) {
		resp, err := f.call(ctx, peer, r)
		return offered{peer, resp, err}
	}
	class := int(s.job.Freshness)
	began := f.Now()
	results := make(chan offered, 2)
	start := func(peer Candidate, r request) {
		ctx, cancel := withDeadline(s.job)
		go func() {
			defer cancel()
			resp, err := f.call(ctx, peer, r)
			results <- offered{peer, resp, err}
		}()
	}
	start(peer, r)
	var due <-chan time.Time
	if delay, ok := f.hedges.delay(class); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		due = timer.C
	}
	callerGone := s.job.CallerGone
	var ended []offered
	for running := 1; ; {
		select {
		case o := <-results:
			running--
			if o.isFinal() {
				f.hedges.record(class, f.Now().Sub(began))
				return o
			}
			ended = append(ended, o)
			if running == 0 {
				return s.failure(peer, ended)
			}
		case <-callerGone:
			callerGone, due = nil, nil // nobody needs an answer sooner
		case <-due:
			if second, ok := s.secondGateway(peer); ok {
				own := newRequest(r.Action, r.Group, s.job, r.Command, f.Now())
				defer s.watchCaller(second, &own)()
				start(second, own)
				running++
			}
		}
	}
}

// failure returns the outcome that counts of those that are not final: that of the first gateway,
// unless its call was lost with time left, where another gateway may have named a substitute. A
// call that was lost at the deadline may have run, which no refusal of the other one may hide.
func (s *search) failure(first Candidate, ended []offered) offered {
	isOver := time.Until(s.job.Deadline) <= 0
	for _, o := range ended {
		if isOver && o.err != nil && !errors.Is(o.err, ErrUnsent) {
			return o
		}
	}
	best := ended[0]
	for _, o := range ended[1:] {
		if best.err != nil || o.err == nil && o.peer.Address == first.Address {
			best = o
		}
	}
	return best
}

// secondGateway returns the gateway to which a read that another one has not answered is offered
// as well, within the budget of second offers.
func (s *search) secondGateway(first Candidate) (Candidate, bool) {
	f := s.runner.f
	second, ok := f.choosePeer(s.criteria())
	if !ok || !f.hedges.take() {
		return Candidate{}, false
	}
	s.markTried(second)
	f.Log.Info("forwarder: read offered to a second gateway", zap.String("request", s.job.Request), zap.String("group", s.runner.group.Name()),
		zap.String("peer", second.Name), zap.String("slow", first.Name))
	if f.CountHedged != nil {
		f.CountHedged()
	}
	return second, true
}
