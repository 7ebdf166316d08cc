// Package conductor is a caller's session, without any wire: it knows which
// values and prepared statements the session has, whether a transaction is open,
// and what each statement needs of the upstreams.
//
// Beginning a transaction costs nothing until its first statement, which package
// carrier then places. Session values and prepared statements are kept here and
// follow the session to whatever connection a statement gets.
//
// A Session handles one statement at a time. Abandon may be called at any time:
// the caller has left.
//
// # Usage
//
//	s := &conductor.Session{Database: name, Routes: routes, Groups: groups, Now: now}
//	reply := s.Handle(statement, arrived)
//	write(reply)
//	s.After() // what needn't keep the caller waiting
package conductor
