package gossiper

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/tracker"
)

// Times and bounds of the roster.
const (
	// Period is the time between two rounds of datagrams.
	//
	// News is sent at once, so the period only bounds how late a death is noticed.
	// The bytes between zones, which are paid for, fall with it: a calm day of nine
	// proxies cost 0.004 less of what their work earns at 500 ms, with two watchers
	// of the store in place of nine, than at 250 ms.
	Period = 500 * time.Millisecond
	// fanout is how many peers get a datagram each round. With up to as many
	// peers each hears from each other one twice a second.
	fanout = 12
	// strangers is how many of these are drawn at random in a larger fleet, where
	// the rest, Nearest, goes to those that carry for the same groups.
	strangers = 4
	// Nearest is how many of those that carry for the same groups get a datagram each
	// round, those of groups that the sender has the duty for first.
	Nearest = fanout - strangers
	// patience is the number of rounds after which a peer that should have been
	// heard counts as silent. Some of ten datagrams get lost; all never do.
	patience = 4
	// quiet is how long nobody may be heard before this process counts as cut off from
	// all. In a fleet of nine 16 datagrams come each second, in larger ones 24.
	quiet = 3 * Period / 2
	// memory is how long a silent peer still counts as one that may hold
	// connections. A process that is cut off from the others keeps its own.
	memory = 30 * time.Second
	// introduction is how long one that was only listed counts as one that may: each
	// that lives is heard within that, in a large fleet too.
	introduction = 8 * time.Second
	// forget is when a peer that isn't heard any more is dropped altogether.
	forget = 10 * time.Minute
)

// Trouble says what is wrong with a group's leader, seen from one process.
type Trouble uint8

// The troubles.
const (
	NoTrouble   Trouble = iota
	Unreachable         // it doesn't answer
	Stuck               // it answers, but commits aren't acknowledged
	Failing             // it answers, and fails much of what it is asked
	Blind               // it doesn't answer, and nobody does who could lead next
)

// Reaches reports whether who sees the trouble can have statements run by the leader.
func (t Trouble) Reaches() bool { return t == NoTrouble || t == Failing }

// GroupState is what one process says of a database group.
type GroupState struct {
	Leader  string  `cbor:"1,keyasint,omitempty"`
	Trouble Trouble `cbor:"2,keyasint,omitempty"`
	// Carries says that the sender has connections to the group's upstreams.
	Carries bool `cbor:"3,keyasint,omitempty"`
	// Token is that of the sender's duty for the group; zero when it has none.
	Token uint64 `cbor:"4,keyasint,omitempty"`
	// Fenced is the upstream that the sender, as holder, is replacing and has
	// halted the replicas of, and FenceTerm the term for which. Peers that reach
	// that upstream take the lead from it.
	Fenced    string       `cbor:"5,keyasint,omitempty"`
	FenceTerm tracker.Term `cbor:"6,keyasint,omitzero"`
}

// State is what one process says of itself.
type State struct {
	Name  string `cbor:"1,keyasint"`
	Zone  string `cbor:"2,keyasint"`
	Start int64  `cbor:"3,keyasint"` // tells runs of one name apart; later ones are greater
	// Peers, Carries and Operators are its addresses: for datagrams, for statements
	// that it carries for others, and for HTTP.
	Peers     netip.AddrPort `cbor:"4,keyasint"`
	Carries   netip.AddrPort `cbor:"5,keyasint,omitzero"`
	Operators netip.AddrPort `cbor:"6,keyasint"`
	// Configuration is the version in force there.
	Configuration uint64 `cbor:"7,keyasint"`
	// Complete is the revision up to which the entries of upstreams are all known
	// there, and Digest a hash of them. Who has another digest, and is complete up to
	// less, asks the sender.
	Complete uint64 `cbor:"8,keyasint"`
	Digest   uint64 `cbor:"12,keyasint"`
	// Millicores is its processor in thousandths of a core.
	Millicores uint16 `cbor:"13,keyasint,omitempty"`
	// Checked says for each kind of the store's objects that is read as a whole, in an
	// order that all know, how long ago some process read it, as far as the sender knows,
	// as of sending.
	Checked []time.Duration `cbor:"9,keyasint,omitempty"`
	Leaving bool            `cbor:"10,keyasint,omitempty"`
	// Groups are those that the sender carries for, or has the duty for.
	Groups map[string]GroupState `cbor:"11,keyasint,omitempty"`
}

