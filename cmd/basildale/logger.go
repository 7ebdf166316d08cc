package main

import (
	"io"

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
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level))
}
