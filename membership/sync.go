package membership

import (
	"math/bits"
	"net/netip"
	"time"
)

// joinBuckets is how many buckets are asked for in one interval by a process
// that knows little yet; others ask for one.
const joinBuckets = 4

// comparison is how this view is brought in line with another one.
type comparison struct {
	mismatch time.Time // since when digests differ; zero if the last one was equal
	active   bool
	eager    bool
	peer     netip.AddrPort
	buckets  int
	next     int
}

// matched compares the digest that came with a message. During the spreading of
// news digests differ for some seconds; a lasting difference means that
// something has been lost.
func (v *View) matched(peer netip.AddrPort, digest uint64, now time.Time) {
	c := &v.compare
	switch {
	case digest == v.sum():
		c.mismatch = time.Time{}
	case c.active:
	case c.mismatch.IsZero():
		c.mismatch = now
	case now.Sub(c.mismatch) >= v.set.Settle:
		v.begin(peer)
		c.mismatch = now
	}
}

// begin starts to fetch what differs from a peer, unless that goes on already.
func (v *View) begin(peer netip.AddrPort) {
	if v.compare.active {
		return
	}
	size := max(v.live, len(v.listed)) + 1
	buckets := 1 << bits.Len(uint(size/v.set.BucketSize))
	v.compare = comparison{
		mismatch: v.compare.mismatch, active: true, peer: peer, buckets: buckets,
		eager: v.live <= len(v.listed)/2,
	}
}

// compareSome asks for the next buckets.
func (v *View) compareSome(now time.Time) {
	c := &v.compare
	n := 1
	if c.eager {
		n = joinBuckets
	}
	for ; n > 0 && c.active; n-- {
		v.nonce++
		p := probe{nonce: v.nonce, kind: fetch, target: c.peer, deadline: now.Add(v.patience(v.set.Timeout))}
		v.probes = append(v.probes, p)
		v.out = append(v.out, SendSync{
			To: c.peer, Nonce: p.nonce, Deadline: p.deadline,
			Bucket: c.next, Buckets: c.buckets, Digest: v.bucketSum(c.next, c.buckets),
		})
		c.next++
		c.active = c.next < c.buckets
	}
}

// synced takes in a bucket. What it says isn't passed on: it is news to this
// process, not to the fleet, and each process fetches what it lacks itself.
//
// Where the other side holds alive whom this one holds dead, at the same
// incarnation, no exchange between the two can settle it: death outweighs. Left
// at that, one view would miss a live member for good. So the member itself is
// asked; if it lives it hears of its death and contradicts.
func (v *View) synced(ev Synced, now time.Time) {
	v.heard = now
	if _, ok := v.finish(ev.Nonce); !ok {
		return
	}
	for _, m := range ev.Members {
		v.merge(m, now, false)
		e := v.members[m.Addr]
		if e != nil && e.Health == Dead && m.Health != Dead && !m.Newer(e.Member) && !e.Newer(m) {
			v.ping(m.Addr, attempt, 0, now)
		}
	}
}

func (v *View) answerSync(ev SyncAsked) {
	answer := AnswerSync{Ticket: ev.Ticket}
	if ev.Buckets > 0 && v.bucketSum(ev.Bucket, ev.Buckets) != ev.Digest {
		v.bucket(ev.Bucket, ev.Buckets, func(e *entry) { answer.Members = append(answer.Members, e.Member) })
		if hashAddr(v.Self.Addr, 0)%uint64(ev.Buckets) == uint64(ev.Bucket) {
			answer.Members = append(answer.Members, v.Self)
		}
	}
	v.out = append(v.out, answer)
}

// bucket runs f for the members in one of n buckets.
func (v *View) bucket(i, n int, f func(*entry)) {
	for _, e := range v.all {
		if e.hash%uint64(n) == uint64(i) {
			f(e)
		}
	}
}

func (v *View) bucketSum(i, n int) uint64 {
	var sum uint64
	v.bucket(i, n, func(e *entry) {
		if e.Health != Dead {
			sum ^= digest(e.Member)
		}
	})
	if hashAddr(v.Self.Addr, 0)%uint64(n) == uint64(i) {
		sum ^= digest(v.Self)
	}
	return sum
}
