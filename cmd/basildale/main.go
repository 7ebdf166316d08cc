// Command basildale is the proxy, its operators' tools and its demonstration in
// one binary.
//
// # Usage
//
//	basildale check vejle-1.yaml
//	basildale serve vejle-1.yaml
//	basildale status 10.1.0.11:7480
//	basildale --help
//
// Exit codes: 0 done; 1 failed, or a demonstration that counted a broken rule;
// 2 wrong settings or a wrong command line; 3 the process that was asked doesn't
// answer; 4 refused by the process that was asked.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// env is what a command may use of the process it runs in.
type env struct {
	ctx context.Context
	in  io.Reader
	out io.Writer
	err io.Writer
}
