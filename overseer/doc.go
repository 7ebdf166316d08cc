// Package overseer keeps a working leader in each database group. It combines what
// this process and its peers observe of the leader, holds or claims the lease for
// replacing it, and executes the decisions of package replacer.
//
// # The lease
//
// Only one process at a time may replace the leader of a group: the lease holder. Its
// name and a fencing token are stored in an object that is changed by conditional
// updates only; the token rises with each holder. A live holder writes nothing to the
// store: it announces itself to its peers by gossip. When no holder has been seen for a
// while, the first live process in the rendezvous order of the group claims the lease.
// So a change of leader needs no store while a holder lives, and an outage of the store
// affects only groups whose holders died during it.
//
// # Faults of a leader
//
// A leader is dead when it answers neither this process nor most of its peers, or when
// its commits are not acknowledged here and elsewhere. A leader that this process reaches
// but many peers do not is replaced by a planned change, and so is one that answers and
// fails many of the requests of callers.
//
// # Usage
//
//	o := &overseer.Overseer{Name: name, Groups: c.Groups, Store: store, Peers: g, Promote: promote}
//	go o.Run(ctx)
package overseer
