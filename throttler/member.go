package throttler

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is how many holders there are at most. Each costs every process a message in a
// Period; when one dies, the workspaces of its shard wait for the next.
const Shards = 8

// Shard returns the shard of a workspace.
func Shard(workspace string) int { return int(xxhash.Sum64String(workspace) % Shards) }

// Member is a process that may be a holder.
type Member struct {
	Name    string
	Address netip.AddrPort
	// Millicores is its processor in thousandths of a core; zero counts as one.
	Millicores int

	id     ID
	scores [Shards]float64
}

// ID stands for a process's name in messages, several of which each process sends in
// each Period.
type ID uint32

// NewID returns the ID of a name.
func NewID(name string) ID { return ID(xxhash.Sum64String(name)) }

// rank works out the member's ID and scores.
func (m *Member) rank() {
	m.id = NewID(m.Name)
	for shard := range m.scores {
		m.scores[shard] = m.score(shard)
	}
}

// score is the member's weight in the order of a shard's holders, by weighted
// rendezvous: the chance to be the first is as large as its part of the processors.
func (m *Member) score(shard int) float64 {
	const steps = 1 << 53 // that a float64 tells apart between 0 and 1
	hash := xxhash.Sum64(append([]byte("quota "+m.Name+" "), byte(shard)))
	drawn := (float64(hash%steps) + 0.5) / steps
	return -float64(max(1, m.Millicores)) / math.Log(drawn)
}

// remembered is how long a fleet counts as large as it was: a process can't tell a peer
// that has ended from one that it is cut off from, which goes on making tokens.
const remembered = 10 * time.Minute

// census is the largest size of the fleet within the time remembered, to a tenth of it.
type census struct {
	sizes [10]int
	turn  int64
}

// count takes in the size of the fleet and returns the one to reckon with.
func (c *census) count(size int, now time.Time) int {
	const slot = int64(remembered) / int64(len(c.sizes))
	n := int64(len(c.sizes))
	turn := now.UnixNano() / slot
	for t := max(c.turn+1, turn-n+1); t <= turn; t++ {
		c.sizes[t%n] = 0
	}
	c.turn = max(c.turn, turn)
	c.sizes[turn%n] = max(c.sizes[turn%n], size)
	largest := 1
	for _, s := range c.sizes {
		largest = max(largest, s)
	}
	return largest
}
