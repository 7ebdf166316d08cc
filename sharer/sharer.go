package sharer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"basildale.example/basildale/limiter"
)

const (
	// tick is the time between two looks at the members, the open connections and
	// what is to be repeated.
	tick = 100 * time.Millisecond
	// turn is how long a proxy gives each one before it in a group's order to
	// change the members.
	turn = 2 * time.Second
	// sendWithin bounds a message; it is repeated at a later tick.
	sendWithin = time.Second
)

// Object is the platform's object of one group's shares.
type Object struct {
	Group   string
	Version uint64
	Record  limiter.Record
	Deleted bool
}

// Group is a group whose connections are shared, as configured.
type Group struct {
	Name        string
	Connections int // of each upstream, for all proxies
	Reserved    int // of these, the least that is kept for control
}

// Fleet is what is known of the proxies.
type Fleet struct {
	Live   []limiter.Member // believed alive, this process included
	Listed []string         // names in the platform's list as last read
	Reads  uint64           // how often the list was read
}

// Seen confirms that the sender keeps to a view.
type Seen struct {
	Group string
	Seq   uint64
}

// Message is what one proxy tells another.
type Message struct {
	Seen []Seen
	Gone bool // the sender has closed its last connection and opens none
}

// Sharer keeps the shares of all groups. Set the exported fields before Run. No
// function may call back into the Sharer.
type Sharer struct {
	// Self is this process.
	Self limiter.Member
	// Watch returns the objects changed after a version of the platform, and the
	// version to go on from; it may wait some seconds for a change.
	Watch func(ctx context.Context, after uint64) ([]Object, uint64, error)
	// Put changes a group's record if its version is still match, 0 for none yet.
	// After an error the watch tells whether it has happened.
	Put func(ctx context.Context, group string, r limiter.Record, match uint64) (uint64, error)
	// Groups returns the groups that this process serves.
	Groups func() []Group
	// Fleet returns what is known of the proxies.
	Fleet func() Fleet
	// Rank returns this process's place in the order of those who may change a
	// group's members; negative: not at all.
	Rank func(group string) int
	// Send sends a message to a peer and returns when it has been taken.
	Send func(ctx context.Context, to limiter.Member, m Message) error
	// Open counts the open connections for data to each upstream of a group, those
	// to former upstreams and those being opened too.
	Open func(group string) map[netip.AddrPort]int
	// Set bounds the connections to each upstream of a group. Idle ones above it
	// are closed at once, the others when they come back.
	Set func(group string, allowed func(netip.AddrPort) int)
	// Log gets the lines of this part; nil means none.
	Log *zap.Logger

	once   sync.Once
	kick   chan struct{}
	mu     sync.Mutex
	groups map[string]*group
	proofs proofs
}

func (s *Sharer) prepare() {
	s.kick = make(chan struct{}, 1)
	s.groups = make(map[string]*group)
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
}

// Run keeps the shares until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	s.once.Do(s.prepare)
	var watching sync.WaitGroup
	watching.Go(func() { s.follow(ctx) })
	defer watching.Wait()
	var work work
	defer work.running.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		s.round(ctx, &work)
		select {
		case <-ticker.C:
		case <-s.kick:
		case <-ctx.Done():
			return
		}
	}
}

// follow reads the platform's objects.
func (s *Sharer) follow(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = 5 * time.Second
	var after uint64
	for ctx.Err() == nil {
		objects, next, err := s.Watch(ctx, after)
		if err != nil {
			s.Log.Debug("sharer: platform not read", zap.Error(err))
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		after = next
		s.see(objects)
		if len(objects) == 0 {
			sleep(ctx, tick) // a platform that doesn't wait isn't asked without end
		}
	}
}

func (s *Sharer) see(objects []Object) {
	s.mu.Lock()
	for _, o := range objects {
		s.group(o.Group).see(o)
	}
	s.mu.Unlock()
	if len(objects) > 0 {
		s.wake()
	}
}

func (s *Sharer) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Sharer) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{name: name, shares: limiter.Shares{Self: s.Self}, told: make(map[limiter.Member]uint64)}
		s.groups[name] = g
	}
	return g
}

// Hear takes a peer's message.
func (s *Sharer) Hear(from limiter.Member, m Message) {
	s.once.Do(s.prepare)
	s.mu.Lock()
	if m.Gone {
		s.proofs.say(from)
	}
	for _, seen := range m.Seen {
		s.group(seen.Group).shares.ReceiveConfirmation(from, seen.Seq)
	}
	s.mu.Unlock()
	s.wake()
}

// Ready reports whether this process has a place in each group's division and
// all members keep to it.
func (s *Sharer) Ready() bool {
	s.once.Do(s.prepare)
	groups := s.Groups()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conf := range groups {
		g := s.groups[conf.Name]
		if g == nil || !g.settled() {
			return false
		}
	}
	return true
}

// Leave tells the others that this process has closed its connections for data
// and opens none any more. Without it they wait for the platform's list. It says
// nothing if connections are still open when ctx ends.
func (s *Sharer) Leave(ctx context.Context) {
	s.once.Do(s.prepare)
	groups := s.Groups()
	for s.holds(groups) {
		if ctx.Err() != nil {
			s.Log.Warn("sharer: connections are left at the end; the others wait for the platform's list")
			return
		}
		sleep(ctx, tick)
	}
	s.mu.Lock()
	peers := s.all(groups)
	s.mu.Unlock()
	var sending sync.WaitGroup
	for _, to := range peers {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, sendWithin)
			defer cancel()
			if err := s.Send(ctx, to, Message{Gone: true}); err != nil {
				s.Log.Debug("sharer: farewell lost", zap.String("peer", to.Name), zap.Error(err))
			}
		})
	}
	sending.Wait()
}

// holds reports whether this process has a connection for data open.
func (s *Sharer) holds(groups []Group) bool {
	for _, g := range groups {
		for _, n := range s.Open(g.Name) {
			if n > 0 {
				return true
			}
		}
	}
	return false
}

// all returns the other members of the groups, each once. The platform has groups
// of other workspaces too, whose proxies are none of our business.
func (s *Sharer) all(groups []Group) []limiter.Member {
	var list []limiter.Member
	for _, conf := range groups {
		for _, m := range s.group(conf.Name).others(s.Self) {
			if !slices.Contains(list, m) {
				list = append(list, m)
			}
		}
	}
	return list
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func names(members []limiter.Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Name
	}
	slices.Sort(list)
	return list
}
