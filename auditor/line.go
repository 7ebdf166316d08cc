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
