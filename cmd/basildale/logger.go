package main

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger to w: lines for people on a terminal, JSON
// elsewhere. Each part begins its messages with its own name and a colon.
func newLogger(w io.Writer, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if terminal(w) {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	core := plain{zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)}
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter))
}

// The volume of the log stays bounded under load: of each message this many are
// written in a second, and then every twentieth. A process serves some 60 requests
// a second on an ordinary day.
const (
	sampleFirst      = 200
	sampleThereafter = 20
)

// plain writes errors as their text. Our errors carry stack traces, which a
// logger would add to each line: twenty lines for one short sentence.
type plain struct{ zapcore.Core }

// With returns a core whose lines all carry fields.
func (p plain) With(fields []zapcore.Field) zapcore.Core {
	return plain{p.Core.With(texts(fields))}
}

// Check adds the core to ce when it takes the entry.
func (p plain) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(e.Level) {
		return ce.AddCore(e, p)
	}
	return ce
}

// Write writes one line.
func (p plain) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(e, texts(fields))
}

func texts(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out = append(out, f)
	}
	return out
}
