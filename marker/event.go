package marker

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Event is one of the structs of this file.
type Event interface{ event() }

// Tick carries only the time. It is due no later than [Marker.Next].
type Tick struct{}

// Viewed gives the proxies that may be running, this one included, leaving ones
// too: a name is left out only when its process has ended. Versions rise; the
// same version has the same members everywhere. See [Roster].
type Viewed struct {
	Version uint64
	Members []string
}

// Read says that a read wants its session's mark. ID is unique among the reads
// and writes in hand. A key without a session asks for a check. The read is
// given up when its deadline, unless that is zero, can't be met.
type Read struct {
	ID       uint64
	Key      tracker.Key
	Deadline time.Time
}

// Wrote says that a write of a session has run and left this mark.
type Wrote struct {
	ID   uint64
	Key  tracker.Key
	Mark tracker.Mark
}

// Stated is an upstream's answer to a [Check], asked for after the command was
// given. Size is the number of upstreams in the group.
type Stated struct {
	Group    string
	Batch    uint64
	Upstream int
	Size     int
	State    tracker.State
}

// Received is a message of another proxy.
type Received struct {
	From    string
	Message Message
}

func (Tick) event()     {}
func (Viewed) event()   {}
func (Read) event()     {}
func (Wrote) event()    {}
func (Stated) event()   {}
func (Received) event() {}

// Message is what proxies send one another: one of the structs below. Messages
// may be lost, late or doubled. Serial ties an answer to its question and is
// never used again by the same run.
type Message interface{ message() }

// Get asks a home for a session's mark.
type Get struct {
	Serial uint64      `json:"serial"`
	Key    tracker.Key `json:"key"`
}

// Found answers [Get].
type Found struct {
	Serial uint64         `json:"serial"`
	Answer tracker.Answer `json:"answer"`
}

// Put tells a home the mark of a write.
type Put struct {
	Serial uint64       `json:"serial"`
	Key    tracker.Key  `json:"key"`
	Mark   tracker.Mark `json:"mark"`
}

// Taken answers [Put].
type Taken struct {
	Serial uint64 `json:"serial"`
}

// Complete tells a home what a check has found, with the token it gave before.
type Complete struct {
	Key   tracker.Key  `json:"key"`
	Token uint64       `json:"token"`
	Mark  tracker.Mark `json:"mark"`
}

// Ping asks for a promise at the view.
type Ping struct {
	Serial  uint64 `json:"serial"`
	Version uint64 `json:"version"`
}

// Pong gives it.
type Pong struct {
	Serial  uint64 `json:"serial"`
	Version uint64 `json:"version"`
}

func (Get) message()      {}
func (Found) message()    {}
func (Put) message()      {}
func (Taken) message()    {}
func (Complete) message() {}
func (Ping) message()     {}
func (Pong) message()     {}
