package forwarder

import (
	"net/netip"
	"time"

	"basildale.example/basildale/gossiper"
)

// Candidate is a peer that carries for a group.
type Candidate struct {
	Name     string
	Zone     string
	Address  netip.AddrPort // for statements
	LastSeen time.Time
	// LeaderFault is what it said lately of the group's leader, if Known.
	LeaderFault  gossiper.LeaderFault
	IsFaultKnown bool
}

const (
	// noted is how long what a peer said with an answer counts. While a leader is
	// replaced each statement would ask all carriers anew; and one that waits for the
	// next leader mustn't pass over for longer who has found it.
	noted = 200 * time.Millisecond
	// mostNoted bounds what is remembered, in a fleet of any size.
	mostNoted = 1024
)

// subject is what a peer's word is about.
type subject struct {
	peer  netip.AddrPort
	group string
}

// note is what a peer said, and until when it counts.
type note struct {
	trouble gossiper.LeaderFault
	until   time.Time
}

// note takes in what a peer says of a group's leader with an answer. A process that
// doesn't carry for a group hears of it by this.
func (f *Forwarder) note(group string, p Candidate, trouble gossiper.LeaderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := subject{p.Address, group}
	if trouble == gossiper.NoFault {
		delete(f.noted, key)
		return
	}
	if f.noted == nil || len(f.noted) >= mostNoted {
		f.noted = map[subject]note{}
	}
	f.noted[key] = note{trouble, f.Now().Add(noted)}
}

// word returns what a peer said lately of a group's leader, with an answer or by
// gossip, and whether it said anything.
func (f *Forwarder) word(group string, p Candidate, now time.Time) (gossiper.LeaderFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.noted[subject{p.Address, group}]; ok && now.Before(n.until) {
		return n.trouble, true
	}
	return p.LeaderFault, p.IsFaultKnown
}

// trouble returns what is wrong with a group's leader at a peer, as far as is known.
func (f *Forwarder) trouble(group string, p Candidate, now time.Time) gossiper.LeaderFault {
	trouble, _ := f.word(group, p, now)
	return trouble
}
