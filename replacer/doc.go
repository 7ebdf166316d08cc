// Package replacer decides how the leader of a database group is replaced when
// upstreams confirm commits themselves and only the platform can promote.
//
// An acknowledged commit is in the log of the leader and of at least one replica, but which
// replica is unknown. There are three ways to a new leader that has all such commits:
//
//   - Failover: the leader is dead. Replication is suspended at all replicas. Once each
//     has confirmed that, nothing more can be acknowledged, and the replica with the
//     longest log has every acknowledged commit. It is promoted. While a replica does not
//     answer, the group waits: the one commit that matters may be only there and on the
//     leader.
//   - Planned change: the leader works and is to be replaced. A replica that receives is
//     chosen, and replication is suspended at all others. From then on only commits that
//     the chosen one has are acknowledged. Once it has also received what the leader's
//     log held at that moment, it is promoted. The old leader serves until then.
//   - Planned change with step-down: the leader works and must be replaced, and replication
//     cannot be suspended at one of the others. The leader is demoted, so that nothing more
//     is acknowledged. Its log has every acknowledged commit; a replica that has as much is
//     promoted. If there is none, the old leader is promoted again.
//
// In a failover one upstream may be missing: the leader that died, or another one when the
// leader was only demoted. One of the suspended upstreams has the commit that matters, no
// matter which one is missing. So a former leader that answers can stand in for a replica
// that does not.
//
// An order to promote may be carried out seconds after it was sent, even if its answer
// is lost. So once sent, an order is repeated for the same upstream until the platform
// answers, and the replicas stay suspended in the meantime. Each copy and each new order
// has a higher fencing token, so that the platform rejects the earlier ones from then on. A
// lease holder whose order is rejected releases the lease and never uses that token again.
//
// Until an order has taken effect or was rejected, what was true when it was sent must stay
// true. Peers learn of the change by FenceTarget and Successor: after a failover's order they
// use no other upstream as the leader, and in a planned change they acknowledge only commits
// that the successor has received. The view must name every upstream that could have confirmed
// a commit, also those that the store no longer lists.
//
// A Replacer is a pure state machine of one group: Handle takes an event and the
// time and returns commands.
//
// # Usage
//
//	r := &replacer.Replacer{Group: name}
//	for _, cmd := range r.Handle(replacer.Tick{View: view}, now) {
//		execute(cmd)
//	}
package replacer
