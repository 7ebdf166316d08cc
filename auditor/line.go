package auditor

import (
	"bytes"
	"encoding/json"
	"time"
)

// line is what the audit takes of a log line.
type line struct {
	At        time.Time `json:"ts"`
	Message   string    `json:"msg"`
	Group     string    `json:"group"`
	Upstream  string    `json:"upstream"`
	Code      string    `json:"code"`
	Cause     string    `json:"cause"`
	Took      float64   `json:"took"`      // seconds
	Objective float64   `json:"objective"` // seconds
	Freshness string    `json:"freshness"`
	Writes    bool      `json:"writes"`
	Led       bool      `json:"led"`
	Waited    float64   `json:"waited"` // seconds
	// Lines of older processes lack the following. Priority tells them apart.
	Priority  *int    `json:"priority"`
	Workspace string  `json:"workspace"`
	Gateway   string  `json:"gateway"`
	Queued    float64 `json:"queued"` // seconds
	Ran       float64 `json:"ran"`    // seconds
}

// The messages that the audit knows.
const (
	ended   = "conductor: request ended"
	changed = "carrier: leader changed"
	verify  = "overseer: verify"
	guard   = "overseer: guard"
	halt    = "overseer: halt"
	promote = "overseer: promote"
	codeOK  = "ok"
	inDoubt = "in doubt"
)

// parse reads a line. What stands before the first brace is skipped, since collectors
// put their own time and the process's name there. ok is false for anything else.
func parse(text []byte) (l line, ok bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return line{}, false
	}
	if err := json.Unmarshal(text[at:], &l); err != nil {
		return line{}, false
	}
	return l, l.Message != "" && !l.At.IsZero()
}

// relevant reports whether the audit uses a line.
func (l *line) relevant() bool {
	switch l.Message {
	case ended, changed, verify, guard, halt, promote:
		return true
	default:
		return false
	}
}

// refusal returns the cause of a refusal without what differs from one to the next.
func (l *line) refusal() string {
	return l.Code + ": " + numbers.ReplaceAllString(l.Cause, "N")
}

// service returns the service time of a request in seconds. Older processes do not state it,
// and neither do commits: it is then what the request did not wait for.
func (l *line) service() float64 {
	switch {
	case l.Ran > 0:
		return l.Ran
	case l.Code != codeOK:
		return 0
	default:
		return max(0, l.Took-max(l.Waited, l.Queued))
	}
}
