package cataloger

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against an update between peers that names every upstream of the fleet for each
// change of one: with 3,000 upstreams before 985 processes each change was 40 MB.
func TestUpdateIsProportionalToChange(t *testing.T) {
	for _, groups := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			is := is.New(t)
			var sender, receiver Catalog
			var list []Upstream
			for i := range 3 * groups {
				list = append(list, Upstream{ID: fmt.Sprintf("i-%010d", i), Group: fmt.Sprintf("g%d", i/3), Version: versionAt(uint64(i + 1))})
			}
			revision := uint64(len(list))
			sender.Replace(list, versionAt(revision))
			receiver.Replace(list, versionAt(revision))
			changed := list[7]
			changed.Leads, changed.Version = true, versionAt(revision+1)
			is.True(sender.Put(changed))
			is.True(sender.Remove(list[9].ID, list[9].Version)) // a watch reports the version of the last change
			sender.Advance(versionAt(revision + 2))

			ch := sender.ChangesSince(receiver.CompleteVersion(), receiver.Digest())
			is.Equal(ch.Upstreams, []Upstream{changed})
			is.Equal(ch.Removed, []string{list[9].ID})
			is.Equal(len(ch.Unchanged), 0)
			b, err := json.Marshal(ch)
			is.NoErr(err)
			is.True(len(b) < 600)

			is.True(receiver.Merge(ch))
			is.Equal(receiver.Digest(), sender.Digest())
			is.Equal(receiver.CompleteVersion(), sender.CompleteVersion())
		})
	}
}

// Guards against an update that is applied to other entries than it was made for: the
// receiver has changed since it requested the update.
func TestUpdateForEarlierStateIsIgnored(t *testing.T) {
	is := is.New(t)
	var sender, receiver Catalog
	list := []Upstream{{ID: "a", Version: versionAt(1)}, {ID: "b", Version: versionAt(2)}}
	sender.Replace(list, versionAt(2))
	receiver.Replace(list, versionAt(2))
	sender.Remove("a", versionAt(1))
	sender.Advance(versionAt(3))
	ch := sender.ChangesSince(receiver.CompleteVersion(), receiver.Digest())
	receiver.Put(Upstream{ID: "c", Version: versionAt(4)})
	is.True(!receiver.Merge(ch))
	is.Equal(receiver.CompleteVersion(), versionAt(2)) // so it requests again
}

// A catalog that lacks more changes than are remembered is sent the ID of every entry.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var sender, receiver Catalog
	receiver.Replace([]Upstream{{ID: "a", Version: versionAt(1)}}, versionAt(1))
	sender.Replace([]Upstream{{ID: "a", Version: versionAt(1)}}, versionAt(1))
	for revision := uint64(2); revision < 5*maxHistory; revision++ {
		sender.Put(Upstream{ID: "b", Version: versionAt(revision)})
		sender.Advance(versionAt(revision))
	}
	is.True(len(sender.history.changes) <= 2*maxHistory)
	ch := sender.ChangesSince(receiver.CompleteVersion(), receiver.Digest())
	is.Equal(ch.Base, uint64(0))
	is.True(receiver.Merge(ch))
	is.Equal(receiver.Digest(), sender.Digest())
}
