package cataloger

import "slices"

// maxHistory is the number of changes that a catalog remembers. A peer that lacks more of
// them is sent the ID of every entry.
const maxHistory = 1024

// history is the latest changes of a catalog. Its zero value is empty.
type history struct {
	changes []entryChange // the latest last
}

// entryChange is a change of one entry, and the digest of the catalog before it.
type entryChange struct {
	before uint64
	id     string
}

func (h *history) add(before uint64, id string) {
	if len(h.changes) >= 2*maxHistory {
		h.changes = slices.Delete(h.changes, 0, maxHistory)
	}
	h.changes = append(h.changes, entryChange{before, id})
}

// since returns the sorted IDs of the entries that have changed since the catalog last had
// a digest, and whether that is remembered. A digest of zero is that of an empty catalog.
func (h *history) since(digest uint64) ([]string, bool) {
	if digest == 0 {
		return nil, false
	}
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].before != digest {
			continue
		}
		var ids []string
		for _, c := range h.changes[i:] {
			ids = append(ids, c.id)
		}
		slices.Sort(ids)
		return slices.Compact(ids), true
	}
	return nil, false
}
