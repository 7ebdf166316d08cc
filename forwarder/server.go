package forwarder

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
)

// idleTimeout is how long a transaction that is held for a peer may be idle. A caller may
// leave it idle for 3 s; the proxy of the caller ends it then, unless that proxy has died.
const idleTimeout = 4 * time.Second

// transactionKey identifies a transaction that is held for a peer.
type transactionKey struct {
	peer   string
	stream uint64
}

// transactionTable holds the transactions that run here for peers.
type transactionTable struct {
	mu   sync.Mutex
	open map[transactionKey]*heldTransaction
}

// heldTransaction is a transaction that runs here for a peer.
type heldTransaction struct {
	mu        sync.Mutex // one statement at a time
	tx        carrier.Transaction
	idleTimer *time.Timer
}

// OpenTransactions returns the number of transactions that are held for peers.
func (f *Forwarder) OpenTransactions() int {
	f.transactions.mu.Lock()
	defer f.transactions.mu.Unlock()
	return len(f.transactions.open)
}

// Serve runs what a peer requests. The peer's name distinguishes peers, and incarnations
// of one peer. The context ends when the peer no longer waits. An error is marked with
// ErrRequest if the payload could not be decoded; nothing has run then.
func (f *Forwarder) Serve(ctx context.Context, peer string, payload json.RawMessage) (json.RawMessage, error) {
	var r request
	if err := json.Unmarshal(payload, &r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "forwarder: decode request"), ErrRequest)
	}
	resp := f.serve(ctx, peer, &r)
	if f.LeaderFault != nil {
		resp.LeaderFault = f.LeaderFault(r.Group)
	}
	if resp.Refused || isUnavailable(resp.Answer) || !resp.LeaderFault.IsLeaderReachable() {
		resp.Substitute = f.ownSubstitute(r.Group)
	}
	if r.Loads {
		resp.Loads = f.statedLoads(r.Group)
	}
	out, err := json.Marshal(resp)
	return out, errors.Wrap(err, "forwarder: response")
}

func (f *Forwarder) serve(ctx context.Context, peer string, r *request) response {
	k := transactionKey{peer, r.Stream}
	switch r.Action {
	case doTx, commitTx, rollbackTx:
		return f.serveInTransaction(k, r)
	case cancelOne:
		return response{Refused: !f.served.cancel(k)}
	}
	switch r.Action {
	case lend, returnLoan, lendSpare, returnSpare:
		return f.serveLoan(r)
	}
	if f.IsStopping != nil && f.IsStopping() {
		return response{Refused: true}
	}
	g, ok := f.Local(r.Group)
	if !ok || !g.IsGateway() && !g.IsSubstitute() {
		return response{Refused: true}
	}
	if r.Action == takeSample && f.leavesSamples(r.Group) {
		return response{Refused: true}
	}
	if r.Action == takeSample {
		mark, ok := g.SampleLeader()
		return response{Answer: carrier.Answer{Mark: mark}, Refused: !ok}
	}
	j := r.job(f.Now())
	if !g.CanServe(j) {
		return response{Refused: true}
	}
	defer f.watchCaller(ctx, k, j)()
	j.CanForward = func() bool { return true } // the sender tries the next peer rather than wait here
	switch r.Action {
	case runOne:
		return response{Answer: g.Run(j, r.Command)}
	case commitEmpty:
		return response{Answer: g.CommitEmpty(j, r.ReadOnly, r.Command)}
	case startTx:
		return f.serveStart(g, k, j, r)
	default:
		return response{Refused: true}
	}
}

// serveLoan handles a message about a loan. Without loans it is answered as by a process that
// does not know the action.
func (f *Forwarder) serveLoan(r *request) response {
	if f.Loans == nil {
		return response{Refused: true}
	}
	reply := f.Loans.serve(r)
	return response{Refused: reply.Refused != "", Loan: &reply}
}

func (f *Forwarder) serveStart(g *carrier.Group, k transactionKey, j *carrier.Job, r *request) response {
	tx, answer := g.Start(j, r.ReadOnly, r.Command)
	if tx == nil {
		return response{Answer: answer}
	}
	h := &heldTransaction{tx: tx}
	f.transactions.mu.Lock()
	defer f.transactions.mu.Unlock()
	if f.transactions.open == nil {
		f.transactions.open = map[transactionKey]*heldTransaction{}
	}
	f.transactions.open[k] = h
	h.idleTimer = time.AfterFunc(idleTimeout, func() { f.rollBackIdle(k) })
	return response{Answer: answer}
}

// take returns a transaction for one statement, and removes it if that is the last.
func (t *transactionTable) take(k transactionKey, last bool) *heldTransaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.open[k]
	if h != nil && last {
		delete(t.open, k)
	}
	return h
}

func (f *Forwarder) serveInTransaction(k transactionKey, r *request) response {
	h := f.transactions.take(k, r.Action != doTx)
	if h == nil {
		return response{Refused: true}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idleTimer.Stop()
	j := r.job(f.Now())
	switch r.Action {
	case commitTx:
		return response{Answer: h.tx.Commit(j, r.Command)}
	case rollbackTx:
		h.tx.Rollback()
		return response{}
	}
	answer := h.tx.Do(j, r.Command)
	if answer.Code != carrier.OK {
		f.transactions.take(k, true)
		h.tx.Rollback()
		return response{Answer: answer}
	}
	h.idleTimer.Reset(idleTimeout)
	return response{Answer: answer}
}

// rollBackIdle rolls back a transaction whose peer has been silent for too long.
func (f *Forwarder) rollBackIdle(k transactionKey) {
	h := f.transactions.take(k, true)
	if h == nil {
		return
	}
	f.Log.Info("forwarder: idle transaction of a peer rolled back", zap.String("peer", k.peer), zap.Uint64("stream", k.stream))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tx.Rollback()
}
