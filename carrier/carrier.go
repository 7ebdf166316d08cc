package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// What opening a link can end with, besides errors of the network.
var (
	// ErrConnectionLimit means that the upstream has as many connections as it takes.
	ErrConnectionLimit = errors.New("carrier: upstream has too many connections")
	// ErrHandshakeTimeout means that the upstream took the connection and didn't greet in
	// time: it lives, and has no slot for it.
	ErrHandshakeTimeout = errors.New("carrier: upstream is too busy for another connection")
	// ErrMisdirected means that another upstream answers at the address.
	ErrMisdirected = errors.New("carrier: another upstream is at the address")
)

// Registry holds the groups. Set the exported fields before the first use.
type Registry struct {
	// Zone is this process's availability zone.
	Zone string
	// LeaveTimeout is how long an upstream that says that it leaves may get new work; zero sets
	// no bound.
	LeaveTimeout time.Duration
	// Dial opens a link to an upstream for the statements of a workspace; "" stands for
	// those that belong to none, and for the process's own.
	Dial func(ctx context.Context, u cataloger.Upstream, workspace string) (Link, error)
	// ConnectionShares, when set, says for each group how many connections this process may have
	// to each upstream, which takes so many from so many proxies.
	ConnectionShares func(most map[string]int, proxies int) map[string]int
	// CountPlacement, when set, counts each choice of an upstream by its reason.
	CountPlacement func(reason string)
	// RequestSample, when set, asks a peer for a position of a group's leader that is
	// taken after the question.
	RequestSample func(group string) (tracker.Mark, bool)
	// Now is a clock that also counts the time in which the machine is
	// suspended. It is only compared with itself.
	Now func() time.Time
	Log *zap.Logger

	mu     sync.Mutex
	groups map[string]*Group
	shares map[string]int
	most   map[string]int // connections of each upstream of a group that all proxies share
}

// reserved is how many connections of each upstream no proxy takes: those of a
// proxy that was killed and comes back before the old ones are dropped, and the
// ones that leaders of a change need.
const reserved = 4

// Group returns a group by its name, and whether it is known: the configuration
// names it, or an upstream of it is listed. Statements of a group without upstreams
// wait for one as they do for a leader. After a loss of power everywhere the
// configuration may be known half a second before the upstreams; refused at once,
// callers had used up their tries by then.
func (c *Registry) Group(name string) (*Group, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.groups[name]
	return g, ok
}

// Groups returns all groups.
func (c *Registry) Groups() []*Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*Group, 0, len(c.groups))
	for _, g := range c.groups {
		out = append(out, g)
	}
	return out
}

// Apply takes in the upstreams that the store lists.
func (c *Registry) Apply(list []cataloger.Upstream) {
	byGroup := map[string][]cataloger.Upstream{}
	for _, u := range list {
		byGroup[u.Group] = append(byGroup[u.Group], u)
	}
	for name := range byGroup {
		c.ensure(name)
	}
	for _, g := range c.Groups() {
		g.apply(byGroup[g.name])
	}
}

func (c *Registry) ensure(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groups == nil {
		c.groups = map[string]*Group{}
	}
	if c.groups[name] == nil {
		c.groups[name] = &Group{name: name, carrier: c, changed: make(chan struct{}), leaderless: c.Now()}
	}
}

// DivideConnections says how many proxies share the connections of the upstreams, and how
// many connections each upstream of a group takes.
func (c *Registry) DivideConnections(proxies int, settings []cataloger.GroupSettings) {
	most := make(map[string]int, len(settings))
	for _, s := range settings {
		most[s.Name] = s.MaxConnections - reserved
	}
	shares := c.divided(most, proxies)
	c.mu.Lock()
	c.shares, c.most = shares, most
	c.mu.Unlock()
	for _, s := range settings {
		c.ensure(s.Name)
	}
	for _, g := range c.Groups() {
		g.divide()
	}
}

func (c *Registry) divided(most map[string]int, proxies int) map[string]int {
	if c.ConnectionShares != nil {
		return c.ConnectionShares(most, proxies)
	}
	shares := make(map[string]int, len(most))
	for group, n := range most {
		shares[group] = max(1, n/max(1, proxies))
	}
	return shares
}

// share returns how many connections this proxy may have to each upstream of a
// group; one while nothing is known of the group.
func (c *Registry) share(group string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, known := c.shares[group]; known {
		return n
	}
	return 1
}

// window returns how many statements this proxy may have at an upstream with so many
// slots, whatever the others have there.
func (c *Registry) window(group string, slots int) int {
	share := c.share(group)
	c.mu.Lock()
	defer c.mu.Unlock()
	return part(slots, share, c.most[group])
}

// Tick looks after upstreams that don't answer. It is called about each tenth of
// a second.
func (c *Registry) Tick() {
	now := c.Now()
	for _, g := range c.Groups() {
		g.tick(now)
	}
}

// Stop closes all connections.
func (c *Registry) Stop() {
	for _, g := range c.Groups() {
		g.apply(nil)
	}
}
