package gossiper

import (
	"cmp"
	"slices"
	"time"
)

// Roster is one process's knowledge of the fleet: the membership list, on which all
// processes converge, and, apart from it, when a state of each peer was last
// received. Its zero value is empty.
type Roster struct {
	self    Member
	peers   map[string]*record
	updates updateQueue

	// digest is the hash of the list, this process included.
	digest uint32
	// sorted holds all other processes by name. successors are those that this process
	// sends to in each round on the rings, and predecessors those that send to it.
	// refreshRings computes them anew when the list has changed.
	sorted        []*record
	successors    []string
	predecessors  map[string]bool
	ringsOutdated bool
	fleetCache    []Member  // result of Fleet; nil after a change
	recent        []*record // received within aliveTimeout, and maybe some others; by name

	changes          []Change        // since the last call of Changes
	groupPeers       map[string]bool // gateways of the same groups, by the assignment
	wronglySuspected map[string]bool // received although their entry contradicts it: they are sent the entry
	lastSweep        time.Time
	listRequestedAt  time.Time // time of the last request for another process's list
	agreedInRow      int       // equal digests received in a row
	dissent          int       // differing digests received minus equal ones, not below 0
}

// record is what this process knows of another one.
type record struct {
	Peer
	entry         Member
	changedAt     time.Time // when its condition last changed
	expectedSince time.Time // since when a datagram is expected in each round; zero if none is
	trustedUntil  time.Time // until when this process does not suspect it
	isRecent      bool      // it is one of Roster.recent
}

// Change is a change of a process's condition, found here or received from others.
type Change struct {
	Member
	Before Condition
	// LastSeen is when a state of the process itself was last received; zero if never.
	LastSeen time.Time
}

// Changes returns the changes since the last call.
func (r *Roster) Changes() []Change {
	out := r.changes
	r.changes = nil
	return out
}

// SetSelf sets the entry of this process. Call it once, before any other method.
func (r *Roster) SetSelf(self Member) {
	r.self = self
	r.digest ^= self.digest()
	r.ringsOutdated = true
}

// AddListed adds a process from the store's list.
func (r *Roster) AddListed(s State, now time.Time) {
	if r.peers[s.Name] != nil || s.Name == r.self.Name {
		return
	}
	r.add(s.member(), now)
}

func (r *Roster) add(m Member, now time.Time) *record {
	if r.peers == nil {
		r.peers = map[string]*record{}
	}
	p := &record{Peer: Peer{State: m.state(), AddedAt: now}, entry: m, changedAt: now}
	r.peers[m.Name] = p
	r.digest ^= m.digest()
	r.ringsOutdated, r.fleetCache = true, nil
	return p
}

// state returns the state of a process from which none was received yet.
func (m *Member) state() State {
	return State{
		Name: m.Name, Zone: m.Zone, GossipAddr: m.GossipAddr, GatewayAddr: m.GatewayAddr, Millicores: m.Millicores,
		Start: m.Start, Incarnation: m.Incarnation,
	}
}

// Receive processes a state from a peer. One of an earlier start of the same process
// changes nothing.
func (r *Roster) Receive(s State, now time.Time) {
	m := s.member()
	p := r.peers[s.Name]
	switch {
	case s.Name == r.self.Name:
		return
	case p == nil:
		p = r.add(m, now)
		r.updates.push(m)
	case s.Start < p.Start:
		r.receiveEarlier(p, now)
		return
	case r.replaceIfNewer(p, m, now):
		r.updates.push(p.entry)
	}
	for _, update := range s.Updates {
		r.mergeUpdate(update, now)
	}
	r.compareDigest(s.FleetDigest)
	s.Updates = nil
	p.State, p.LastSeen = s, now
	r.addRecent(p)
	if p.entry.Condition != Alive {
		r.notifySuspect(p)
	}
}

// receiveEarlier handles a state of an earlier start, or of a start whose clock was set
// back. If the later start is not received any more, the sender is sent the entry about
// it, and raises its Start.
func (r *Roster) receiveEarlier(p *record, now time.Time) {
	if now.Sub(p.LastSeen) >= aliveTimeout {
		r.notifySuspect(p)
	}
}

// notifySuspect makes the next round send a process its entry in the list: it is received
// although the entry is suspect or dead, or about a later start. Only the process itself
// can refute the entry, and unrefuted it would be accepted by those that the process does
// not send to.
func (r *Roster) notifySuspect(p *record) {
	if r.wronglySuspected == nil {
		r.wronglySuspected = map[string]bool{}
	}
	r.wronglySuspected[p.Name] = true
	r.updates.push(p.entry)
}

// Fleet returns the other processes that are not dead, by name, whether they answer now
// or not. Gateways are assigned among them: assigned among those that answer, each lost
// datagram would move connections. The slice is not modified later.
func (r *Roster) Fleet() []Member {
	if r.fleetCache != nil {
		return r.fleetCache
	}
	r.refreshRings()
	r.fleetCache = make([]Member, 0, len(r.sorted))
	for _, p := range r.sorted {
		if p.entry.Condition != Dead {
			r.fleetCache = append(r.fleetCache, p.entry)
		}
	}
	return r.fleetCache
}

// addRecent adds a process to the recent ones.
func (r *Roster) addRecent(p *record) {
	if p.isRecent {
		return
	}
	p.isRecent = true
	i, _ := slices.BinarySearchFunc(r.recent, p.Name, func(o *record, name string) int { return cmp.Compare(o.Name, name) })
	r.recent = slices.Insert(r.recent, i, p)
}

// Live returns the peers that were received lately, by name. They include all peers that
// this process decides with, since it receives those in each round.
func (r *Roster) Live(now time.Time) []Peer {
	r.recent = slices.DeleteFunc(r.recent, func(p *record) bool {
		p.isRecent = now.Sub(p.LastSeen) < aliveTimeout
		return !p.isRecent
	})
	if len(r.recent) == 0 {
		return nil
	}
	out := make([]Peer, 0, len(r.recent))
	for _, p := range r.recent {
		out = append(out, p.Peer)
	}
	return out
}

// Reachable reports whether requests may be sent to a process, and returns its last
// state. One that was not received lately counts as reachable while its entry is alive
// and no datagram expected from it is overdue by suspectTimeout.
func (r *Roster) Reachable(name string, now time.Time) (Peer, bool) {
	p := r.peers[name]
	if p == nil || !p.isReachable(now) {
		return Peer{}, false
	}
	return p.Peer, true
}

func (p *record) isReachable(now time.Time) bool {
	if now.Sub(p.LastSeen) < aliveTimeout {
		return true
	}
	missed := !p.expectedSince.IsZero() && now.Sub(later(p.LastSeen, p.expectedSince)) >= suspectTimeout
	return p.entry.Condition == Alive && !missed
}

// ReachableNames returns the names of the processes to which requests may be sent.
func (r *Roster) ReachableNames(now time.Time) []string {
	r.refreshRings()
	var out []string
	for _, p := range r.sorted {
		if p.isReachable(now) {
			out = append(out, p.Name)
		}
	}
	return out
}
