package relayer

import (
	"encoding/binary"
	"time"

	"basildale.example/basildale/retrier"
)

// SQLSTATEs that the proxy itself sends.
const (
	codeProtocol          = "08P01"
	codeNoSuch            = "26000"
	codeDuplicate         = "42P05"
	codeInTransaction     = "25P02"
	codeActiveTransaction = "25001"
	codeInvalidValue      = "22023"
	codeUnsupported       = "BD102"
	codeTooLarge          = "54000"
	codeTooMany           = "53300"
	codeIdle              = "25P03"
	codeWrongPassword     = "28P01"
	codeNoCaller          = "28000"
)

// fault is an error message to the caller.
type fault struct {
	severity string // empty means ERROR
	code     string
	message  string
	detail   string
	hint     string
}

// protocolError ends a session with a message to the caller.
type protocolError struct {
	code    string
	message string
}

// Error returns the message.
func (e *protocolError) Error() string { return "relayer: " + e.message }

// append appends the ErrorResponse.
func (f *fault) append(b []byte) []byte {
	severity := f.severity
	if severity == "" {
		severity = "ERROR"
	}
	start := len(b)
	b = append(b, 'E', 0, 0, 0, 0)
	b = field(b, 'S', severity)
	b = field(b, 'V', severity)
	b = field(b, 'C', f.code)
	b = field(b, 'M', f.message)
	b = field(b, 'D', f.detail)
	b = field(b, 'H', f.hint)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b[start+1:], uint32(len(b)-start-1))
	return b
}

func field(b []byte, kind byte, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, kind)
	b = append(b, value...)
	return append(b, 0)
}

// errorField returns a field of an ErrorResponse's body.
func errorField(body []byte, kind byte) string {
	for len(body) > 0 && body[0] != 0 {
		k := body[0]
		value, rest, ok := cstring(body[1:])
		if !ok {
			return ""
		}
		if k == kind {
			return string(value)
		}
		body = rest
	}
	return ""
}

// faultOf puts an outcome into words for the caller.
func faultOf(o retrier.Outcome, message string, now time.Time) *fault {
	f := &fault{code: o.SQLState(), hint: o.Hint(now)}
	switch o.Kind {
	case retrier.NotRun:
		f.message = "not run: " + o.Cause.String()
	case retrier.Done:
		f.code = retrier.StateUnknown
		f.message = "the answer was lost"
		f.detail = "The request is done; it must not be sent again."
	default:
		f.message = "outcome unknown: " + o.Cause.String()
		f.hint = "Look whether it was done before sending it again."
	}
	if message != "" {
		f.message += ": " + message
	}
	return f
}

// writeFault gathers an error message for the caller.
func (s *Session) writeFault(f *fault) {
	s.openOut()
	s.out = f.append(s.out)
	s.tail = -1
}

// writeReady gathers a ReadyForQuery.
func (s *Session) writeReady() {
	s.openOut()
	s.out = append(s.out, 'Z', 0, 0, 0, 5, s.tx)
}
