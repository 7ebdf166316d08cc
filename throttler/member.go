package throttler

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards, and so the maximum number of owners. Each owner costs
// every process a message in a CreditInterval. When one dies, the workspaces of its shards
// wait for the next.
const Shards = 8

// Shard returns the shard of a workspace.
func Shard(workspace string) int { return int(xxhash.Sum64String(workspace) % Shards) }

// Member is a process that may own shards.
type Member struct {
	Name    string
	Address netip.AddrPort
	// Millicores is its CPU in thousandths of a core; zero counts as one thousandth.
	Millicores int

	id     ID
	scores [Shards]float64
}

// ID is a hash of a process's name. Messages contain it in place of the name, to keep
// them short: each process sends several in each CreditInterval.
type ID uint32

// NewID returns the ID of a name.
func NewID(name string) ID { return ID(xxhash.Sum64String(name)) }

// computeScores sets the member's ID and scores.
func (m *Member) computeScores() {
	m.id = NewID(m.Name)
	for shard := range m.scores {
		m.scores[shard] = m.score(shard)
	}
}

// score returns the member's rendezvous hashing score for a shard, weighted by its
// CPU: the probability of the highest score is its share of the fleet's CPU.
func (m *Member) score(shard int) float64 {
	const steps = 1 << 53 // distinct values of a float64 between 0 and 1
	hash := xxhash.Sum64(append([]byte("quota "+m.Name+" "), byte(shard)))
	uniform := (float64(hash%steps) + 0.5) / steps
	return -float64(max(1, m.Millicores)) / math.Log(uniform)
}

// fleetSizeWindow is how long the largest size of the fleet counts: a process cannot
// distinguish a peer that has ended from one that it is partitioned from, which still
// produces tokens.
const fleetSizeWindow = 10 * time.Minute

// sizeHistory tracks the largest size of the fleet within fleetSizeWindow, with a
// resolution of a tenth of the window.
type sizeHistory struct {
	sizes    [10]int
	lastSlot int64
}

// update records the size of the fleet and returns the largest one of the window.
func (h *sizeHistory) update(size int, now time.Time) int {
	const slotWidth = int64(fleetSizeWindow) / int64(len(h.sizes))
	n := int64(len(h.sizes))
	slot := now.UnixNano() / slotWidth
	for t := max(h.lastSlot+1, slot-n+1); t <= slot; t++ {
		h.sizes[t%n] = 0
	}
	h.lastSlot = max(h.lastSlot, slot)
	h.sizes[slot%n] = max(h.sizes[slot%n], size)
	largest := 1
	for _, s := range h.sizes {
		largest = max(largest, s)
	}
	return largest
}
