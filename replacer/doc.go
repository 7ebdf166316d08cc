// Package replacer decides how the leader of a database group is replaced where
// upstreams confirm commits themselves and only the platform can promote.
//
// An acknowledged commit is in the leader's log and in that of at least one
// replica, nobody knows which. Three ways lead to a new leader that has them all:
//
//   - The leader is dead. All replicas are told to stop receiving. Once each of
//     them has said so, nothing more can be acknowledged, and the replica whose
//     log reaches furthest has every acknowledged commit. It is promoted. While a
//     replica can't be asked, the group waits: the one commit that matters may be
//     there alone, and on the leader.
//   - The leader works and is to leave. A replica that receives is sought, and all
//     others stop receiving. From then on only commits that the chosen one has are
//     acknowledged. When it has also received what the leader's log held at that
//     moment, it is promoted, while the leader serves on until it is replaced.
//   - The leader works and has to leave, and one of the others can't be told to stop.
//     The leader gives the lead up, so that nothing more is acknowledged by anybody.
//     Its log has all that was; a replica that has as much is promoted. If none has,
//     the leader leads again.
//
// The first way needs all but one of the upstreams to have stopped, of which one has the
// commit that matters; which one is missing makes no difference. A former leader that
// answers stands in for a replica that doesn't.
//
// An order to promote may be carried out seconds after it was sent, also when
// its answer is lost. So an order, once sent, is repeated unchanged until the
// platform answers, and the replicas stay stopped meanwhile. Each copy, and each next
// choice, has a higher token, so that the platform refuses earlier ones after that. A
// holder that the platform refuses gives the duty up; it never uses that token again.
//
// A Replacer is a pure state machine of one group: Handle takes an event and the
// time and returns commands.
//
// # Usage
//
//	r := &replacer.Replacer{Group: name}
//	for _, cmd := range r.Handle(replacer.Tick{View: view}, now) {
//		run(cmd)
//	}
package replacer
