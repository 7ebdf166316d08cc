// Package network is a stand-in for TCP: listeners and connections in memory, so
// that tests of adapters run in virtual time (testing/synctest).
//
// # Usage
//
//	var n network.Network
//	ln := n.Listen(addr)
//	conn, err := n.Dial(ctx, addr)
package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Network holds the listeners. Its zero value is empty and ready; it is safe for
// concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*Listener
	dials     int
	bytes     int
}

// Listener takes connections at one address.
type Listener struct {
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// Listen replaces the listener at addr, if there is one.
func (n *Network) Listen(addr netip.AddrPort) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*Listener)
	}
	n.listeners[addr] = l
	return l
}

// Dial connects to a listener. It fails with ECONNREFUSED if there is none.
func (n *Network) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.dials++
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	here, there := net.Pipe()
	select {
	case l.conns <- conn{there, n}:
		return conn{here, n}, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns how often Dial was called.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Bytes returns how many bytes were written to all connections.
func (n *Network) Bytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// conn counts what is written.
type conn struct {
	net.Conn
	network *Network
}

func (c conn) Write(b []byte) (int, error) {
	written, err := c.Conn.Write(b)
	c.network.mu.Lock()
	c.network.bytes += written
	c.network.mu.Unlock()
	return written, err
}
