// Package platform is the stand-in for the platform: its object service and its
// instance list, as docs/CONTRACTS.md describes them, over HTTP on a loopback
// port of the system's choosing.
//
// It keeps everything in memory and takes no more care of speed than a test
// needs. What it adds to the contract are faults that a test can order: the
// platform down, slow, or taking a change while the answer to it is lost; and a
// count of the calls by their name, since the platform bills each of them.
//
// # Usage
//
//	p := &platform.Platform{Lag: 2 * time.Second}
//	if err := p.Start(); err != nil {
//		return err
//	}
//	defer p.Close()
//	p.SetInstances([]platform.Instance{{Name: "p1", Role: "proxy", Zone: "vejle-hal"}})
//	p.LoseAnswer()               // the next change counts, its answer doesn't arrive
//	client := keeper.Client{Addrs: []netip.AddrPort{p.Addr()}}
//
// A Platform is an [net/http.Handler] as well, for tests that bring their own
// transport. The zero value is an empty platform that is up.
package platform
