package delegator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tickLender handles ticks for some time, with a reply to each message, and returns the names
// of the processes that were asked in each second.
func tickLender(l *Lender, v View, d time.Duration, reply func(Send) (Reply, bool)) [][]string {
	now := time.Unix(1000, 0)
	v.UnreachedSince = now.Add(-time.Second)
	asked := make([][]string, d/time.Second)
	for i := range int(d / (50 * time.Millisecond)) {
		todo := l.Handle(Tick{v}, now)
		for len(todo) > 0 {
			cmd := todo[0]
			todo = todo[1:]
			switch c := cmd.(type) {
			case Report:
				if c.Kind == Offered {
					asked[i/20] = append(asked[i/20], c.Peer)
				}
			case Send:
				if r, ok := reply(c); ok {
					todo = append(todo, l.Handle(Answered{Seq: c.Seq, Reply: r}, now)...)
				}
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
	return asked
}

func cutView() View {
	v := View{Enabled: true, Leader: "a", Lendable: true, Share: 6}
	for i := range 10 {
		v.Peers = append(v.Peers, Peer{Name: fmt.Sprint("p", i)})
	}
	return v
}

// Guards against a storm of messages while nobody reaches the leader, and against asking the
// same few processes again and again.
func TestLenderAsksFourProcessesASecond(t *testing.T) {
	is := is.New(t)
	asked := tickLender(&Lender{}, cutView(), 6*time.Second, func(Send) (Reply, bool) { return Unsupported(), true })
	all := map[string]bool{}
	for _, names := range asked {
		is.True(len(names) <= maxAsks)
		for _, name := range names {
			all[name] = true
		}
	}
	is.Equal(len(all), 10)
}

// Guards against a share that is bound for the time of a loan by a process that does not
// answer: one connection is lent until the process has accepted, so that the others can be
// lent to the next one.
func TestUnansweredOfferBindsOneConnection(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	l := &Lender{}
	tickLender(l, cutView(), 2*time.Second, func(s Send) (Reply, bool) {
		if s.Lend == nil || s.Lend.Echo == (Token{}) {
			return Reply{Token: Token{1, 1}}, s.Lend != nil
		}
		counts[s.To.Name] = max(counts[s.To.Name], s.Lend.Count)
		return Reply{Granted: true, Token: Token{1, 1}}, s.To.Name != "p0"
	})
	p, ok := l.Substitute()
	is.True(ok)
	is.Equal(p.Name, "p1")
	is.Equal(counts["p0"], 1)
	is.Equal(counts["p1"], 6-Kept-1)
}

// Guards against connections that are used twice after a restart of the borrower: it has
// refused a loan, starts again and takes it, and then the refusal arrives.
func TestConfirmationOfEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	l, now := &Lender{}, time.Unix(1000, 0)
	v := cutView()
	v.UnreachedSince = now.Add(-time.Second)
	l.Handle(Tick{v}, now)
	l.Handle(Tick{v}, now)
	l.Handle(Answered{Seq: 1, Reply: Reply{Token: Token{2, 1}}}, now)
	l.Handle(Answered{Seq: 1, Reply: Reply{Granted: true, Token: Token{2, 1}}}, now)
	is.Equal(l.lent(), 1)
	l.Handle(Answered{Seq: 1, Reply: Reply{Refused: "switched off", Closed: true, Token: Token{Start: 1}}}, now)
	is.Equal(l.lent(), 1)
	l.Handle(Answered{Seq: 1, Reply: Reply{Refused: "leader lost", Closed: true, Token: Token{Start: 2}}}, now)
	is.Equal(l.lent(), 0)
}
