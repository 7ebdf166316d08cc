package forwarder

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// affinity is a proxy's rendezvous hashing score for a workspace's statements of a group;
// the proxy with the highest runs them. A connection serves one workspace, and an
// upstream accepts few connections. Spread over all proxies, most statements would find
// no connection of their workspace and wait for a new one, which also takes a slot of the
// upstream.
func affinity(group, workspace, name string) uint64 {
	return xxhash.Sum64String(group + " " + workspace + " " + name)
}

// precedes reports whether peer p is preferred to another one for a workspace: first by
// whether it reaches the leader, then by affinity.
func (f *Forwarder) precedes(c criteria, p, other Candidate, now time.Time) bool {
	reaches := f.leaderFault(c.group, p, now).IsLeaderReachable()
	if reaches != f.leaderFault(c.group, other, now).IsLeaderReachable() {
		return reaches
	}
	return c.weight(p.Name) > c.weight(other.Name)
}

// prefersPeer reports whether a statement that this process could run goes to a peer
// anyway, because that one has the workspace's connections.
func (f *Forwarder) prefersPeer(c criteria, p Candidate) bool {
	if c.workspace == "" || p.isSubstitute || !f.leaderFault(c.group, p, f.Now()).IsLeaderReachable() {
		return false
	}
	return c.weight(p.Name) > c.weight(f.Name)
}

// weight orders the gateways for a statement of a workspace: the one that was chosen by load
// goes first, then affinity decides.
func (c criteria) weight(gateway string) uint64 {
	if c.preferred != "" && gateway == c.preferred {
		return math.MaxUint64
	}
	return affinity(c.group, c.workspace, gateway)
}
