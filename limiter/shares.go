package limiter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of the fleet: an instance and its incarnation. A process that
// restarts is another Member, so a Member never loses its state while it is alive.
type Member struct {
	Name  string `json:"name"`
	Start int64  `json:"start"` // incarnation, as the start time in nanoseconds since 1970
}

func (m Member) compare(o Member) int {
	return cmp.Or(cmp.Compare(m.Name, o.Name), cmp.Compare(m.Start, o.Start))
}

// View is one agreed division of a group's connections: the members that share them and
// how many connections each upstream of the group accepts. A view is immutable; each
// new one has the next Seq.
type View struct {
	Seq     uint64   `json:"seq"`
	Limit   int      `json:"limit"`
	Members []Member `json:"members"` // sorted, without duplicates
}

// Share returns how many connections to the upstream the view gives to m. The shares of
// a view add up to its limit, or to zero if it has no members. The remainder of the
// division goes to the members that rank highest for this upstream, so that the
// remainders of different upstreams go to different members. With more members than
// connections, some members get none.
func (v View) Share(upstream string, m Member) int {
	if _, ok := slices.BinarySearchFunc(v.Members, m, Member.compare); !ok {
		return 0
	}
	share, remainder := v.Limit/len(v.Members), v.Limit%len(v.Members)
	if remainder == 0 {
		return share
	}
	ownRank := rank(upstream, m)
	higher := 0
	for _, o := range v.Members {
		if r := rank(upstream, o); r > ownRank || (r == ownRank && o.compare(m) < 0) {
			higher++
		}
	}
	if higher < remainder {
		share++
	}
	return share
}

func rank(upstream string, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstream)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(m.Name)
	return d.Sum64() ^ uint64(m.Start)*0x9e3779b97f4a7c15
}

// Record is the object that the platform stores for a group's shares: every view that
// may still be in use, oldest first. It is replaced only by conditional update, so the
// views have one order.
type Record struct {
	Views []View `json:"views"`
}

// MaxViews bounds the views of a record. While a record is full, a change of members
// waits until a view is retired.
const MaxViews = 64

// LastSeq returns the Seq of the newest view, zero for an empty record.
func (r Record) LastSeq() uint64 {
	if len(r.Views) == 0 {
		return 0
	}
	return r.Views[len(r.Views)-1].Seq
}

// Shares is one member's state in dividing a group's connections.
//
// Without it, two members with different views of the fleet would each open their share
// of a different division. Together they would exceed the limit, and the upstream would
// refuse the next connections, often those of the process that has to carry out a
// failover. Delaying growth does not help: a member can be paused, with its connections
// open, for longer than any delay.
//
// So nothing here depends on time. A member uses its smallest share over all views that
// it knows and has not retired. It retires the views before view w when every member of
// those views either has confirmed w, after closing the connections that w takes away,
// or is proven to have ended. This holds for the member itself too: while it still has
// connections to close it retires nothing, because the next record it writes would hide
// its surplus from new members. Shrinking is immediate; growing waits for the members
// that must shrink.
type Shares struct {
	Self Member

	record Record
	base   uint64 // Seq of the oldest view that is not retired here
	peers  []peer // sorted by member
}

// peer is what this member knows of another one.
type peer struct {
	member Member
	seq    uint64 // newest view that it has confirmed
	ended  bool   // proven to have ended
}

// peer returns the entry of m and creates it if needed.
func (s *Shares) peer(m Member) *peer {
	i, ok := slices.BinarySearchFunc(s.peers, m, func(p peer, m Member) int { return p.member.compare(m) })
	if !ok {
		s.peers = slices.Insert(s.peers, i, peer{member: m})
	}
	return &s.peers[i]
}

// ReceiveRecord processes the record as read from the platform or received from a peer. A
// record older than the known one is ignored.
func (s *Shares) ReceiveRecord(r Record) {
	if r.LastSeq() < s.record.LastSeq() || len(r.Views) == 0 {
		return
	}
	s.record = r
	s.base = max(s.base, r.Views[0].Seq)
	s.retire()
}

