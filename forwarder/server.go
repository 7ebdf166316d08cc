package forwarder

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
)

// restFor is how long a transaction that is carried for a peer may rest. A caller
// may leave it idle for 3 s; its proxy ends it then, unless it has died.
const restFor = 4 * time.Second

// key names a transaction that is carried for a peer.
type key struct {
	peer   string
	stream uint64
}

// server holds the transactions that are carried for peers.
type server struct {
	mu   sync.Mutex
	open map[key]*held
}

// held is one of them.
type held struct {
	mu   sync.Mutex // one statement at a time
	tx   carrier.Transaction
	rest *time.Timer
}

// OpenTransactions returns how many transactions are carried for peers.
func (f *Forwarder) OpenTransactions() int {
	f.serving.mu.Lock()
	defer f.serving.mu.Unlock()
	return len(f.serving.open)
}

// Serve carries what a peer asks for. The name tells peers, and runs of a peer,
// apart.
func (f *Forwarder) Serve(peer string, payload json.RawMessage) (json.RawMessage, error) {
	var r request
	if err := json.Unmarshal(payload, &r); err != nil {
		return nil, errors.Wrap(err, "forwarder: request")
	}
	resp := f.serve(peer, &r)
	if f.LeaderFault != nil {
		resp.Trouble = f.LeaderFault(r.Group)
	}
	out, err := json.Marshal(resp)
	return out, errors.Wrap(err, "forwarder: response")
}

func (f *Forwarder) serve(peer string, r *request) response {
	k := key{peer, r.Stream}
	switch r.Action {
	case doTx, commitTx, rollbackTx:
		return f.inside(k, r)
	}
	g, ok := f.Local(r.Group)
	if !ok || !g.IsGateway() {
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
	j.CanForward = func() bool { return true } // the sender asks the next one rather than wait here
	switch r.Action {
	case runOne:
		return response{Answer: g.Run(j, r.Command)}
	case commitEmpty:
		return response{Answer: g.CommitEmpty(j, r.ReadOnly, r.Command)}
	case startTx:
		return f.begin(g, k, j, r)
	default:
		return response{Refused: true}
	}
}

func (f *Forwarder) begin(g *carrier.Group, k key, j *carrier.Job, r *request) response {
	tx, answer := g.Start(j, r.ReadOnly, r.Command)
	if tx == nil {
		return response{Answer: answer}
	}
	h := &held{tx: tx}
	f.serving.mu.Lock()
	defer f.serving.mu.Unlock()
	if f.serving.open == nil {
		f.serving.open = map[key]*held{}
	}
	f.serving.open[k] = h
	h.rest = time.AfterFunc(restFor, func() { f.expire(k) })
	return response{Answer: answer}
}

// take returns a transaction for one statement; last takes it out.
func (s *server) take(k key, last bool) *held {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[k]
	if h != nil && last {
		delete(s.open, k)
	}
	return h
}

func (f *Forwarder) inside(k key, r *request) response {
	h := f.serving.take(k, r.Action != doTx)
	if h == nil {
		return response{Refused: true}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rest.Stop()
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
		f.serving.take(k, true)
		h.tx.Rollback()
		return response{Answer: answer}
	}
	h.rest.Reset(restFor)
	return response{Answer: answer}
}

// expire rolls back a transaction whose peer has been silent for too long.
func (f *Forwarder) expire(k key) {
	h := f.serving.take(k, true)
	if h == nil {
		return
	}
	f.Log.Info("forwarder: transaction of a silent peer rolled back", zap.String("peer", k.peer), zap.Uint64("stream", k.stream))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tx.Rollback()
}
