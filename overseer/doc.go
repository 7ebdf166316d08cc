// Package overseer keeps a working leader in each database group. It combines what
// this process and its peers observe of the leader, holds or claims the lease for
// replacing it, and executes the decisions of package replacer.
//
// # The lease
//
// Only one process at a time may replace the leader of a group: the lease holder. Its
// name is stored in an object that is changed by conditional updates only. The version
// of that write gives the holder's fencing tokens, which rise with each holder. A live
// holder writes nothing to the store: it announces itself to its peers by gossip. When
// no holder has been seen for a while, the first live process in the rendezvous order
// of the group claims the lease. So a change of leader needs no store while a holder
// lives, and an outage of the store affects only groups whose holders died during it.
//
// # Faults of a leader
//
// A leader is dead when this process and most of the gateways for the group, counting
// this one, do not reach it or see that its commits are not acknowledged. A leader that
// this process reaches but many peers do not is replaced by a planned change, and so is
// one that answers and fails many of the requests of callers, one that is overloaded while
// no replica can help, and one that is leaving.
//
// # Usage
//
//	o := &overseer.Overseer{Name: name, Gateways: c.Gateways, Store: store, LivePeers: g.Live, Promote: promote}
//	go o.Run(ctx)
package overseer
