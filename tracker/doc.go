// Package tracker knows how far each upstream of a database group has come and
// how far each caller's session must be able to see.
//
// The words of the package: a [Term] numbers the periods in which one upstream
// is primary, a [Position] is a place in the group's log, and a [Mark] is both
// together: a point in the group's history. An upstream whose log ends at or
// past a session's mark shows that session its own writes.
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
package tracker
