package messenger

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// link is one authenticated connection. Both sides send requests on it.
type link struct {
	m      *Messenger
	peer   Peer
	dialed bool // by this process
	stream *stream
	conn   *jsonrpc2.Conn
	idle   *time.Timer

	asking    chan struct{} // a token for each request under way to the peer
	serving   chan struct{} // a token for each request under way from the peer
	abandoned atomic.Int64  // requests given up whose answer hasn't come
	checking  atomic.Bool   // the peer is being asked whether it lives
	limited   atomic.Bool   // the peer has answered which messages it reads

	mu      sync.Mutex
	methods map[jsonrpc2.ID]Method // of requests being served, to count answers
}

// meta travels beside a request: the milliseconds that the asking side will
// still wait.
type meta struct {
	Wait int64 `json:"wait"`
}

func (m *Messenger) newLink(conn net.Conn, peer Peer, dialed bool) *link {
	l := &link{
		m: m, peer: peer, dialed: dialed,
		stream:  newStream(conn, m.maxMessage(), m.writeTimeout()),
		asking:  make(chan struct{}, m.maxInFlight()),
		serving: make(chan struct{}, m.maxInFlight()),
		methods: make(map[jsonrpc2.ID]Method),
	}
	return l
}

// start begins to read. The context of the messenger ends the link.
func (l *link) start(ctx context.Context) {
	l.idle = time.AfterFunc(l.m.idleTimeout(), l.closeIdle)
	quiet := log.New(io.Discard, "", 0)
	l.conn = jsonrpc2.NewConn(ctx, l.stream, l,
		jsonrpc2.SetLogger(quiet), jsonrpc2.OnRecv(l.received), jsonrpc2.OnSend(l.sending))
}

// close ends the link; the reader then ends all requests under way.
func (l *link) close() {
	_ = l.stream.Close()
	l.m.remove(l)
}

// closeIdle closes the link unless a request is under way.
func (l *link) closeIdle() {
	if len(l.asking) > 0 || len(l.serving) > 0 {
		l.idle.Reset(l.m.idleTimeout())
		return
	}
	l.close()
}

// call sends one request and waits for its answer or the end of ctx, whichever
// comes first. An answer that comes later reaches nobody.
func (l *link) call(ctx context.Context, method Method, req, reply any) error {
	select {
	case l.asking <- struct{}{}:
	default:
		return ErrBusy
	}
	l.idle.Reset(l.m.idleTimeout())
	before := l.stream.seen.Load()
	var raw json.RawMessage
	done := make(chan error, 1)
	go func() {
		defer func() { <-l.asking }()
		done <- l.send(ctx, method, req, &raw)
	}()
	watch := l.m.watch(func() { l.check(before) })
	defer watch.Stop()
	select {
	case err := <-done:
		if ctx.Err() == nil {
			return l.finish(err, raw, reply)
		}
	case <-ctx.Done():
	}
	l.giveUp(before)
	return errors.Wrapf(ErrDeadline, "%s to %s", method, l.peer.Addr)
}

// check asks a peer whether it lives that has sent nothing since a request, and
// closes the link when it doesn't answer that either. A peer that was cut off or
// stands still would otherwise take each request's whole time; one that works on
// a long request answers the ping.
func (l *link) check(before int64) {
	if l.stream.seen.Load() != before || !l.checking.CompareAndSwap(false, true) {
		return
	}
	defer l.checking.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), l.m.Silence)
	defer cancel()
	_ = l.send(ctx, MethodPing, Ping{}, nil) // any answer shows as a message that was read
	if l.stream.seen.Load() == before {
		l.close()
	}
}

func (l *link) send(ctx context.Context, method Method, req, raw any) error {
	deadline, _ := ctx.Deadline()
	wait := meta{Wait: time.Until(deadline).Milliseconds()}
	id := jsonrpc2.ID{Num: l.m.ids.Add(1)}
	err := l.conn.Call(ctx, string(method), req, raw, jsonrpc2.PickID(id), jsonrpc2.Meta(wait))
	if errors.Is(err, ErrSize) && l.raiseLimit(ctx) {
		err = l.conn.Call(ctx, string(method), req, raw, jsonrpc2.PickID(id), jsonrpc2.Meta(wait))
	}
	return err
}

