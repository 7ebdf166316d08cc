// Package tracker knows how far each upstream of a database group has come and
// how far each caller's session must be able to see.
//
// The words of the package: a [Term] numbers the periods in which one upstream
// is primary, a [Position] is a place in the group's log, and a [Mark] is both
// together: a point in the group's history. An upstream whose log ends at or
// past a session's mark shows that session its own writes.
//
// A [Group] follows the upstreams of one group from samples of their states; the
// control goroutine feeds it and publishes a [Snapshot] for traffic. The age of a
// replica is the time since it surely held all that was committed. It counts from
// samples of the primary that a majority of the group bears out, and is unknown
// where that can't be had. [Sessions] holds the marks of sessions; one that it
// doesn't know is unknown, never unmarked.
//
// Everything here is a plain value or a function of (state, event, now). There
// is no input or output and no clock.
//
// # Usage
//
//	m, err := tracker.ParseMark("3.1/1042")
//	if err != nil {
//		return err
//	}
//	if replica.Mark.Less(m) {
//		// The replica has not replayed the session's last write.
//	}
//
//	g := tracker.Group{Local: []bool{true, false, false}}
//	g.Observe(tracker.Sample{Upstream: 0, State: state, Sent: sent, Received: now})
//	published.Store(g.Snapshot())
package tracker
