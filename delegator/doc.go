// Package delegator decides about loans of connections: a gateway that does not reach the
// leader of a group lends its share of the connections there to a process that may reach it.
//
// A Lender belongs to one gateway and group, a Borrower to one process and group. Both are
// state machines without a clock, input or output: Handle takes an event and the time, and
// returns commands. The caller sends the messages, limits and closes connections.
//
// # Accounting
//
// The connections of the lender and its borrowers at one upstream never exceed the lender's
// share of them:
//
//   - A lender lowers its own limit to Kept connections first, and lends only what it does
//     not hold any more. Kept connections are left to find out when the leader is reached
//     again.
//   - A Lend grants connections only if it echoes a Token of the borrower. The borrower counts
//     the Duration from when it issued the token, by its own clock. A message that is delayed,
//     however long, therefore grants nothing beyond the time that the lender accounts for.
//   - The lender counts connections as lent until the borrower has confirmed that it holds
//     none and will open none, or until Duration and Margin have passed, by its own clock,
//     since it last sent a grant.
//   - The borrower remembers the loans that it has ended or refused for as long as a token
//     may be valid, so that a late Lend does not begin one again. Tokens of an earlier start
//     of the process are never valid.
//   - A process that has just started does not know what it lent before. It uses no more than
//     Kept connections until StartupDelay has passed.
//
// The connections of a borrower that is paused for longer than its loan stay open at the
// upstream until it resumes; it closes them before it does anything else.
//
// # Loans between gateways
//
// A SpareLender lends connections to one upstream that its gateway does not use to gateways of
// the same group that lack them, and a SpareBorrower takes such loans. Their account is the
// same, but for three things: a lender has several loans, each of one or two connections, and
// its limit is what they leave of its share; a borrower has its share too, and has closed a
// loan when it holds no more than its share and its other loans; and a process does not lend
// where it has borrowed. Loans of the two kinds never exist at one upstream at a time: the
// caller sees to it that a Lender is idle while a SpareLender or SpareBorrower is not, and the
// other way round.
//
// # Usage
//
//	l := &delegator.Lender{Self: "p1/17", Group: "billet-db"}
//	for _, cmd := range l.Handle(delegator.Tick{View: view}, now) {
//		switch cmd := cmd.(type) {
//		case delegator.Limit: // limit own connections to an upstream
//		case delegator.Send: // answer with a delegator.Answered
//		}
//	}
//
//	b := &delegator.Borrower{Start: 17}
//	commands := b.Handle(delegator.Lent{Lend: message}, situation, now)
package delegator
