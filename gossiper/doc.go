// Package gossiper tells the proxies of a fleet about one another while no
// store is needed for it: who lives, which configuration each has, whom each
// can't reach, and who holds the duty of replacing a leader.
//
// Each process sends its whole state, a few hundred bytes, in one datagram to
// some peers several times a second. Nothing is acknowledged, and a lost datagram
// is made up for by the next. Peers are learned from the store's list once, at
// the start, and from whoever sends.
//
// A Roster is the state, a function of what came in and the time; Gossiper moves
// datagrams.
//
// # Usage
//
//	g := &gossiper.Gossiper{Address: address, Self: self, Log: log}
//	if err := g.Start(); err != nil {
//		return err
//	}
//	defer g.Stop()
//	peers := g.Live()
package gossiper
