package gossiper

import (
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// membersPerRange is how many members a range has on average. When two lists differ in
	// one member, so many entries are sent, whatever the size of the fleet.
	membersPerRange = 16
	// maxRanges bounds the size of a request, for a fleet of 16,000 processes.
	maxRanges = 1024
)

// Ranges holds a hash of the entries in each range of the membership list. A member belongs to
// the range that its name hashes to. Two lists are compared by their ranges, so that only the
// entries of those that differ are sent.
type Ranges []uint32

// ErrRanges means that ranges sent by a peer are malformed.
var ErrRanges = errors.New("gossiper: malformed ranges")

// String returns the ranges in the form that ParseRanges reads.
func (r Ranges) String() string {
	b := make([]byte, 0, 4*len(r))
	for _, digest := range r {
		b = binary.BigEndian.AppendUint32(b, digest)
	}
	return hex.EncodeToString(b)
}

// ParseRanges parses ranges. The error is ErrRanges.
func ParseRanges(s string) (Ranges, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) == 0 || len(b)%4 != 0 || len(b) > 4*maxRanges {
		return nil, errors.Wrapf(ErrRanges, "%d characters", len(s))
	}
	out := make(Ranges, 0, len(b)/4)
	for ; len(b) > 0; b = b[4:] {
		out = append(out, binary.BigEndian.Uint32(b))
	}
	return out, nil
}

// rangeOf returns the range of a member among a number of ranges.
func rangeOf(name string, ranges int) int {
	return int(xxhash.Sum64String("range "+name) % uint64(ranges))
}

// Ranges returns the ranges of the list, their number in proportion to its length.
func (r *Roster) Ranges() Ranges {
	return r.ranges(min(1+len(r.peers)/membersPerRange, maxRanges))
}

func (r *Roster) ranges(n int) Ranges {
	out := make(Ranges, n)
	out[rangeOf(r.self.Name, n)] ^= r.self.fingerprint()
	for name, p := range r.peers {
		out[rangeOf(name, n)] ^= p.entry.fingerprint()
	}
	return out
}

// fingerprint returns the member's part of the hash of its range. Unlike that of the list's
// digest it also depends on the start and incarnation: a process that has a refutation must
// send it to one that has not, although the process is alive for both, or an outdated suspicion
// would still be accepted there. A dead member contributes nothing.
func (m *Member) fingerprint() uint32 {
	if m.Condition == Dead {
		return 0
	}
	b := append(make([]byte, 0, 64), m.Name...)
	b = binary.BigEndian.AppendUint64(b, uint64(m.Start))
	b = binary.BigEndian.AppendUint32(b, m.Incarnation)
	return uint32(xxhash.Sum64(append(b, byte(m.Condition))))
}

// MembersDiffering returns the members in those ranges that differ from another list's, sorted
// by name. Without ranges to compare with it returns the whole list.
func (r *Roster) MembersDiffering(other Ranges) []Member {
	if len(other) == 0 {
		return r.Members()
	}
	own := r.ranges(len(other))
	return slices.DeleteFunc(r.Members(), func(m Member) bool {
		i := rangeOf(m.Name, len(other))
		return own[i] == other[i]
	})
}
