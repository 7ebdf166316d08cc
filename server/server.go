package server

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/adapter/listener"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

// Group is one database group as its upstreams are reached.
type Group struct {
	Name      string
	Upstreams []netip.AddrPort
	// User, Password and Database are those of the proxy's own connections.
	// Database defaults to Name.
	User     string
	Password string
	Database string
	// TLS, when set, is insisted on towards the upstreams.
	TLS *tls.Config
	// Connections is the share of this proxy of each upstream's connections.
	Connections int
	// Shared is set when the share comes by [Server.Share] instead; before that
	// there is none.
	Shared bool
	// Opening is how many connections to each upstream are opened a second at
	// most; 0 means that they are opened when they are needed.
	Opening float64
	// Warm is how many of them are opened before they are needed.
	Warm int
}

// Control is what decides. Nil fields take the plain defaults.
type Control struct {
	Login   func(user, database string) (relayer.Account, bool)
	Terms   func(a *relayer.Account) relayer.Terms
	Route   func(ctx context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal)
	Release func(t relayer.Target, served bool)
	Yield   func(t *relayer.Target)
	Confirm func(ctx context.Context, t relayer.Target, mark tracker.Mark, r *relayer.Request) retrier.Outcome
	Observe func(t relayer.Target, r *relayer.Request, o retrier.Outcome)
	// Unreached is told that no connection to a target could be opened.
	Unreached     func(t relayer.Target)
	Decide        func(group string, r *retrier.Request, o retrier.Outcome) retrier.Decision
	Settle        func(ctx context.Context, group, id string, r *relayer.Request) retrier.Settlement
	Settled       func(group string, r *retrier.Request, s retrier.Settlement) retrier.Decision
	ForwardCancel func(index uint16, key relayer.Key)
}

// Server is one proxy process. Set the exported fields before Run.
type Server struct {
	// Listen is the address for callers; port 0 takes a free one, see Bound.
	Listen netip.AddrPort
	// Zone is the availability zone of this instance.
	Zone string
	// Index is the proxy's number in the fleet, below 4096.
	Index uint16
	// Groups are the database groups that callers may use.
	Groups []Group
	// TLS serves callers that ask for it; nil means that there is none.
	TLS *tls.Config
	// Limits bound the sessions.
	Limits relayer.Limits
	// Buffer bounds what is kept for a caller that reads slowly, in bytes; 0 means
	// 256 KiB.
	Buffer int
	// Grace bounds how long a stop waits for requests in flight; 0 means 30 s.
	Grace time.Duration
	// Control decides; its zero value serves the groups as they are given.
	Control Control
	// Log gets the process's lines; nil means none.
	Log *zap.Logger

	once     sync.Once
	closed   atomic.Bool // the listener takes no more callers
	started  chan struct{}
	listener *listener.Listener
	relay    *relayer.Relay
	pools    pools
	fixed    fixed
	retries  retries
	held     held
}

const defaultGrace = 30 * time.Second

// answerTime bounds how long the last answers may take once the results of statements are not
// awaited any more.
const answerTime = time.Second

// Started is closed when callers can connect.
func (s *Server) Started() <-chan struct{} {
	s.once.Do(s.prepare)
	return s.started
}

// Bound returns the address that callers connect to, after Started.
func (s *Server) Bound() netip.AddrPort { return s.listener.Bound() }

// Run serves callers until ctx ends, and then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.prepare)
	if err := s.listener.Start(); err != nil {
		return err
	}
	s.pools.warm(ctx, s.Log)
	close(s.started)
	s.Log.Info("server: ready", zap.Stringer("address", s.Bound()), zap.String("zone", s.Zone))
	<-ctx.Done()
	s.stop()
	return nil
}

// stop ends sessions between their requests, waits for those in flight, and
// closes what is left.
func (s *Server) stop() {
	s.Log.Info("server: stopping")
	s.listener.StopAccepting()
	left := s.relay.Drain(time.Now().Add(s.Grace))
	if left > 0 {
		s.Log.Warn("server: sessions cut off", zap.Int("sessions", left))
	}
	s.relay.AnswerRest(time.Now().Add(answerTime))
	s.listener.Stop()
	s.pools.stop()
	s.Log.Info("server: stopped")
}

func (s *Server) prepare() {
	s.started = make(chan struct{})
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Grace == 0 {
		s.Grace = defaultGrace
	}
	s.pools.set(s.Groups)
	s.fixed.set(s.Groups)
	s.retries.set(s.Groups)
	s.defaults()
	s.relay = &relayer.Relay{
		Index:         s.Index,
		Login:         s.Control.Login,
		Terms:         s.Control.Terms,
		Route:         s.Control.Route,
		Acquire:       s.acquire,
		Release:       s.release,
		Yield:         s.Control.Yield,
		Confirm:       s.Control.Confirm,
		Observe:       s.Control.Observe,
		Decide:        s.Control.Decide,
		Settle:        s.Control.Settle,
		Settled:       s.Control.Settled,
		ForwardCancel: s.Control.ForwardCancel,
		TLS:           s.TLS,
		Limits:        s.Limits,
		Log:           s.Log,
	}
	s.listener = &listener.Listener{
		Address:   s.Listen,
		Open:      s.open,
		Farewell:  relayer.Farewell(),
		MaxUnsent: s.Buffer,
		Log:       s.Log,
	}
}

func (s *Server) defaults() {
	if s.Control.Login == nil {
		s.Control.Login = s.fixed.login
	}
	if s.Control.Route == nil {
		s.Control.Route = s.fixed.route
	}
	if s.Control.Decide == nil {
		s.Control.Decide, s.Control.Settled = s.retries.decide, s.retries.settled
		s.Control.Route = s.retries.counted(s.Control.Route)
	}
	if s.Control.Release == nil {
		s.Control.Release = func(relayer.Target, bool) {}
	}
}

func (s *Server) open(c *listener.Conn) listener.Handler {
	session := s.relay.Open(c)
	if session == nil {
		return nil // a nil *Session in the interface would not be nil
	}
	return session
}

// Configure changes the groups and the shares of their connections. It may be
// called at any time.
func (s *Server) Configure(groups []Group) {
	s.once.Do(s.prepare)
	s.pools.set(groups)
}

// acquire takes a connection for a unit. Where there is none, the unit's use of
// the target ends at once: the router would go on counting it otherwise.
func (s *Server) acquire(ctx context.Context, t relayer.Target, r *relayer.Request) (*relayer.Upstream, *relayer.Refusal) {
	u, refusal := s.pools.acquire(ctx, t, r)
	if refusal != nil {
		if refusal.Outcome.Cause == retrier.NeverSent && s.Control.Unreached != nil {
			s.Control.Unreached(t)
		}
		s.Control.Release(t, false)
		return nil, refusal
	}
	s.held.add(u, t)
	return u, nil
}

func (s *Server) release(t relayer.Target, u *relayer.Upstream, healthy bool) {
	s.held.remove(u)
	u.Back(u, healthy)
	s.Control.Release(t, healthy)
}

// Cancel carries out a cancel request that another proxy has forwarded.
func (s *Server) Cancel(key relayer.Key) bool { return s.relay.Cancel(key) }
