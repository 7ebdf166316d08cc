package conductor

import (
	"io"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"basildale.example/basildale/carrier"
)

// logTo returns a logger that writes lines as a process does.
func logTo(w io.Writer) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.AddSync(w), zapcore.InfoLevel))
}

// countingWriter counts what is written to it.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

func BenchmarkRecordOutcome(b *testing.B) {
	s, _ := newSession()
	var out countingWriter
	s.Log, s.Fields = logTo(&out), &sync.Pool{}
	route := s.View().Config.Routes[0]
	a := carrier.Answer{Code: carrier.OK, Upstream: "i-264bb7ac34", Waited: 3 * time.Millisecond, Ran: 14 * time.Millisecond}
	a.Gateway, a.Queued = "front-olintepeque-2", 2*time.Millisecond
	job := &carrier.Job{Workspace: "encuestas-norte", Priority: 1}
	for b.Loop() {
		s.recordOutcome(Statement{ID: "1eb18e0ea9949495", Verb: Read}, &Outcome{Route: route, Job: job, Answer: a, Took: 17 * time.Millisecond})
	}
	b.ReportMetric(float64(out.bytes)/float64(b.N), "bytes/line")
}
