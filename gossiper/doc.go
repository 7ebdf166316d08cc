// Package gossiper keeps the proxies of a fleet informed about one another without
// the store: which processes exist and answer, which configuration version each has,
// which group leaders each cannot reach, and who holds the lease to replace a leader.
// Without it two processes would compute different gateways for a group, and statements
// would go to processes that are dead or are not gateways of the group.
//
// # Membership list
//
// The membership list has one entry for each process. It comes from the store at
// start-up, and from peers after that. Merging is commutative: processes that received
// the same entries hold the same list, in whatever order the entries arrived. The entry
// with the later start and incarnation wins, and a process refutes a false entry about
// itself with a higher incarnation. Updates are piggybacked on datagrams, a bounded
// number on each. Datagrams also contain a hash of the list. A process whose list differs
// from that of most others requests from one of them the entries in those ranges of the list
// whose hashes differ.
//
// # Failure detection
//
// All processes lie on four hash rings, each in another order, and send to their
// successor on each ring. So each process is monitored by up to four others, whatever the
// size of the fleet. A process from which they no longer receive anything is marked
// suspect, and after half a minute dead. Work is divided among all processes that are not
// dead, so that a lost datagram moves nothing. The gateways of a group send to each other
// in each round, and decide by what they have received themselves.
//
// Each process sends its whole state, a few hundred bytes, in one datagram several times
// a second. Nothing is acknowledged. The number of targets depends on how many processes
// are gateways of the same groups, not on the size of the fleet.
//
// A Roster is the state: a pure function of the received datagrams and the time. A
// Gossiper sends and receives the datagrams.
//
// # Usage
//
//	g := &gossiper.Gossiper{Address: address, Self: self, Now: now, Log: log}
//	if err := g.Start(); err != nil {
//		return err
//	}
//	defer g.Stop()
//	peers := g.Live()
package gossiper
