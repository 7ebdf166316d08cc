package conductor

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
)

// Outcome is how one request ended.
type Outcome struct {
	Route  cataloger.Route
	Job    *carrier.Job
	Answer carrier.Answer
	// Took is the time from the arrival of the request to its answer.
	Took time.Duration
}

// atGateway states this process as the gateway of an answer that no peer gave.
func (s *Session) atGateway(a carrier.Answer) carrier.Answer {
	if a.Gateway == "" {
		a.Gateway = s.Process
	}
	return a
}

// mayWrite reports whether a statement may change data: a write, the execution of a prepared
// statement that writes, or the commit of a transaction that is not read-only.
func (s *Session) mayWrite(st Statement) bool {
	switch st.Verb {
	case Write:
		return true
	case Execute:
		return s.prepared[st.Name].Writes
	case Commit:
		return !s.readOnly
	default:
		return false
	}
}

// maxOutcomeFields is the number of fields of the line that a request ends with.
const maxOutcomeFields = 25

// takeFields returns an empty slice for the fields of a line.
func (s *Session) takeFields() *[]zap.Field {
	if s.Fields != nil {
		if slice, ok := s.Fields.Get().(*[]zap.Field); ok {
			return slice
		}
	}
	slice := make([]zap.Field, 0, maxOutcomeFields)
	return &slice
}

// recordOutcome logs how a request ended and why, and reports it to Observe. Fields that say
// nothing are left out of the line: it is written for each request.
func (s *Session) recordOutcome(st Statement, o *Outcome) {
	if s.Observe != nil {
		s.Observe(*o)
	}
	ce := s.Log.Check(zap.InfoLevel, "conductor: request ended")
	if ce == nil {
		return
	}
	route, a := &o.Route, &o.Answer
	slice := s.takeFields()
	fields := append(*slice, zap.String("request", st.ID), zap.String("database", s.Database), zap.String("group", route.Group),
		zap.String("upstream", a.Upstream), zap.Bool("led", a.Led), zap.Stringer("freshness", route.Freshness),
		zap.Bool("writes", s.mayWrite(st)), zap.Stringer("code", a.Code), zap.String("cause", a.Text),
		zap.Duration("took", o.Took), zap.Duration("waited", a.Waited), zap.Duration("objective", route.Objective),
		zap.Duration("timeout", route.Timeout), zap.Uint64("configuration", s.View().Config.Version), zap.Int("priority", o.Job.Priority))
	if st.Text != "" {
		fields = append(fields, zap.Int("bytes", len(st.Text)), zap.Uint64("sum", xxhash.Sum64String(st.Text)))
	}
	if a.Connection != 0 {
		fields = append(fields, zap.Uint64("connection", a.Connection))
	}
	if o.Job.SessionState != 0 {
		fields = append(fields, zap.Uint64("state", o.Job.SessionState), zap.Duration("unchanged", s.Now().Sub(s.stateChangedAt)))
	}
	if o.Job.Workspace != "" {
		fields = append(fields, zap.String("workspace", o.Job.Workspace))
	}
	if a.Gateway != "" {
		fields = append(fields, zap.String("gateway", a.Gateway))
	}
	if a.Queued != 0 {
		fields = append(fields, zap.Duration("queued", a.Queued))
	}
	if a.Ran != 0 {
		fields = append(fields, zap.Duration("ran", a.Ran))
	}
	if a.Place != 0 && a.Code != carrier.OK {
		fields = append(fields, zap.Int("place", a.Place))
	}
	ce.Write(fields...)
	if s.Fields != nil {
		clear(fields) // they refer to the answer
		*slice = fields[:0]
		s.Fields.Put(slice)
	}
}
