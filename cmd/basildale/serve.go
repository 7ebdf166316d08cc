package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/daemon"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/proxier"
)

type serveCmd struct {
	File string `arg:"" help:"The settings file." type:"path" env:"BASILDALE_SETTINGS"`
}

// Help is the long help of the command.
func (serveCmd) Help() string {
	return `Runs one proxy process until it is interrupted, gets SIGTERM or is drained, and
then stops gracefully: it takes no new callers, ends idle sessions between
requests, finishes what is under way for as long as the setting stop allows, and
exits. Logs go to standard output as JSON lines. Exits with
2 when a setting is wrong.`
}

// Run runs the process.
func (c *serveCmd) Run(e *env) error {
	// Before the settings are read and until the last line of the log is written: a SIGHUP that
	// nobody handles ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, problems, err := loader.Load(c.File)
	if err != nil {
		return fail(exitUsage, err)
	}
	for _, p := range problems {
		fmt.Fprintln(e.err, p)
	}
	if len(problems) > 0 {
		return fail(exitUsage, errors.Newf("%d wrong settings", len(problems)))
	}
	out := newBounded(e.out)
	defer out.close()
	log := newLogger(out, settings.Log)
	defer func() { _ = log.Sync() }() // a terminal can't be synced
	log.Info("serve: starting", zap.String("name", settings.Name), zap.String("zone", settings.Zone))
	if settings.Wire == loader.Lines {
		p := &proxier.Proxier{Settings: settings, Log: log}
		go func() {
			<-p.Started() // the process starts with the settings that were read before
			c.reload(hangups, p, log)
		}()
		return p.Run(e.ctx)
	}
	go ignore(hangups, log)
	d := &daemon.Daemon{Settings: settings, Log: log}
	go announce(e.ctx, d, log)
	defer hasten(d)()
	if err := d.Run(e.ctx); err != nil {
		return err
	}
	log.Info("serve: stopped")
	return nil
}

// reload reads the settings anew at each SIGHUP. Settings that are wrong change nothing.
func (c *serveCmd) reload(hangups <-chan os.Signal, p *proxier.Proxier, log *zap.Logger) {
	for range hangups {
		settings, problems, err := loader.Load(c.File)
		if err != nil || len(problems) > 0 {
			log.Error("serve: settings not reloaded", zap.Int("problems", len(problems)), zap.Error(err))
			continue
		}
		p.Reload(settings)
	}
}

// ignore logs each SIGHUP to a process that reads its settings at its start only.
func ignore(hangups <-chan os.Signal, log *zap.Logger) {
	for range hangups {
		log.Warn("serve: settings not reloaded, they need a restart")
	}
}

// hasten ends the stop of a process at its second signal; the first one ends the
// command's context. The function returned ends the watch.
func hasten(d *daemon.Daemon) func() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-signals:
			}
			if n > 0 {
				d.Hasten()
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// announce logs the addresses once callers can connect. With port 0 in the
// settings they are known only then.
func announce(ctx context.Context, d *daemon.Daemon, log *zap.Logger) {
	select {
	case <-d.Started():
		log.Info("serve: ready",
			zap.Stringer("callers", d.Callers()), zap.Stringer("peers", d.Peers()), zap.Stringer("operators", d.Operators()))
	case <-ctx.Done():
	}
}
