package membership

import (
	"net/netip"
	"slices"
)

// queue holds the members of whom there is news to pass on. New ones come first,
// so that a flood of old news doesn't hold back what happens now.
type queue struct {
	order []netip.AddrPort
	sent  map[netip.AddrPort]int // times passed on
}

// push puts a member at the head with all its repeats before it.
func (q *queue) push(a netip.AddrPort) {
	if q.sent == nil {
		q.sent = make(map[netip.AddrPort]int)
	}
	if _, ok := q.sent[a]; !ok {
		q.order = slices.Insert(q.order, 0, a)
	}
	q.sent[a] = 0
}

// take returns up to n members and counts them as passed on once more. Each
// leaves the queue after its last repeat.
func (q *queue) take(n, repeats int) []netip.AddrPort {
	n = min(n, len(q.order))
	out := slices.Clone(q.order[:n])
	rest := append(q.order[:0], q.order[n:]...) // in place: what stays never outgrows what was there
	for _, a := range out {
		q.sent[a]++
		if q.sent[a] >= repeats {
			delete(q.sent, a)
			continue
		}
		rest = append(rest, a)
	}
	q.order = rest
	return out
}

// updates are the statements for the next message to a member. If it is believed
// suspect or dead, it is told so first: it is the one that can contradict.
func (v *View) updates(to netip.AddrPort) []Member {
	var out []Member
	if e := v.member(to); e != nil && e.Health != Alive {
		out = append(out, e.Member)
	}
	if len(v.news.order) == 0 {
		return out
	}
	for _, a := range v.news.take(v.set.Updates, v.set.Repeats) {
		if e := v.member(a); e != nil && a != to {
			out = append(out, e.Member)
		}
	}
	return out
}
