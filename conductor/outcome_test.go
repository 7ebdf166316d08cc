package conductor

import (
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/internal/matcher"
)

// Guards against an operator who cannot tell from a line whose request it was and which
// process ran or refused it: an answer of this process, one of a peer, a refusal in a queue,
// and one by the quota, which reached no gateway. The page for operators shows these lines.
func TestLineOfARequest(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	s.Process = "front-cantel-1"
	var out strings.Builder
	s.Log, s.Fields = logTo(&out), &sync.Pool{} // a line has no fields of the one before
	job := &carrier.Job{Workspace: "encuestas-norte", Priority: 1}
	route := s.View().Config.Routes[0]
	end := func(id string, a carrier.Answer) {
		s.recordOutcome(Statement{ID: id, Verb: Read}, &Outcome{Route: route, Job: job, Answer: a, Took: 317 * time.Millisecond})
	}
	end("1eb18e0ea9949495", carrier.Answer{Upstream: "i-264bb7ac34", Gateway: "front-cantel-2", Waited: 302 * time.Millisecond, Queued: 301 * time.Millisecond, Ran: 14 * time.Millisecond, Place: 3})
	end("a0f5e52b720ac2e5", s.atGateway(carrier.Answer{Code: carrier.Busy, Text: "upstream is overloaded; come back in 90ms", Queued: 40 * time.Millisecond, Place: 7}))
	end("b2df327ae8208d97", carrier.Answer{Code: carrier.Busy, Text: "the workspace's quota is used up; come back in 50ms"})
	got := regexp.MustCompile(`"ts":"[^"]*"`).ReplaceAllString(out.String(), `"ts":"2026-12-03T09:00:00.000Z"`)
	matcher.Golden(t, "testdata/ended.golden", got)

	var seen []Outcome
	s.Observe = func(o Outcome) { seen = append(seen, o) }
	is.Equal(s.do(Read, "", "seat").Code, carrier.OK)
	g.answer.Gateway = "front-cantel-2"
	is.Equal(s.do(Read, "", "seat").Code, carrier.OK)
	is.Equal([]string{seen[0].Answer.Gateway, seen[1].Answer.Gateway}, []string{"front-cantel-1", "front-cantel-2"})
}
