package gossiper

// Bounds of the updates that are sent on.
const (
	// maxUpdates is the maximum number of updates in a datagram beside the sender's own
	// entry: with them it still fits into one packet.
	maxUpdates = 12
	// updateRounds is the number of rounds in which a process sends an update. Each round
	// reaches at least six others, and what still gets lost shows in the digests.
	updateRounds = 2
)

// updateQueue holds entries that other processes may not have received yet. Its zero
// value is empty.
type updateQueue struct {
	items []queuedUpdate // the latest last
}

type queuedUpdate struct {
	Member
	roundsLeft int // rounds in which it is still sent
}

// push adds an entry in place of an earlier one about the same process.
func (q *updateQueue) push(m Member) {
	q.drop(m.Name)
	q.items = append(q.items, queuedUpdate{m, updateRounds})
}

func (q *updateQueue) drop(name string) {
	for i, it := range q.items {
		if it.Name == name {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return
		}
	}
}

// take returns the updates to send in the next round, and counts that round. The
// latest are sent first.
func (q *updateQueue) take() []Member {
	if len(q.items) == 0 {
		return nil
	}
	from := max(0, len(q.items)-maxUpdates)
	out := make([]Member, 0, len(q.items)-from)
	kept := q.items[:from]
	for _, it := range q.items[from:] {
		out = append(out, it.compact())
		if it.roundsLeft--; it.roundsLeft > 0 {
			kept = append(kept, it)
		}
	}
	q.items = kept
	return out
}
