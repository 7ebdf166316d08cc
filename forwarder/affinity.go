package forwarder

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// affinity is a proxy's place in the order in which proxies carry a workspace's
// statements of a group: the one with the highest goes first. A connection serves one
// workspace, and an upstream takes few. Carried by whichever proxy is next, most
// statements would find no connection of their workspace and wait for a new one, which
// also takes a slot of the upstream.
func affinity(group, workspace, name string) uint64 {
	return xxhash.Sum64String(group + " " + workspace + " " + name)
}

// precedes reports whether a peer goes before another one for a workspace: one that
// reaches the leader first, then by affinity.
func (f *Forwarder) precedes(w wish, p, other Candidate, now time.Time) bool {
	reaches := f.trouble(w.group, p, now).IsLeaderReachable()
	if reaches != f.trouble(w.group, other, now).IsLeaderReachable() {
		return reaches
	}
	return affinity(w.group, w.workspace, p.Name) > affinity(w.group, w.workspace, other.Name)
}

// prefers reports whether a statement that this process could carry goes to a peer all
// the same, since that one has its workspace's connections.
func (f *Forwarder) prefers(w wish, p Candidate) bool {
	if w.workspace == "" || !f.trouble(w.group, p, f.Now()).IsLeaderReachable() {
		return false
	}
	return affinity(w.group, w.workspace, p.Name) > affinity(w.group, w.workspace, f.Name)
}
