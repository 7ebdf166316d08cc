package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"

	"basildale.example/basildale/proxier"
)

// lines is a log that may be read while it is written.
type lines struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.got.Write(p)
}

func (l *lines) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.got.String(), text)
}

// Symptom: all callers of a process are cut off. Sequence: its settings file
// changes and it gets SIGHUP. Cause: a signal that nobody handles ends a process.
func TestHangupReloadsTheSettings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "proxy.yaml")
	const text = `name: alone
zone: vejle-hal
workspace: platform
wire: lines
listen: 127.0.0.1:0
ready: 127.0.0.1:0
peers: 127.0.0.1:0
carry: 127.0.0.1:0
operators: 127.0.0.1:0
platform: [127.0.0.1:1]
orders: 127.0.0.1:1
stop: `
	is.NoErr(os.WriteFile(file, []byte(text+"9s\n"), 0o600))
	var out lines
	log := newLogger(&out, zapcore.InfoLevel)
	c := &serveCmd{File: file}
	defer c.reloads(&proxier.Proxier{Log: log}, log)()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	for !out.has(`"msg":"proxier: settings reloaded","stop":9`) {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(os.WriteFile(file, []byte(text+"soon\n"), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	for !out.has(`"msg":"serve: settings not reloaded"`) {
		time.Sleep(time.Millisecond)
	}
}