// ReceiveConfirmation processes a member's confirmation that it has seen view seq and keeps
// to it. Confirmations may be lost, duplicated or delayed.
func (s *Shares) ReceiveConfirmation(from Member, seq uint64) {
	p := s.peer(from)
	p.seq = max(p.seq, seq)
	s.retire()
}

// MarkEnded records the proof that a member has ended and its connections with it: the
// platform's instance list no longer has its instance, or a later incarnation runs on
// that instance. A member that does not respond is not proven to have ended.
func (s *Shares) MarkEnded(m Member) {
	s.peer(m).ended = true
	s.retire()
}

// retire moves base up to the newest view that all members of the views in use before it
// keep to, except those that have ended.
func (s *Shares) retire() {
	for i := len(s.record.Views) - 1; i > 0; i-- {
		view := s.record.Views[i]
		if view.Seq <= s.base {
			return
		}
		if s.keptByAll(view.Seq, s.record.Views[:i]) {
			s.base = view.Seq
			return
		}
	}
}

// keptByAll reports whether every member of the views in before that are still in use
// keeps to view seq or has ended.
func (s *Shares) keptByAll(seq uint64, before []View) bool {
	for _, v := range before {
		if v.Seq < s.base {
			continue
		}
		for _, m := range v.Members {
			if p := s.peer(m); !p.ended && p.seq < seq {
				return false
			}
		}
	}
	return true
}

// Allowed returns how many connections to the upstream this member may have open,
// including those being opened.
func (s *Shares) Allowed(upstream string) int {
	if len(s.record.Views) == 0 {
		return 0
	}
	return s.minShare(upstream, s.record.LastSeq())
}

// minShare returns the smallest share in the views from base to last.
func (s *Shares) minShare(upstream string, last uint64) int {
	smallest := -1
	for _, v := range s.record.Views {
		if v.Seq < s.base || v.Seq > last {
			continue
		}
		if count := v.Share(upstream, s.Self); smallest < 0 || count < smallest {
			smallest = count
		}
	}
	return max(smallest, 0)
}

// Confirm returns the view that this member may confirm to the others, given its open
// connections to each upstream. It returns the newest view only after the member has
// closed the connections that this view takes away. Call it after each change of the
// open connections or the record while [Shares.Converged] is false.
func (s *Shares) Confirm(open map[string]int) uint64 {
	p := s.peer(s.Self)
	p.seq = max(p.seq, s.newestFit(open))
	seq := p.seq
	s.retire()
	return seq
}

// Converged reports whether all members keep to the newest view, as far as this member
// knows.
func (s *Shares) Converged() bool { return s.base == s.record.LastSeq() }

// newestFit returns the newest view in use that the open connections keep to, zero if
// there is none.
func (s *Shares) newestFit(open map[string]int) uint64 {
	for i := len(s.record.Views) - 1; i >= 0; i-- {
		v := s.record.Views[i]
		if v.Seq < s.base {
			break
		}
		if s.fits(open, v.Seq) {
			return v.Seq
		}
	}
	return 0
}

// fits reports whether the open connections are within the shares of the views up to
// last.
func (s *Shares) fits(open map[string]int, last uint64) bool {
	for upstream, n := range open {
		if n > s.minShare(upstream, last) {
			return false
		}
	}
	return true
}

// Propose returns the record that divides the limit among the given members, for a
// conditional update of the record received last. It returns false when nothing would
// change or the record is full.
func (s *Shares) Propose(limit int, members []Member) (Record, bool) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, Member.compare)
	sorted = slices.Compact(sorted)
	next := View{Seq: s.record.LastSeq() + 1, Limit: limit, Members: sorted}
	if n := len(s.record.Views); n > 0 {
		last := s.record.Views[n-1]
		if last.Limit == limit && slices.Equal(last.Members, sorted) {
			return Record{}, false
		}
	}
	var views []View
	for _, v := range s.record.Views {
		if v.Seq >= s.base {
			views = append(views, v)
		}
	}
	if len(views) >= MaxViews {
		return Record{}, false
	}
	return Record{Views: append(views, next)}, true
}
