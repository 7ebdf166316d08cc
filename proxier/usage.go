package proxier

import (
	"slices"
	"sync"
	"time"
)

// usageWindow is how long a group counts as in use after its last statement.
const usageWindow = 10 * time.Second

// groupUsage records which groups this process has had statements for. In a large fleet
// those are few of all groups. Its zero value is ready for use. It is safe for concurrent
// use.
type groupUsage struct {
	mu     sync.Mutex
	usedAt map[string]time.Time
}

// record records a statement for a group, and reports whether the group was not in use
// before.
func (u *groupUsage) record(group string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.usedAt == nil {
		u.usedAt = map[string]time.Time{}
	}
	last, used := u.usedAt[group]
	u.usedAt[group] = now
	return !used || now.Sub(last) >= usageWindow
}

// recent returns the sorted names of the groups in use, and forgets the others.
func (u *groupUsage) recent(now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []string
	for group, at := range u.usedAt {
		if now.Sub(at) >= usageWindow {
			delete(u.usedAt, group)
			continue
		}
		out = append(out, group)
	}
	slices.Sort(out)
	return out
}
