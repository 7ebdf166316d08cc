package marker

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Command is one of the structs of this file.
type Command interface{ command() }

// Send sends a message to another proxy.
type Send struct {
	To      string
	Message Message
}

// Check asks every upstream of the group for its state. Each answer is handed in
// as [Stated], with the batch.
type Check struct {
	Group string
	Batch uint64
}

// Source says where a mark comes from.
type Source uint8

// The sources of marks.
const (
	FromHome Source = iota
	FromCheck
)

// String returns the source in lower case.
func (s Source) String() string {
	if s == FromHome {
		return "home"
	}
	return "check"
}

// Release lets a read go on: no write acknowledged before the read came in is
// past the mark.
type Release struct {
	ID     uint64
	Mark   tracker.Mark
	Source Source
}

// Fail gives a read up: no primary is borne out. It has not run. Retry is when
// it may be worth coming back.
type Fail struct {
	ID    uint64
	Retry time.Time
}

// Acknowledge lets a write be acknowledged, so far as marks go.
type Acknowledge struct{ ID uint64 }

func (Send) command()        {}
func (Check) command()       {}
func (Release) command()     {}
func (Fail) command()        {}
func (Acknowledge) command() {}
