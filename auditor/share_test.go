package auditor

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against memory that grows with the log: causes that differ from one refusal to the
// next are counted together beyond a bound, and no line is kept. 10,000 workspaces that use
// the same have an equal share each.
func TestSharesAreBounded(t *testing.T) {
	is := is.New(t)
	a := Audit{By: ByWorkspace}
	var log strings.Builder
	for i := range 10_000 {
		fmt.Fprintf(&log, `{"ts":"2026-12-03T09:00:00Z","msg":%q,"group":"g","code":"ok","took":0.1,"ran":0.01,"objective":0.2,"priority":0,"workspace":"w%d"}`+"\n", ended, i)
		fmt.Fprintf(&log, `{"ts":"2026-12-03T09:00:00Z","msg":%q,"group":"g","code":"busy","cause":%q,"priority":0}`+"\n", ended, strings.Repeat("x", i%500))
	}
	is.NoErr(a.Read(strings.NewReader(log.String())))
	report := a.Shares()
	is.Equal(len(report.Shares), 10_001)
	is.Equal(len(a.rows)+len(a.groups), 0)
	for _, s := range report.Shares {
		if s.Key == None {
			is.Equal(len(s.Refused), maxCauses+1)
			is.Equal(s.Asked, 10_000)
			continue
		}
		is.True(math.Abs(s.Equal-1) < 1e-6)
	}
}

// Guards against service time that includes waiting: older processes and commits do not state
// it.
func TestServiceTime(t *testing.T) {
	is := is.New(t)
	is.Equal((&line{Code: codeOK, Took: 0.5, Waited: 0.25, Ran: 0.125}).service(), 0.125)
	is.Equal((&line{Code: codeOK, Took: 0.5, Waited: 0.25}).service(), 0.25)
	is.Equal((&line{Code: codeOK, Took: 0.5, Queued: 0.75}).service(), 0.0)
	is.Equal((&line{Code: "busy", Took: 0.5}).service(), 0.0)
}

// Guards against times of a gap that are shown in another zone than the log's.
func TestEventsKeepTheZoneOfTheLog(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`"2026-12-03T09:00:00.25Z"`, `"2026-12-03T09:00:00.25+02:00"`, `"2026-12-03T09:00:00-09:30"`} {
		var at time.Time
		is.NoErr(json.Unmarshal([]byte(text), &at))
		got, err := json.Marshal(newEvent(at, writeDone).time())
		is.NoErr(err)
		is.Equal(string(got), text)
	}
}
