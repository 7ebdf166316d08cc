package carrier

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the account of an upstream.
const (
	// usageSeconds is the number of seconds, the present one included, over which the use of
	// an upstream is summed.
	usageSeconds = 10
	// maxUsageAccounts is the number of workspaces with an account of their own at one
	// upstream. Together with their names' entries they take 11 kB.
	maxUsageAccounts = 64
)

// OtherWorkspaces is the name under which the use of workspaces without an account of their own
// is summed, in parentheses so that it is not taken for a workspace.
const OtherWorkspaces = "(others)"

// WorkspaceUsage is what a workspace uses of an upstream.
type WorkspaceUsage struct {
	// Workspace is empty for statements that belong to none, and for this process's own.
	Workspace string
	// Busy is the service time of the last 10 s, as seen from this process.
	Busy time.Duration
	// Running is the number of statements that run now.
	Running int
}

// UpstreamUsage is what this process's statements use of an upstream.
type UpstreamUsage struct {
	Group    string
	Upstream string
	// Leads reports whether the upstream leads the group, as far as this process knows.
	Leads bool
	// Slots is how many statements the upstream runs at a time; zero when unknown.
	Slots int
	// Waiting is the number of statements in this process's queue for the upstream.
	Waiting int
	// Workspaces holds the workspaces with any use, the one with the most first.
	Workspaces []WorkspaceUsage
}

// usage is the account of an upstream by workspace. When there are more workspaces than it has
// room for, the one with the least use gives its place up, so one that uses much always keeps
// its own. Its zero value is ready for use. It is not safe for concurrent use.
type usage struct {
	accounts map[string]*usageAccount
	other    usageAccount
}

// usageAccount is the use of one workspace.
type usageAccount struct {
	running int
	spent   [usageSeconds]time.Duration // by second, in a ring
	second  int64                       // the last one that spent accounts for
	sum     time.Duration               // of spent
}

// begin records that a statement of a workspace begins, and returns the account that it must be
// ended with.
func (u *usage) begin(workspace string, now time.Time) *usageAccount {
	a := u.accounts[workspace]
	if a == nil {
		a = u.add(workspace, now)
	}
	a.running++
	return a
}

// add returns an account for a workspace that has none, or the account of the others when
// every place is taken by a workspace with a running statement.
func (u *usage) add(workspace string, now time.Time) *usageAccount {
	if len(u.accounts) >= maxUsageAccounts && !u.dropLeast(now) {
		return &u.other
	}
	if u.accounts == nil {
		u.accounts = map[string]*usageAccount{}
	}
	a := &usageAccount{}
	u.accounts[workspace] = a
	return a
}

// dropLeast adds the account with the least use to the others, and reports whether there is
// one without a running statement.
func (u *usage) dropLeast(now time.Time) bool {
	var least *usageAccount
	var name string
	for workspace, a := range u.accounts {
		if a.running > 0 {
			continue
		}
		a.advance(now)
		if least == nil || a.sum < least.sum || a.sum == least.sum && workspace < name {
			least, name = a, workspace
		}
	}
	if least == nil {
		return false
	}
	u.other.advance(now)
	for i, d := range least.spent { // both are at the same second
		u.other.spent[i] += d
		u.other.sum += d
	}
	delete(u.accounts, name)
	return true
}

// end records that a statement ended after it took an amount of time.
func (a *usageAccount) end(took time.Duration, now time.Time) {
	a.running--
	a.advance(now)
	a.spent[a.second%usageSeconds] += took
	a.sum += took
}

// advance forgets what is older than usageSeconds.
func (a *usageAccount) advance(now time.Time) {
	second := now.Unix()
	for n := 0; a.second < second && n < usageSeconds; n++ {
		a.second = max(a.second+1, second-usageSeconds+1)
		i := a.second % usageSeconds
		a.sum -= a.spent[i]
		a.spent[i] = 0
	}
}

// list returns the use by workspace, the most first.
func (u *usage) list(now time.Time) []WorkspaceUsage {
	var out []WorkspaceUsage
	appendUse := func(workspace string, a *usageAccount) {
		if a.advance(now); a.sum > 0 || a.running > 0 {
			out = append(out, WorkspaceUsage{workspace, a.sum, a.running})
		}
	}
	for _, workspace := range slices.Sorted(maps.Keys(u.accounts)) {
		appendUse(workspace, u.accounts[workspace])
	}
	appendUse(OtherWorkspaces, &u.other)
	slices.SortStableFunc(out, func(x, y WorkspaceUsage) int {
		return cmp.Or(cmp.Compare(y.Busy, x.Busy), cmp.Compare(y.Running, x.Running))
	})
	return out
}

// Usage returns what this process's statements use of each upstream, by group and upstream.
// Upstreams that are not used are left out.
func (c *Registry) Usage() []UpstreamUsage {
	var out []UpstreamUsage
	now := c.Now()
	for _, g := range c.Groups() {
		out = g.appendUsage(out, now)
	}
	slices.SortFunc(out, func(x, y UpstreamUsage) int {
		return cmp.Or(cmp.Compare(x.Group, y.Group), cmp.Compare(x.Upstream, y.Upstream))
	})
	return out
}

func (g *Group) appendUsage(out []UpstreamUsage, now time.Time) []UpstreamUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.active {
		return out
	}
	for _, u := range g.upstreams {
		o := UpstreamUsage{Group: g.name, Upstream: u.id, Leads: u == g.leader, Slots: u.slots, Waiting: u.gate.Waiting(), Workspaces: u.usage.list(now)}
		if o.Waiting > 0 || len(o.Workspaces) > 0 {
			out = append(out, o)
		}
	}
	return out
}
