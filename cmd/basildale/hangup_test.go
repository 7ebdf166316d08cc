package main

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"os/signal"
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

// text is the settings of a process without a platform, up to its stop timeout.
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
	is.NoErr(os.WriteFile(file, []byte(text+"9s\n"), 0o600))
	var out lines
	log := newLogger(&out, zapcore.InfoLevel)
	c := &serveCmd{File: file}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer close(hangups)
	defer signal.Stop(hangups)
	go c.reload(hangups, &proxier.Proxier{Log: log}, log)
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

// serveFile names the settings file that TestServeProcess serves, in a process of its own.
const serveFile = "BASILDALE_TEST_SERVE"

func TestServeProcess(t *testing.T) {
	file := os.Getenv(serveFile)
	if file == "" {
		t.Skip("the process of TestHangupWhileStartingIsNotTheEnd")
	}
	ctx, stop := signal.NotifyContext(t.Context(), syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, []string{"serve", file}, os.Stdout, os.Stderr))
}

// Guards against a process that is ended by a change of its settings while it starts.
func TestHangupWhileStartingIsNotTheEnd(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "proxy.yaml")
	is.NoErr(syscall.Mkfifo(file, 0o600)) // the process waits in its start until settings are written
	cmd := exec.Command(os.Args[0], "-test.run=^TestServeProcess$")
	cmd.Env = append(os.Environ(), serveFile+"="+file)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString(text + "1s\n")
	is.NoErr(err)
	is.NoErr(settings.Close())
	log := bufio.NewReader(out)
	line, err := log.ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, "serve: starting"))
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	_, err = io.Copy(io.Discard, log)
	is.NoErr(err)
	is.NoErr(cmd.Wait())
}
