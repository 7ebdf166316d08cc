package prober

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/internal/faker/network"
	"basildale.example/basildale/membership"
)

// process is one member over an in-memory network.
type process struct {
	prober    *Prober
	messenger *messenger.Messenger
	cancel    context.CancelFunc
}

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7600)
}

func boot(t *testing.T, n *network.Network, host int, start uint64, list []membership.Instance) *process {
	t.Helper()
	m := &messenger.Messenger{
		Self: messenger.Peer{Addr: addr(host), Start: start},
		Keys: [][]byte{[]byte("shared key")}, Dial: n.Dial,
	}
	p := &Prober{Self: membership.Member{Addr: addr(host), Start: start, Zone: "vejle-hal"}, Messenger: m}
	p.Answer(&m.Handler)
	ctx, cancel := context.WithCancel(t.Context())
	ln := n.Listen(addr(host))
	go func() { _ = m.Serve(ln) }()
	go p.Run(ctx)
	p.List(list)
	pr := &process{prober: p, messenger: m, cancel: cancel}
	t.Cleanup(pr.kill)
	return pr
}

func (p *process) kill() {
	p.cancel()
	p.messenger.Close()
}

func fleetOf(t *testing.T, n *network.Network, size int) ([]*process, []membership.Instance) {
	t.Helper()
	var list []membership.Instance
	for i := range size {
		list = append(list, membership.Instance{Addr: addr(i + 1)})
	}
	var out []*process
	for i := range size {
		out = append(out, boot(t, n, i+1, 1000, list))
	}
	return out, list
}

func TestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		const size = 9
		procs, list := fleetOf(t, &n, size)
		time.Sleep(30 * time.Second)
		want := procs[0].prober.Fleet().Order("billet-db-2", 3)
		for _, p := range procs {
			is.Equal(len(p.prober.Fleet().Live()), size) // all find all, from the list alone
			is.Equal(p.prober.Fleet().Order("billet-db-2", 3), want)
		}
		before := n.Bytes()
		time.Sleep(time.Minute)
		each := (n.Bytes() - before) / size / 60
		is.True(each < 1000) // written; as many are read

		procs[4].prober.Leave()
		time.Sleep(5 * time.Second)
		m, ok := procs[0].prober.Fleet().Member(addr(5))
		is.True(ok)
		is.True(m.Leaving)
		procs[4].prober.Stop()
		procs[4].kill()
		time.Sleep(10 * time.Second)
		procs[5].kill() // without a word
		time.Sleep(20 * time.Second)
		for i, p := range procs {
			if i != 4 && i != 5 {
				is.Equal(len(p.prober.Fleet().Live()), size-2)
			}
		}
		boot(t, &n, 5, 2000, list)
		time.Sleep(20 * time.Second)
		m, ok = procs[0].prober.Fleet().Member(addr(5))
		is.True(ok)
		is.Equal(m.Start, uint64(2000)) // a new member
		is.True(!m.Leaving)
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
		procs, _ := fleetOf(t, &n, 3)
		time.Sleep(10 * time.Second)
		lie := membership.Member{Addr: addr(3), Start: 1000, Inc: 9, Health: membership.Dead}
		m, ctx := procs[1].messenger, t.Context()
		_, err := m.Leave(ctx, addr(1), messenger.Leave{From: lie})
		is.True(errors.Is(err, messenger.ErrRemote))
		_, err = m.Ping(ctx, addr(1), messenger.Ping{From: lie})
		is.True(errors.Is(err, messenger.ErrRemote))
		_, err = m.Probe(ctx, addr(1), messenger.Probe{From: lie, Target: lie})
		is.True(errors.Is(err, messenger.ErrRemote))
		time.Sleep(5 * time.Second)
		is.Equal(len(procs[0].prober.Fleet().Live()), 3)
	})
}
