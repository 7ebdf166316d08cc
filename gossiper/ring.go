package gossiper

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ringCount is the number of hash rings, each with the fleet in another order. Each
// process sends to its successor on each ring, so that each is monitored by up to four
// others whatever the size of the fleet. Some of the four survive the loss of half of the
// fleet, and detect the failure.
const ringCount = 4

// position is a process's position on one ring.
type position struct {
	hash uint64
	name string
}

func (p position) compare(o position) int {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.name, o.name))
}

func positionOf(ring int, name string) position {
	return position{xxhash.Sum64String(strconv.Itoa(ring) + " " + name), name}
}

// neighbours returns the processes that self sends to on the rings, and those that send
// to it.
func neighbours(self string, others []string) (successors, predecessors []string) {
	if len(others) == 0 {
		return nil, nil
	}
	for ring := range ringCount {
		own := positionOf(ring, self)
		all := make([]position, 0, len(others))
		for _, name := range others {
			all = append(all, positionOf(ring, name))
		}
		successors = append(successors, nextOnRing(own, all, position.compare).name)
		predecessors = append(predecessors, nextOnRing(own, all, func(a, b position) int { return b.compare(a) }).name)
	}
	slices.Sort(successors)
	slices.Sort(predecessors)
	return slices.Compact(successors), slices.Compact(predecessors)
}

// nextOnRing returns the first position after own in an order, or the first of all.
func nextOnRing(own position, all []position, compare func(a, b position) int) position {
	first, found := slices.MinFunc(all, compare), false
	best := first
	for _, p := range all {
		if compare(p, own) > 0 && (!found || compare(p, best) < 0) {
			best, found = p, true
		}
	}
	return best
}
