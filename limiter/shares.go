package limiter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of the fleet: an instance and its incarnation. A process
// that starts again is another Member, so a Member's state is never lost while
// it lives.
type Member struct {
	Name  string `json:"name"`
	Start int64  `json:"start"` // incarnation, as the start time in nanoseconds since 1970
}

func (m Member) compare(o Member) int {
	return cmp.Or(cmp.Compare(m.Name, o.Name), cmp.Compare(m.Start, o.Start))
}

// View is one agreed division of a group's connections: who shares them and how
// many each upstream of the group takes. A view never changes; Seq rises by one
// with each.
type View struct {
	Seq     uint64   `json:"seq"`
	Limit   int      `json:"limit"`
	Members []Member `json:"members"` // sorted, each once
}

// Share returns how many connections to the upstream the view gives to m. The
// shares of a view add up to its limit, or to zero if it has no members. What is
// left over by the division goes to the members that rank highest for this
// upstream, so that the left-overs of the upstreams fall on different members;
// with more members than connections some have none.
func (v View) Share(upstream string, m Member) int {
	if _, ok := slices.BinarySearchFunc(v.Members, m, Member.compare); !ok {
		return 0
	}
	share, over := v.Limit/len(v.Members), v.Limit%len(v.Members)
	if over == 0 {
		return share
	}
	mine := rank(upstream, m)
	above := 0
	for _, o := range v.Members {
		if r := rank(upstream, o); r > mine || (r == mine && o.compare(m) < 0) {
			above++
		}
	}
	if above < over {
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

// Record is the platform's object of a group's shares: every view that may
// still be in use by somebody, oldest first. It is replaced only by conditional
// update, so views have one order.
type Record struct {
	Views []View `json:"views"`
}

// MaxViews bounds the views of a record. A record that is full waits until a
// view is retired, before the next change of members.
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
// What goes wrong without it: two members with different views of who is there
// each open their share of a different division. Together they pass the limit,
// and the upstream refuses connections to whoever comes next, often the one
// that has to carry out a failover. A delay before growing doesn't help, since a
// member can be paused, with its connections open, for longer than any delay.
//
// So nothing here depends on time. A member uses the least of its shares over
// all views it knows and has not retired. It retires the views before view w
// when every member of theirs either says that it has seen w, and has closed
// what w doesn't give it, or is proven gone. That goes for the member itself too:
// one that still has to close connections retires nothing, or the next record it
// writes would hide its surplus from newcomers. Shrinking is at once; growing
// waits for those who must shrink.
type Shares struct {
	Self Member

	record Record
	base   uint64 // the oldest view not retired here
	peers  []peer // sorted by member
}

// peer is what is known of another member.
type peer struct {
	member Member
	seq    uint64 // newest view that it has confirmed
	gone   bool   // proven to have ended
}

// peer returns the entry of m, made if need be.
func (s *Shares) peer(m Member) *peer {
	i, ok := slices.BinarySearchFunc(s.peers, m, func(p peer, m Member) int { return p.member.compare(m) })
	if !ok {
		s.peers = slices.Insert(s.peers, i, peer{member: m})
	}
	return &s.peers[i]
}

// ReceiveRecord takes the record as read from the platform or a peer. Older records than
// the one known are ignored.
func (s *Shares) ReceiveRecord(r Record) {
	if r.LastSeq() < s.record.LastSeq() || len(r.Views) == 0 {
		return
	}
	s.record = r
	s.base = max(s.base, r.Views[0].Seq)
	s.retire()
}

// ReceiveConfirmation takes a member's confirmation that it has seen view seq and keeps to it.
// Confirmations may be lost, doubled or late.
func (s *Shares) ReceiveConfirmation(from Member, seq uint64) {
	p := s.peer(from)
	p.seq = max(p.seq, seq)
	s.retire()
}

// MarkEnded takes the proof that a member has ended and its connections with it: the
// platform's instance list has dropped its instance, or a later incarnation runs
// on it. Silence is no proof.
func (s *Shares) MarkEnded(m Member) {
	s.peer(m).gone = true
	s.retire()
}

// retire moves base up to the newest view that all members of the views before
// it keep to.
func (s *Shares) retire() {
	for i := len(s.record.Views) - 1; i > 0; i-- {
		w := s.record.Views[i]
		if w.Seq <= s.base {
			return
		}
		if s.kept(w.Seq, s.record.Views[:i]) {
			s.base = w.Seq
			return
		}
	}
}

// kept reports whether every member of the views still in use keeps to view seq.
func (s *Shares) kept(seq uint64, before []View) bool {
	for _, v := range before {
		if v.Seq < s.base {
			continue
		}
		for _, m := range v.Members {
			if p := s.peer(m); !p.gone && p.seq < seq {
				return false
			}
		}
	}
	return true
}

// Allowed returns how many connections to the upstream this member may have
// open, those being opened included.
func (s *Shares) Allowed(upstream string) int {
	if len(s.record.Views) == 0 {
		return 0
	}
	return s.least(upstream, s.record.LastSeq())
}

// least returns the smallest share in the views from base to last.
func (s *Shares) least(upstream string, last uint64) int {
	least := -1
	for _, v := range s.record.Views {
		if v.Seq < s.base || v.Seq > last {
			continue
		}
		if n := v.Share(upstream, s.Self); least < 0 || n < least {
			least = n
		}
	}
	return max(least, 0)
}

// Confirm returns the view that this member may confirm to the others, given its
// open connections to each upstream. It is the newest one only after what that
// view takes away has been closed. It is called after each change of the open
// connections or the record while [Shares.Converged] is false.
func (s *Shares) Confirm(open map[string]int) uint64 {
	p := s.peer(s.Self)
	p.seq = max(p.seq, s.newestFit(open))
	seq := p.seq
	s.retire()
	return seq
}

// Converged reports whether all members keep to the newest view, as far as known
// here.
func (s *Shares) Converged() bool { return s.base == s.record.LastSeq() }

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

func (s *Shares) fits(open map[string]int, last uint64) bool {
	for upstream, n := range open {
		if n > s.least(upstream, last) {
			return false
		}
	}
	return true
}

// Propose returns the record that divides the limit among the given members,
// for a conditional update on the record last seen. It returns false when
// nothing would change or the record is full.
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
