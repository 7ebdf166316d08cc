package carrier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// Errors with which opening a link can end, besides network errors.
var (
	// ErrConnectionLimit means that the upstream is at its connection limit.
	ErrConnectionLimit = errors.New("carrier: upstream has too many connections")
	// ErrHandshakeTimeout means that the upstream accepted the connection but did not
	// complete the handshake in time: it is alive and has no free slot for it.
	ErrHandshakeTimeout = errors.New("carrier: upstream is too busy for another connection")
	// ErrMisdirected means that another upstream answers at the address.
	ErrMisdirected = errors.New("carrier: another upstream is at the address")
)

// Errors with which an exchange can end, besides network errors.
var (
	// ErrOutOfStep means that an answer cannot be that of its command.
	ErrOutOfStep = errors.New("carrier: answer out of step")
	// ErrTooLong means that the upstream accepts no message of a command's length. Nothing was
	// sent, and the link goes on.
	ErrTooLong = errors.New("carrier: command too long")
	// ErrReported means that the link can carry no further report. Nothing was sent.
	ErrReported = errors.New("carrier: the connection has carried a report")
)

// Registry holds the groups. Set the exported fields before the first use.
type Registry struct {
	// Zone is this process's availability zone.
	Zone string
	// LeaveTimeout is how long an upstream that has announced that it is leaving may get
	// new work; zero means no limit.
	LeaveTimeout time.Duration
	// Dial opens a link to an upstream for the statements of a workspace. The empty
	// workspace stands for statements that belong to none, and for this process's own.
	Dial func(ctx context.Context, u cataloger.Upstream, workspace string) (Link, error)
	// ConnectionShares, when set, returns for each group how many connections this process
	// may have to each upstream, given the connections that all proxies share and the
	// number of proxies.
	ConnectionShares func(maxConns map[string]int, proxies int) map[string]int
	// CountPlacement, when set, counts each choice of an upstream by its reason.
	CountPlacement func(reason string)
	// CountOpening, when set, counts a connection that was opened while connections are divided
	// by demand, and whether that was before a caller asked for it.
	CountOpening func(ahead bool)
	// RequestSample, when set, requests from a peer a position of the group's leader that
	// is taken after the request.
	RequestSample func(group string) (tracker.Mark, bool)
	// Features, when set, returns the features in force. They can change at any time.
	Features func() Features
	// Now is a clock that also counts the time in which the machine is suspended. Its times
	// are only compared with each other.
	Now func() time.Time
	Log *zap.Logger

	connections atomic.Uint64 // opened so far

	mu       sync.Mutex
	groups   map[string]*Group
	busy     map[*Group]bool // those with something to check; the others are idle
	shares   map[string]int  // connections of this process to each upstream of a group
	maxConns map[string]int  // connections to each upstream of a group that all proxies share
}

// reservedConns is how many connections of each upstream are left out of the shares. They
// are for a proxy that was killed and is back before the upstream has dropped its old
// connections, and for the processes that carry out a change of leader.
const reservedConns = 4

// Group returns a group by its name, and whether it is known: the configuration names it,
// or an upstream of it is listed. Statements for a group without upstreams wait for one, as
// they do for a leader. After a power failure of the whole fleet the configuration may be
// known half a second before the upstreams; callers that were refused at once had used up
// their retries by then.
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

// SetUpstreams replaces the known upstreams by those that the store lists.
func (c *Registry) SetUpstreams(list []cataloger.Upstream) {
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

// SetGroupUpstreams replaces the known upstreams of one group.
func (c *Registry) SetGroupUpstreams(group string, list []cataloger.Upstream) {
	c.ensure(group).apply(list)
}

// ensure returns a group, and creates it unless it exists.
func (c *Registry) ensure(name string) *Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groups == nil {
		c.groups, c.busy = map[string]*Group{}, map[*Group]bool{}
	}
	if c.groups[name] == nil {
		c.groups[name] = &Group{name: name, registry: c, changed: make(chan struct{}), leaderlessSince: c.Now(), active: c.ConnectionShares == nil}
		c.busy[c.groups[name]] = true
	}
	return c.groups[name]
}

// setBusy records whether a group has something to check.
func (c *Registry) setBusy(g *Group, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !busy:
		delete(c.busy, g)
	case c.busy == nil:
		c.busy = map[*Group]bool{g: true}
	default:
		c.busy[g] = true
	}
}

// busyGroups returns the groups that have something to check.
func (c *Registry) busyGroups() []*Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*Group, 0, len(c.busy))
	for g := range c.busy {
		out = append(out, g)
	}
	return out
}

// DivideConnections sets how many proxies share the connections of the upstreams, and how
// many connections each upstream of a group accepts.
func (c *Registry) DivideConnections(proxies int, settings []cataloger.GroupSettings) {
	maxConns := make(map[string]int, len(settings))
	for _, s := range settings {
		maxConns[s.Name] = s.MaxConnections - reservedConns
	}
	shares := c.computeShares(maxConns, proxies)
	for _, s := range settings {
		c.ensure(s.Name)
	}
	for _, g := range c.Groups() {
		if shares[g.name] > 0 {
			g.activate() // before the share shows that the group can be used
		}
	}
	c.mu.Lock()
	c.shares, c.maxConns = shares, maxConns
	c.mu.Unlock()
	for _, g := range c.Groups() {
		g.applyShare()
	}
}

// Gateways returns the groups that this process is a gateway of.
func (c *Registry) Gateways() []*Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Group
	for name, share := range c.shares {
		if g := c.groups[name]; share > 0 && g != nil {
			out = append(out, g)
		}
	}
	return out
}

func (c *Registry) computeShares(maxConns map[string]int, proxies int) map[string]int {
	if c.ConnectionShares != nil {
		return c.ConnectionShares(maxConns, proxies)
	}
	shares := make(map[string]int, len(maxConns))
	for group, n := range maxConns {
		shares[group] = max(1, n/max(1, proxies))
	}
	return shares
}

// share returns how many connections this proxy may have to each upstream of a group. While
// the group's share is not known it is zero, or one where nothing divides the connections.
func (c *Registry) share(group string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, known := c.shares[group]; known || c.ConnectionShares != nil {
		return n
	}
	return 1
}

// minWindow returns how many statements this proxy may always have at an upstream with the
// given number of slots, however many the other proxies have there.
func (c *Registry) minWindow(group string, slots int) int {
	share := c.share(group)
	c.mu.Lock()
	defer c.mu.Unlock()
	return windowShare(slots, share, c.maxConns[group])
}

// CheckUpstreams checks upstreams that do not answer. It must be called about ten times a second.
func (c *Registry) CheckUpstreams() {
	now := c.Now()
	for _, g := range c.busyGroups() {
		g.tick(now)
	}
}

// Stop closes all connections.
func (c *Registry) Stop() {
	for _, g := range c.Groups() {
		g.dropAll()
	}
}

// dropAll drops all upstreams. An empty list would not: one that answers is kept for a while
// when it is no longer listed.
func (g *Group) dropAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.upstreams {
		g.drop(u)
	}
	g.upstreams, g.listed = nil, nil
	g.notifyWaiters()
}
