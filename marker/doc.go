// Package marker finds the mark of a session that may be in use on several
// proxies, and keeps writes from being acknowledged before it can be found.
//
// Who gets what:
//
//   - A caller that hands its mark over with its statements needs nothing of
//     this package.
//   - A caller without a session name is its connection. The mark of a fresh
//     connection is unknown, since the caller may have written by another one:
//     it is checked once, and kept by the connection from then on.
//   - A named session has a home: one proxy, by rendezvous hash of the name. Each
//     write is put there before it is acknowledged, while the replica confirms
//     it, and each read asks there.
//   - Where the home doesn't know, or is silent, the primary's position is
//     checked, once for all reads that wait at that moment.
//
// A check counts only if a majority of the group bears out that the primary is
// the primary: an isolated one goes on answering.
//
// # Why a home can be believed
//
// A home answers "known" only while it holds a promise of every other proxy of
// its view: not to acknowledge a write of its sessions that it has not taken in.
// A promise lasts a lease, counted by the home from when it asked and by the
// other from when it answered, an eighth longer. So a proxy that can't reach a
// home holds its acknowledgement back until the home has stopped answering. If a
// promise runs out, even for a moment, the home forgets what it knew.
//
// A proxy that was taken from the list while it was paused may wake with a write
// in hand. So a proxy acknowledges only if another was still at its view within
// seven eighths of a lease, and the homes of a new view wait a lease before they
// answer. A proxy that joins waits until the homes of the views without it have
// stopped. The names in a view are those of runs: a process that was started
// again has a new one, and a name that has left does not come back.
//
// # Usage
//
// [Marker] is a state machine. Its owner hands each event in together with the
// time, which must be read after the event came in, and carries out the commands
// that come back. It calls again at [Marker.Next] with [Tick].
//
//	m := marker.Marker{Settings: marker.Settings{Self: run}}
//	for _, c := range m.Step(marker.Read{ID: 7, Key: key}, now) {
//		switch c := c.(type) {
//		case marker.Send:
//			peers.Send(c.To, c.Message)
//		case marker.Check:
//			// Ask all upstreams of the group for their state: Stated.
//		case marker.Release:
//			// Route the read with c.Mark.
//		case marker.Fail:
//			// The read has not run; the caller may come back at c.Retry.
//		case marker.Acknowledge:
//			// So far as marks go the write may be acknowledged.
//		}
//	}
package marker
