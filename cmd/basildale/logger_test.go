package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func TestLogLinesAreShort(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := newLogger(&out, zapcore.InfoLevel).With(zap.NamedError("first", errors.New("one")))
	log.Debug("part: not written")
	log.Warn("part: short", zap.Error(errors.Wrap(errors.New("cause"), "wrapped")))
	is.True(strings.Contains(out.String(), `"msg":"part: short","first":"one","error":"wrapped: cause"}`))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(!strings.Contains(out.String(), "stack")) // no traces
}
