package gossiper

import "time"

// Roster is what one process knows of the fleet: a list of its processes, which all
// come to agree on, and apart from it who was heard just now. Its zero value is empty.
type Roster struct {
	self  Member
	peers map[string]*record
	news  news

	// digest is that of the list, this process included.
	digest uint32
	// All processes, by name, and the names of those that this one sends to each round,
	// or is sent to by, because they are its neighbours on the circles. They are found
	// anew when the list has changed.
	order  []*record
	after  []string
	before map[string]bool
	stale  bool
	fleet  []Member // what Fleet returns; nil after a change

	changes []Change        // since they were last asked for
	near    map[string]bool // who carries for the same groups, by the division
	accused map[string]bool // silent by the list, and yet heard: to be told of it
	swept   time.Time
	asked   time.Time // when another's list was last asked for
	agreed  int       // lists heard in a row that were the same as this one
	dissent int       // how many more lists were heard that differ than that agree
}

// record is one process of the fleet as this one sees it.
type record struct {
	Peer
	said     Member
	changed  time.Time // when its condition was last stated anew
	expected time.Time // since when it should be heard each round; zero if it needn't
	trusted  time.Time // until when this process doesn't accuse it
}

// Change is that another condition of a process is stated, here or by others.
type Change struct {
	Member
	Before Condition
	// Heard is when the process itself was last heard; zero if it never was.
	Heard time.Time
}

// Changes returns what has changed since the last call.
func (r *Roster) Changes() []Change {
	out := r.changes
	r.changes = nil
	return out
}

// SetSelf sets who this process is. It is called once, before anything is heard.
func (r *Roster) SetSelf(self Member) {
	r.self = self
	r.digest ^= self.digest()
	r.stale = true
}

// AddListed takes in that a process is in the store's list.
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
	p := &record{Peer: Peer{State: m.state(), Listed: now}, said: m, changed: now}
	r.peers[m.Name] = p
	r.digest ^= m.digest()
	r.stale, r.fleet = true, nil
	return p
}

// state returns what is known of a process that has said nothing itself.
func (m *Member) state() State {
	return State{
		Name: m.Name, Zone: m.Zone, GossipAddr: m.GossipAddr, GatewayAddr: m.GatewayAddr, Millicores: m.Millicores,
		Start: m.Start, Incarnation: m.Incarnation,
	}
}

// Receive takes in a datagram. One of an earlier run of the same process changes
// nothing.
func (r *Roster) Receive(s State, now time.Time) {
	m := s.member()
	p := r.peers[s.Name]
	switch {
	case s.Name == r.self.Name:
		return
	case p == nil:
		p = r.add(m, now)
		r.news.put(m)
	case s.Start < p.Start:
		r.earlier(p, now)
		return
	case r.weigh(p, m, now):
		r.news.put(p.said)
	}
	for _, said := range s.News {
		r.tell(said, now)
	}
	r.compare(s.FleetDigest)
	s.News = nil
	p.State, p.LastSeen = s, now
	if p.said.Condition != Alive {
		r.accuse(p)
	}
}

// earlier takes in a datagram of an earlier run, or of one whose clock has gone back. If
// the later one isn't heard it is told what is said of it, and raises its Start.
func (r *Roster) earlier(p *record, now time.Time) {
	if now.Sub(p.LastSeen) >= silence {
		r.accuse(p)
	}
}

// accuse has a process that is heard told that the list has it for silent. Only it
// can contradict that, and else those that it doesn't send to would believe it.
func (r *Roster) accuse(p *record) {
	if r.accused == nil {
		r.accused = map[string]bool{}
	}
	r.accused[p.Name] = true
	r.news.put(p.said)
}

// Fleet returns the other processes that aren't gone, by name, whether they answer just
// now or not. Who carries is divided among them: divided among those that answer, each
// loss of a datagram would move connections. The slice isn't changed any more.
func (r *Roster) Fleet() []Member {
	if r.fleet != nil {
		return r.fleet
	}
	r.turn()
	r.fleet = make([]Member, 0, len(r.order))
	for _, p := range r.order {
		if p.said.Condition != Gone {
			r.fleet = append(r.fleet, p.said)
		}
	}
	return r.fleet
}

// Live returns the peers that were heard lately, by name: all that this process decides
// with, which it hears each round.
func (r *Roster) Live(now time.Time) []Peer {
	r.turn()
	var out []Peer
	for _, p := range r.order {
		if now.Sub(p.LastSeen) < silence {
			out = append(out, p.Peer)
		}
	}
	return out
}

// Answers reports whether a process is one that may be asked, and returns what was last
// heard of it. One that needn't be heard each round counts while nobody says otherwise.
func (r *Roster) Answers(name string, now time.Time) (Peer, bool) {
	p := r.peers[name]
	if p == nil || !p.answers(now) {
		return Peer{}, false
	}
	return p.Peer, true
}

func (p *record) answers(now time.Time) bool {
	if now.Sub(p.LastSeen) < silence {
		return true
	}
	missed := !p.expected.IsZero() && now.Sub(later(p.LastSeen, p.expected)) >= accusable
	return p.said.Condition == Alive && !missed
}

// Answering returns the names of those that may be asked.
func (r *Roster) Answering(now time.Time) []string {
	r.turn()
	var out []string
	for _, p := range r.order {
		if p.answers(now) {
			out = append(out, p.Name)
		}
	}
	return out
}
