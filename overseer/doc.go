// Package overseer keeps each database group with a leader that works: it puts
// together what this process and its peers see of the leader, holds or takes the
// duty of replacing it, and carries out what package replacer decides.
//
// # The duty
//
// One process at a time may replace the leader of a group. Its name and a token
// stand in an object of the store, changed by conditional update only; the token
// rises with each holder. Nothing is written while a holder lives: it tells its
// peers by gossip, and the first live process in the rendezvous order of the
// group takes the duty over when no holder has been heard for a while. So a
// change of leader needs no store while a holder lives, and a store that is away
// costs only the groups whose holders died with it.
//
// # Trouble
//
// A leader is dead when it doesn't answer this process and not most of its peers
// either, or when its commits aren't acknowledged here and elsewhere. A leader
// that this process reaches and many peers don't is replaced as planned, and so is
// one that answers and fails much of what callers want of it.
//
// # Usage
//
//	o := &overseer.Overseer{Name: name, Groups: c.Groups, Store: store, Peers: g, Promote: promote}
//	go o.Run(ctx)
package overseer
