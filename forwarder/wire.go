package forwarder

import (
	"encoding/json"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/delegator"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/tracker"
)

// maxEscaped is the size up to which text is a JSON string although its escapes make that
// longer than base64.
const maxEscaped = 64 << 10

// text is what a caller or an upstream wrote: any bytes. Its JSON form is a string, or an object
// with the bytes in base64 where a string would change them or is very long. A process that
// doesn't know the object fails to decode it.
type text string

// encodedText is the form of text that is no JSON string.
type encodedText struct {
	Bytes []byte `json:"b"`
}

// MarshalJSON implements json.Marshaler.
func (t text) MarshalJSON() ([]byte, error) {
	if !utf8.ValidString(string(t)) {
		return json.Marshal(encodedText{[]byte(t)})
	}
	quoted, err := json.Marshal(string(t))
	if err != nil || len(quoted) <= maxEscaped {
		return quoted, err
	}
	if encoded, err := json.Marshal(encodedText{[]byte(t)}); err != nil || len(encoded) < len(quoted) {
		return encoded, err
	}
	return quoted, nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(b []byte) error {
	if len(b) == 0 || b[0] != '{' {
		return json.Unmarshal(b, (*string)(t))
	}
	var e encodedText
	if err := json.Unmarshal(b, &e); err != nil {
		return err
	}
	if e.Bytes == nil {
		return errors.New("forwarder: text in an unknown form")
	}
	*t = text(e.Bytes)
	return nil
}

// The wire types state what of a type of package carrier travels, and in which form. Their
// fields without a tag have the names that the types of package carrier gave them.
type (
	wireRequest struct {
		Action       action              `json:"action"`
		Group        text                `json:"group"`
		Stream       uint64              `json:"stream,omitempty"`
		ReadOnly     bool                `json:"readonly,omitempty"`
		Request      text                `json:"request,omitempty"`
		Workspace    text                `json:"workspace,omitempty"`
		Rank         int                 `json:"rank,omitempty"`
		Freshness    cataloger.Freshness `json:"freshness,omitempty"`
		MaxStaleness time.Duration       `json:"maxage,omitempty"`
		LastWrite    tracker.Mark        `json:"own,omitzero"`
		Writes       bool                `json:"writes,omitempty"`
		Age          time.Duration       `json:"age,omitempty"`
		Left         time.Duration       `json:"left,omitempty"`
		Objective    time.Duration       `json:"aim,omitempty"`
		Values       []wireValue         `json:"values,omitempty"`
		Prepared     *wirePrepared       `json:"prepared,omitempty"`
		Command      wireCommand         `json:"command,omitzero"`
		Lend         *delegator.Lend     `json:"lend,omitempty"`
		Return       *delegator.Return   `json:"return,omitempty"`
		Loads        bool                `json:"loads,omitempty"`
	}
	wireValue struct {
		Name text
		Data text
	}
	wirePrepared struct {
		Shape  text
		Writes bool
	}
	wireCommand struct {
		ID     text
		Verb   carrier.Verb
		Since  tracker.Mark
		Text   text
		Name   text
		Value  text
		Writes bool
		Term   tracker.Term
	}
	wireResponse struct {
		Answer      wireAnswer           `json:"answer"`
		Refused     bool                 `json:"refused,omitempty"`
		LeaderFault gossiper.LeaderFault `json:"trouble,omitempty"`
		Substitute  *substitute          `json:"substitute,omitempty"`
		Loan        *delegator.Reply     `json:"loan,omitempty"`
		Loads       []gatewayLoad        `json:"loads,omitempty"`
	}
	wireAnswer struct {
		Rows       []text
		Signature  text
		Code       carrier.Code
		Text       text
		State      carrier.State
		Mark       tracker.Mark
		Waited     time.Duration
		Ran        time.Duration
		Upstream   text
		Connection uint64 `json:",omitempty"`
		Led        bool
		Queued     time.Duration `json:",omitempty"`
		Place      int           `json:",omitempty"`
		Gateway    text          `json:",omitempty"`
		Report     carrier.Report
	}
)

// MarshalJSON implements json.Marshaler.
func (r request) MarshalJSON() ([]byte, error) {
	c := &r.Command
	w := wireRequest{
		Action: r.Action, Group: text(r.Group), Stream: r.Stream, ReadOnly: r.ReadOnly, Request: text(r.Request), Workspace: text(r.Workspace), Rank: r.Rank, Freshness: r.Freshness, MaxStaleness: r.MaxStaleness,
		LastWrite: r.LastWrite, Writes: r.Writes, Age: r.Age, Left: r.Left, Objective: r.Objective, Lend: r.Lend, Return: r.Return, Loads: r.Loads,
		Command: wireCommand{ID: text(c.ID), Verb: c.Verb, Since: c.Since, Text: text(c.Text), Name: text(c.Name), Value: text(c.Value), Writes: c.Writes, Term: c.Term},
	}
	for _, v := range r.Values {
		w.Values = append(w.Values, wireValue{text(v.Name), text(v.Data)})
	}
	if p := r.Prepared; p != nil {
		w.Prepared = &wirePrepared{text(p.Shape), p.Writes}
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *request) UnmarshalJSON(b []byte) error {
	var w wireRequest
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	c := &w.Command
	*r = request{
		Action: w.Action, Group: string(w.Group), Stream: w.Stream, ReadOnly: w.ReadOnly, Request: string(w.Request), Workspace: string(w.Workspace), Rank: w.Rank, Freshness: w.Freshness, MaxStaleness: w.MaxStaleness,
		LastWrite: w.LastWrite, Writes: w.Writes, Age: w.Age, Left: w.Left, Objective: w.Objective, Lend: w.Lend, Return: w.Return, Loads: w.Loads,
		Command: carrier.Command{ID: string(c.ID), Verb: c.Verb, Since: c.Since, Text: string(c.Text), Name: string(c.Name), Value: string(c.Value), Writes: c.Writes, Term: c.Term},
	}
	for _, v := range w.Values {
		r.Values = append(r.Values, carrier.Value{Name: string(v.Name), Data: string(v.Data)})
	}
	if p := w.Prepared; p != nil {
		r.Prepared = &carrier.Prepared{Shape: string(p.Shape), Writes: p.Writes}
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (r response) MarshalJSON() ([]byte, error) {
	a := &r.Answer
	w := wireResponse{
		Refused: r.Refused, LeaderFault: r.LeaderFault, Substitute: r.Substitute, Loan: r.Loan, Loads: r.Loads,
		Answer: wireAnswer{
			Signature: text(a.Signature), Code: a.Code, Text: text(a.Text), State: a.State, Mark: a.Mark, Waited: a.Waited, Ran: a.Ran, Upstream: text(a.Upstream),
			Connection: a.Connection, Led: a.Led, Queued: a.Queued, Place: a.Place, Gateway: text(a.Gateway), Report: a.Report,
		},
	}
	for _, row := range a.Rows {
		w.Answer.Rows = append(w.Answer.Rows, text(row))
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *response) UnmarshalJSON(b []byte) error {
	var w wireResponse
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	a := &w.Answer
	*r = response{
		Refused: w.Refused, LeaderFault: w.LeaderFault, Substitute: w.Substitute, Loan: w.Loan, Loads: w.Loads,
		Answer: carrier.Answer{
			Signature: string(a.Signature), Code: a.Code, Text: string(a.Text), State: a.State, Mark: a.Mark, Waited: a.Waited, Ran: a.Ran, Upstream: string(a.Upstream),
			Connection: a.Connection, Led: a.Led, Queued: a.Queued, Place: a.Place, Gateway: string(a.Gateway), Report: a.Report,
		},
	}
	for _, row := range a.Rows {
		r.Answer.Rows = append(r.Answer.Rows, string(row))
	}
	return nil
}
