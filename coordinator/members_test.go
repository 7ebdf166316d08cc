package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/internal/faker/network"
	"basildale.example/basildale/membership"
)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7600)
}

// member is a process without platform and groups over an in-memory network.
func member(t *testing.T, n *network.Network, host int, start uint64, list controller.Listed) (c *Coordinator, kill func()) {
	t.Helper()
	c = &Coordinator{
		Control: controller.Controller{Self: membership.Member{Addr: addr(host), Start: start, Zone: "vejle-hal"}, Seed: start},
		Peers: &messenger.Messenger{
			Self: messenger.Peer{Addr: addr(host), Start: start}, Keys: [][]byte{[]byte("shared key")}, Dial: n.Dial,
		},
	}
	c.Peers.Handler = c.Handler()
	ctx, cancel := context.WithCancel(context.Background())
	ln := n.Listen(addr(host))
	go func() { _ = c.Peers.Serve(ln) }()
	go c.Run(ctx)
	c.Tell(list)
	kill = func() {
		cancel()
		c.Peers.Close()
	}
	t.Cleanup(kill)
	return c, kill
}

func members(t *testing.T, n *network.Network, size int) ([]*Coordinator, []func(), controller.Listed) {
	t.Helper()
	var list controller.Listed
	for i := range size {
		list.Proxies = append(list.Proxies, membership.Instance{Addr: addr(i + 1)})
	}
	var procs []*Coordinator
	var kills []func()
	for i := range size {
		c, kill := member(t, n, i+1, uint64(1000+i), list)
		procs, kills = append(procs, c), append(kills, kill)
	}
	return procs, kills, list
}

func TestMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		const size = 9
		procs, kills, list := members(t, &n, size)
		time.Sleep(30 * time.Second)
		for _, c := range procs {
			is.Equal(len(c.Members()), size) // all find all, from the list alone
		}
		before := n.Bytes()
		time.Sleep(time.Minute)
		each := (n.Bytes() - before) / size / 60
		is.True(each < 1000) // written; as many are read

		kills[5]() // without a word
		time.Sleep(20 * time.Second)
		for i, c := range procs {
			is.True(i == 5 || len(c.Members()) == size-1)
		}
		member(t, &n, 6, 2000, list)
		time.Sleep(20 * time.Second)
		is.Equal(procs[0].Members()[5].Start, uint64(2000)) // a new member
	})
}

func TestImpostor(t *testing.T) {
	// Symptom: a member is declared dead, or to be leaving, by a process that has
	// no business with it.
	// Sequence: a peer sends statements about another address as its own.
	// Cause: the sender named in the message is believed.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		procs, _, _ := members(t, &n, 3)
		time.Sleep(10 * time.Second)
		lie := membership.Member{Addr: addr(3), Start: 1002, Inc: 9, Health: membership.Dead}
		m, ctx := procs[1].Peers, t.Context()
		_, err := m.Leave(ctx, addr(1), messenger.Leave{From: lie})
		is.True(errors.Is(err, messenger.ErrRemote))
		_, err = m.Ping(ctx, addr(1), messenger.Ping{From: lie})
		is.True(errors.Is(err, messenger.ErrRemote))
		_, err = m.Probe(ctx, addr(1), messenger.Probe{From: lie, Target: lie})
		is.True(errors.Is(err, messenger.ErrRemote))
		time.Sleep(5 * time.Second)
		is.Equal(len(procs[0].Members()), 3)
	})
}

func TestPlannedStopIsTold(t *testing.T) {
	// Symptom: a planned stop costs seconds of suspicion. Sequence: Leave, Stop, and
	// the process ends at once. Cause: Stop returned before its neighbours had heard.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		procs, kills, _ := members(t, &n, 3)
		time.Sleep(10 * time.Second)
		procs[2].Leave()
		time.Sleep(5 * time.Second)
		for _, c := range procs[:2] {
			is.Equal(len(c.Members()), 3)
			is.True(c.Members()[2].Leaving)
		}
		procs[2].Stop()
		kills[2]()
		synctest.Wait()
		for _, c := range procs[:2] {
			is.Equal(len(c.Members()), 2) // known without a ping
		}
	})
}

func TestBusyIsNotAnEmptyAnswer(t *testing.T) {
	// Symptom: a view lacks members although its comparison with a peer is over.
	// Sequence: many processes ask one peer for its buckets in one interval.
	// Cause: beyond its bound it says that it is busy, and the answer is read as a
	// bucket without members.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		procs, _, _ := members(t, &n, 3)
		time.Sleep(10 * time.Second)
		busy := 0
		for range 100 {
			r, err := procs[1].Peers.Sync(t.Context(), addr(1), messenger.Sync{Buckets: 1, Digest: 1})
			if errors.Is(err, messenger.ErrBusy) {
				busy++
				continue
			}
			is.NoErr(err)
			is.Equal(len(r.Members), 3)
		}
		is.True(busy > 0)
	})
}