// Peer is another process and when it was last heard.
type Peer struct {
	State
	Heard time.Time
	// Listed is when it was learned from the store's list.
	Listed time.Time
}

// Roster holds the peers. Its zero value is empty.
type Roster struct {
	peers map[string]*Peer
}

// Learn takes in that a process may be there.
func (r *Roster) Learn(s State, now time.Time) {
	if r.peers == nil {
		r.peers = map[string]*Peer{}
	}
	if p := r.peers[s.Name]; p != nil {
		return
	}
	r.peers[s.Name] = &Peer{State: s, Listed: now}
}

// Hear takes in a datagram. One of an earlier run of the same process changes
// nothing.
func (r *Roster) Hear(s State, now time.Time) {
	if r.peers == nil {
		r.peers = map[string]*Peer{}
	}
	p := r.peers[s.Name]
	if p != nil && s.Start < p.Start {
		return
	}
	r.peers[s.Name] = &Peer{State: s, Heard: now}
}

// window is how long a live peer may be silent, with so many peers.
func (r *Roster) window() time.Duration {
	rounds := patience * max(1, (len(r.peers)+fanout-1)/fanout)
	return time.Duration(rounds) * Period
}

// Live returns the peers that were heard lately, by name.
func (r *Roster) Live(now time.Time) []Peer {
	return r.within(now, r.window())
}

func (r *Roster) within(now time.Time, window time.Duration) []Peer {
	var out []Peer
	for _, p := range r.peers {
		if !p.Heard.IsZero() && now.Sub(p.Heard) < window {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Targets returns whom to send to this round: all peers while they are few. Else
// first those that have the duty for a group that this process carries for: a leader
// is replaced once they have heard of trouble from most, which took 1.1 s when they
// were told as seldom as others. Then those that carry for a group that this process
// has the duty for, which take it over when they don't hear of it, then those that
// carry for the same groups, which decide together on leaders, and some drawn at
// random, silent ones included, since a partition heals.
func (r *Roster) Targets(self State, rng *rand.Rand) []netip.AddrPort {
	var holders, charges, near, far []netip.AddrPort
	few := len(r.peers) <= fanout
	for _, p := range r.peers {
		switch {
		case Charge(p.State, self):
			holders = append(holders, p.Peers)
		case Charge(self, p.State):
			charges = append(charges, p.Peers)
		case few || together(self, p.State):
			near = append(near, p.Peers)
		default:
			far = append(far, p.Peers)
		}
	}
	for _, list := range [][]netip.AddrPort{holders, charges, near, far} {
		slices.SortFunc(list, netip.AddrPort.Compare)
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	near = slices.Concat(holders, charges, near)
	if few {
		return near
	}
	near = near[:min(len(near), Nearest)]
	return append(near, far[:min(len(far), fanout-len(near))]...)
}

// Charge reports whether a peer carries for a group that the holder has the duty for.
func Charge(holder, peer State) bool {
	for name, state := range holder.Groups {
		if state.Token > 0 && peer.Groups[name].Carries {
			return true
		}
	}
	return false
}

// together reports whether two processes carry for the same group.
func together(a, b State) bool {
	for name, state := range a.Groups {
		if state.Carries && b.Groups[name].Carries {
			return true
		}
	}
	return false
}

// Holders returns the processes that may hold connections, by name: those that
// were heard until a while ago, or have just been learned of. One that was replaced for good
// drops out; counted for ever, it would keep its share of the connections from the
// others.
func (r *Roster) Holders(now time.Time) []State {
	var out []State
	for _, p := range r.peers {
		if now.Sub(p.Heard) < memory || now.Sub(p.Listed) < introduction {
			out = append(out, p.State)
		}
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Sweep drops peers that haven't been heard for long, and returns their names.
func (r *Roster) Sweep(now time.Time) []string {
	var dropped []string
	for name, p := range r.peers {
		if now.Sub(p.Heard) > forget && now.Sub(p.Listed) > forget {
			delete(r.peers, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}