// raiseLimit asks the peer which messages it reads, unless it has answered that,
// and reports whether larger ones may be sent now. A peer of an earlier build
// doesn't know the method, and would close the link on a larger message.
func (l *link) raiseLimit(ctx context.Context) bool {
	if l.m.maxMessage() <= DefaultMaxMessage || l.limited.Load() {
		return false
	}
	var answer Limit
	err := l.conn.Call(ctx, string(MethodLimit), Empty{}, &answer, jsonrpc2.PickID(jsonrpc2.ID{Num: l.m.ids.Add(1)}))
	if err != nil && !errors.Is(decodeError(err), ErrMethod) {
		return false
	}
	l.limited.Store(true)
	limit := int64(min(answer.Bytes, l.m.maxMessage()))
	if limit <= l.stream.limit.Load() {
		return false
	}
	l.stream.limit.Store(limit)
	return true
}

func (l *link) finish(err error, raw json.RawMessage, reply any) error {
	if err != nil {
		err = decodeError(err)
		if errors.Is(err, ErrClosed) {
			// Otherwise the caller's next request could still find this link.
			l.m.remove(l)
		}
		return err
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return errors.Wrap(err, "messenger: decode answer")
	}
	return nil
}

// giveUp accounts for a request whose deadline has passed. The library keeps
// such a request until its answer comes. A peer whose host vanished never
// answers, and TCP alone would notice only after many minutes, during which all
// calls to it would run into their deadlines. So a link on which nothing came in
// since the request, or on which too many are left over, is closed; the next
// call opens a new one.
func (l *link) giveUp(before int64) {
	silent := l.stream.seen.Load() == before
	if l.abandoned.Add(1) >= int64(l.m.maxInFlight()) || silent {
		l.close()
	}
}

// Handle implements jsonrpc2.Handler. The library calls it from the one reader.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	select {
	case l.serving <- struct{}{}:
	default:
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(ErrBusy))
		return
	}
	l.idle.Reset(l.m.idleTimeout())
	isLarge := l.stream.in > DefaultMaxMessage
	if isLarge && l.m.large.Add(1) > int64(l.m.maxLarge()) {
		l.m.large.Add(-1)
		<-l.serving
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(ErrLarge))
		return
	}
	go func() {
		defer func() { <-l.serving }()
		l.serve(ctx, conn, req)
		if isLarge {
			l.m.large.Add(-1)
		}
	}()
}

// serve runs the handler of one request and sends the answer, unless the asking
// side has stopped waiting.
func (l *link) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, l.wait(req))
	defer cancel()
	var raw []byte
	if req.Params != nil {
		raw = *req.Params
	}
	answer, err := l.answer(ctx, Method(req.Method), raw)
	if ctx.Err() != nil {
		l.forget(req.ID)
		return
	}
	if err != nil {
		err = conn.ReplyWithError(ctx, req.ID, encodeError(err))
	} else {
		err = conn.Reply(ctx, req.ID, answer)
		if errors.Is(err, ErrSize) && l.raiseLimit(ctx) {
			err = conn.Reply(ctx, req.ID, answer)
		}
	}
	if errors.Is(err, ErrSize) {
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(errors.Mark(err, ErrAnswer)))
	}
}

// answer returns the answer to one request.
func (l *link) answer(ctx context.Context, method Method, raw []byte) (any, error) {
	if method == MethodLimit {
		return Limit{l.m.maxMessage()}, nil
	}
	return l.m.Handler.dispatch(ctx, l.peer, method, raw)
}

// wait is how long the asking side waits, at most the own limit.
func (l *link) wait(req *jsonrpc2.Request) time.Duration {
	limit := l.m.callTimeout()
	var w meta
	if req.Meta == nil || json.Unmarshal(*req.Meta, &w) != nil || w.Wait <= 0 {
		return limit
	}
	return min(limit, time.Duration(w.Wait)*time.Millisecond)
}

// received counts what was read. The library calls it from the one reader, right
// after the message.
func (l *link) received(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp != nil && req == nil {
		return
	}
	l.m.count(Method(req.Method), "in", l.stream.in)
	if resp == nil && !req.Notif {
		l.mu.Lock()
		l.methods[req.ID] = Method(req.Method)
		l.mu.Unlock()
	}
}

// sending tells the stream how to count the next message. The library calls it
// right before the write, under the same lock.
func (l *link) sending(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	var method Method
	if req != nil {
		method = Method(req.Method)
	} else {
		method = l.forget(resp.ID)
	}
	l.stream.sent = func(bytes int) { l.m.count(method, "out", bytes) }
}

// forget returns the method of a request that was served, and drops it.
func (l *link) forget(id jsonrpc2.ID) Method {
	l.mu.Lock()
	defer l.mu.Unlock()
	method := l.methods[id]
	delete(l.methods, id)
	return method
}
