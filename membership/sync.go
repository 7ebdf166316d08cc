package membership

import (
	"math/bits"
	"net/netip"
	"time"
)

// joinBuckets is how many buckets are asked for in one interval by a process
// that knows little yet; others ask for one.
const joinBuckets = 4

// eagerShare says who knows little: a process with fewer members than the list's
// length over this.
const eagerShare = 4

// serveBuckets is how many differing buckets a process hands out in one interval.
// After a partition or in a storm of restarts many ask the same one at once;
// without this limit its traffic would grow with their number.
const serveBuckets = 4

// fetchFailures is how many failures in a row end a comparison.
const fetchFailures = 8

// comparison is how this view is brought in line with another one.
type comparison struct {
	mismatch time.Time // since when digests differ; zero if the last one was equal
	active   bool
	eager    bool
	peer     netip.AddrPort
	buckets  int
	first    int // the bucket that is asked for first
	next     int // how many have been asked for
	failures int // in a row
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

// begin starts to fetch what differs from a peer, unless that goes on already. It
// starts with a bucket at random: after a partition all begin at about the same
// time, and if all took the buckets in the same order the members of one bucket
// would be asked by the whole fleet whether they live.
func (v *View) begin(peer netip.AddrPort) {
	if v.compare.active {
		return
	}
	size := max(v.live, len(v.listed)) + 1
	buckets := 1 << bits.Len(uint(size/v.set.BucketSize))
	v.compare = comparison{
		mismatch: v.compare.mismatch, active: true, peer: peer, buckets: buckets, first: v.rng.IntN(buckets),
		eager: v.live <= len(v.listed)/eagerShare,
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
		bucket := (c.first + c.next) % c.buckets
		p := probe{nonce: v.nonce, kind: fetch, target: c.peer, turn: c.next, deadline: now.Add(v.patience(v.set.Timeout))}
		v.probes = append(v.probes, p)
		v.out = append(v.out, SendSync{
			To: c.peer, Nonce: p.nonce, Deadline: p.deadline,
			Bucket: bucket, Buckets: c.buckets, Digest: v.bucketSum(bucket, c.buckets),
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
// asked; if it lives it hears of its death and contradicts. One such question for
// each bucket is enough, because each process of this side asks about others.
func (v *View) synced(ev Synced, now time.Time) {
	v.heard = now
	if _, ok := v.finish(ev.Nonce); !ok {
		return
	}
	var disputed []netip.AddrPort
	v.compare.failures = 0
	for _, m := range ev.Members {
		v.merge(m, now, false)
		e := v.member(m.Addr)
		if e != nil && e.Health == Dead && m.Health != Dead && !m.Newer(e.Member) && !e.Newer(m) {
			disputed = append(disputed, m.Addr)
		}
	}
	if len(disputed) > 0 {
		v.ping(disputed[v.rng.IntN(len(disputed))], attempt, 0, now)
	}
}

// refetch goes on with another peer after a bucket got no answer.
func (v *View) refetch(p probe) {
	c := &v.compare
	if c.peer != p.target {
		return // given up before, or already gone on
	}
	c.failures++
	peers := v.neighbours()
	if c.failures > fetchFailures || len(peers) == 0 {
		c.active = false
		return
	}
	c.active, c.next = true, min(c.next, p.turn)
	c.peer = peers[v.rng.IntN(len(peers))]
}

func (v *View) answerSync(ev SyncAsked) {
	answer := AnswerSync{Ticket: ev.Ticket}
	differs := ev.Buckets > 0 && v.bucketSum(ev.Bucket, ev.Buckets) != ev.Digest
	switch {
	case differs && v.served >= serveBuckets:
		answer.Busy = true
	case differs:
		v.served++
		v.bucket(ev.Bucket, ev.Buckets, func(e *entry) { answer.Members = append(answer.Members, e.Member) })
		if hashAddr(v.Self.Addr, 0)%uint64(ev.Buckets) == uint64(ev.Bucket) {
			answer.Members = append(answer.Members, v.Self)
		}
	default:
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
