// Package commander speaks to upstreams about themselves: their state, how far
// their log has come, fencing, promotion, whom to follow, and what became of a
// request. It implements the asking side of the upstream contract in
// docs/CONTRACTS.md and decides nothing.
//
// Connections to upstreams are scarce, so a [Commander] keeps one to each and
// uses it for all its commands in turn. Waits for marks share it: one query at a
// time waits for the lowest mark that anybody wants, its answer serves all whose
// mark it has reached, and it is cut into slices so that other commands, a fence
// above all, don't stand behind it for long.
//
// All commands are idempotent. When a reused connection turns out to be broken,
// the command is therefore sent once more over a new one.
//
// # Usage
//
//	c := &commander.Commander{User: "basildale", Database: "app"}
//	defer c.Close()
//	answer, err := c.Fence(ctx, addr, term)
//	switch {
//	case errors.Is(err, commander.ErrStale):
//		// Refused: a later term is known there. Nothing has changed.
//	case errors.Is(err, commander.ErrUnreachable):
//		// Never sent.
//	case errors.Is(err, commander.ErrLost):
//		// Sent, no answer: it may have taken effect.
//	}
package commander
