// Package conductor implements the session of a caller, independent of the wire
// protocol: it keeps the session values and prepared statements and the transaction
// state, and decides what each statement requires of the upstreams.
//
// BEGIN uses no upstream; package carrier chooses one at the first statement of the
// transaction. Session values and prepared statements are kept here and follow the
// session to whichever connection a statement gets.
//
// A Session handles one statement at a time. Close may be called at any time, when the
// caller has disconnected.
//
// # Usage
//
//	s := &conductor.Session{Database: name, View: view, Group: group, Now: now, Log: log}
//	reply := s.Handle(statement, arrived)
//	write(reply)
//	s.RollbackEnded() // after the reply, so that the caller does not wait
package conductor
