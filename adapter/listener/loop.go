package listener

import (
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"go.uber.org/zap"
)

// loops returns how many event loops to run. One serves thousands of
// connections; more only help when several processors are free.
func loops() int {
	return min(max(runtime.GOMAXPROCS(0)/2, 1), maxLoops)
}

// startLoop starts an engine with one event loop.
func startLoop(log *zap.Logger) (*nbio.Engine, error) {
	engineSetup.Lock()
	defer engineSetup.Unlock()
	logging.SetLogger(engineLog{log.Sugar()})
	nbio.MaxOpenFiles = openFiles()
	engine := nbio.NewEngine(nbio.Config{Name: "listener", NPoller: 1, EpollMod: nbio.EPOLLET})
	engine.OnOpen(func(*nbio.Conn) {})
	engine.OnRead(onRead)
	engine.OnClose(onClose)
	engine.OnWrittenSize(onWritten)
	if err := engine.Start(); err != nil {
		return nil, err
	}
	return engine, awaitLoop(engine)
}

// openFiles bounds nbio's table of connections, one pointer for each file
// descriptor. Its default of two million would cost 16 MB in each process.
func openFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return minOpenFiles
	}
	return int(min(max(limit.Cur, minOpenFiles), maxOpenFiles))
}

// probe is the session of a connection that only shows that a loop runs.
type probe struct {
	opened atomic.Bool // as in Conn
	seen   chan struct{}
}

// awaitLoop returns when the engine's loop has handled an event. A loop clears
// its stop flag when it begins: an engine that is stopped before that would
// spin for ever on its wake-up descriptor, with Stop waiting for it.
func awaitLoop(engine *nbio.Engine) error {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return errors.Wrap(err, "socket pair")
	}
	defer func() { _ = syscall.Close(pair[1]) }()
	file := os.NewFile(uintptr(pair[0]), "probe")
	conn, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return errors.Wrap(err, "socket pair")
	}
	nc, err := nbio.NBConn(conn)
	if err != nil {
		return err
	}
	p := &probe{seen: make(chan struct{}, 1)}
	nc.SetSession(p)
	p.opened.Store(true)
	if _, err := syscall.Write(pair[1], []byte{0}); err != nil {
		return errors.Wrap(err, "socket pair")
	}
	if _, err := engine.AddConn(nc); err != nil {
		return err
	}
	<-p.seen
	return nc.Close()
}
