// Package daemon puts one proxy process together: its control side, its traffic
// and its operators' HTTP, from the settings of package loader.
//
// A [Daemon] owns no decision. It opens the listeners, makes the parts, joins
// their seams and stops them in an order in which nothing is cut: callers first,
// while the control side still answers, then the peers, then the control side.
//
// # Usage
//
//	d := &daemon.Daemon{Settings: settings, Log: log}
//	err := d.Run(ctx) // serves until ctx ends, then stops gracefully
//
// Run returns a [*CutError] when the stop had to cut something, which names it.
// [Daemon.Hasten] is the second signal.
//
// Several daemons can run in one process, as the demonstration does: they share
// nothing.
package daemon
