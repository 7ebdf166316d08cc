package gossiper

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a list of the fleet that is sent whole to each process that lacks one entry of
// it: the entries sent must not grow with the fleet.
func TestEntriesSentAreProportionalToDifference(t *testing.T) {
	for _, n := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var sender, receiver Roster
			members := make([]Member, 0, n)
			for i := range n {
				members = append(members, Member{Name: fmt.Sprint("proxy-", i), Zone: "z", GossipAddr: at(i), GatewayAddr: at(i)})
			}
			sender.SetSelf(members[0])
			receiver.SetSelf(members[1])
			sender.Merge(members, now)
			receiver.Merge(members, now)
			is.Equal(len(sender.MembersDiffering(receiver.Ranges())), 0)

			dead := members[n/2]
			dead.Condition = Suspect
			sender.Merge([]Member{dead, {Name: "new", GossipAddr: at(n)}}, now)
			differing := sender.MembersDiffering(receiver.Ranges())
			is.True(len(differing) >= 2)
			is.True(len(differing) <= 2*4*membersPerRange)
			receiver.Merge(differing, now)
			is.Equal(receiver.digest, sender.digest)
		})
	}
}

// Guards against an outdated suspicion that is accepted because a refutation is not sent on: the
// process is alive in both lists, in one of them with a higher incarnation.
func TestRefutationsAreSent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var sender, receiver Roster
	sender.SetSelf(Member{Name: "a", GossipAddr: at(1)})
	receiver.SetSelf(Member{Name: "b", GossipAddr: at(2)})
	known := Member{Name: "c", GossipAddr: at(3)}
	sender.Merge([]Member{known, {Name: "b", GossipAddr: at(2)}}, now)
	receiver.Merge([]Member{known, {Name: "a", GossipAddr: at(1)}}, now)
	refuted := known
	refuted.Incarnation = 1
	sender.Merge([]Member{refuted}, now)
	is.Equal(sender.digest, receiver.digest)
	is.True(slices.Contains(sender.MembersDiffering(receiver.Ranges()), Member{Name: "c", GossipAddr: at(3), Incarnation: 1}))
}

// Guards against a peer that sends malformed or huge ranges: the work for them is bounded, and
// such a peer is sent the whole list.
func TestMalformedRanges(t *testing.T) {
	is := is.New(t)
	for _, s := range []string{"", "zz", "0011", strings.Repeat("00", 4*maxRanges+4)} {
		ranges, err := ParseRanges(s)
		is.True(errors.Is(err, ErrRanges))
		var r Roster
		r.SetSelf(Member{Name: "a"})
		is.Equal(len(r.MembersDiffering(ranges)), 1)
	}
	ranges := Ranges{1, 0xfffffffe}
	parsed, err := ParseRanges(ranges.String())
	is.NoErr(err)
	is.Equal(parsed, ranges)
}
