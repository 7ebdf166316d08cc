package relayer

import (
	"strconv"
	"strings"
	"time"

	"basildale.example/basildale/tracker"
)

// notePrefix begins the names of settings that are meant for the proxy.
const notePrefix = "basildale."

// Class is what a caller says a statement is for.
type Class uint8

// The classes. Unclassed means that the caller is silent.
const (
	Unclassed Class = iota
	Booking
	Lookup
)

// String returns the class as callers write it, empty for Unclassed.
func (c Class) String() string {
	switch c {
	case Booking:
		return "booking"
	case Lookup:
		return "lookup"
	default:
		return ""
	}
}

// Notes are a session's annotations: what its caller has said about its
// statements by startup parameters or SET of basildale.* settings.
type Notes struct {
	Class Class
	// Budget is the time that each statement has from its arrival; 0 means that
	// the caller is silent.
	Budget time.Duration
	// Age is the greatest age of the data that a read may show. AnyAge is set
	// when the caller has stated one.
	Age    time.Duration
	AnyAge bool
	// Repeat says that a write may run more than once.
	Repeat bool
	// Session names the caller's session across proxies.
	Session string
	// Mark is the latest write that reads must show.
	Mark tracker.Mark
	// Known says that no earlier write of a session without a name is past Mark:
	// its caller has handed the mark over, or the primary was checked.
	Known bool
}

// set takes one annotation. The name has its prefix.
func (n *Notes) set(name, value string) *fault {
	short := strings.TrimPrefix(strings.ToLower(name), notePrefix)
	if value == "" || strings.EqualFold(value, "default") {
		return n.reset(short)
	}
	ok := true
	switch short {
	case "class":
		ok = n.setClass(value)
	case "deadline":
		n.Budget, ok = duration(value)
		ok = ok && n.Budget > 0
	case "age":
		n.Age, ok = duration(value)
		n.AnyAge = ok
	case "repeat":
		n.Repeat, ok = boolean(value)
	case "session":
		n.Session = value
	case "mark":
		ok = n.setMark(value)
	default:
		return noSetting(short)
	}
	if !ok {
		return &fault{
			code:    codeInvalidValue,
			message: "invalid value for " + notePrefix + short + ": " + strconv.Quote(value),
			hint:    allowed(short),
		}
	}
	return nil
}

func (n *Notes) reset(short string) *fault {
	switch short {
	case "class":
		n.Class = Unclassed
	case "deadline":
		n.Budget = 0
	case "age":
		n.Age, n.AnyAge = 0, false
	case "repeat":
		n.Repeat = false
	case "session":
		n.Session = ""
	case "mark":
		n.Mark, n.Known = tracker.Mark{}, false
	default:
		return noSetting(short)
	}
	return nil
}

func (n *Notes) setClass(value string) bool {
	switch strings.ToLower(value) {
	case "booking":
		n.Class = Booking
	case "lookup":
		n.Class = Lookup
	default:
		return false
	}
	return true
}

// setMark keeps the later of two marks: a session's reads never go back.
func (n *Notes) setMark(value string) bool {
	m, err := tracker.ParseMark(value)
	if err != nil {
		return false
	}
	if n.Mark.Less(m) {
		n.Mark = m
	}
	n.Known = true
	return true
}

// show returns an annotation's value as callers write it.
func (n *Notes) show(name string) (string, *fault) {
	short := strings.TrimPrefix(strings.ToLower(name), notePrefix)
	switch short {
	case "class":
		return n.Class.String(), nil
	case "deadline":
		return shown(n.Budget, n.Budget > 0), nil
	case "age":
		return shown(n.Age, n.AnyAge), nil
	case "repeat":
		if n.Repeat {
			return "on", nil
		}
		return "off", nil
	case "session":
		return n.Session, nil
	case "mark":
		if n.Mark.IsZero() {
			return "", nil
		}
		return n.Mark.String(), nil
	default:
		return "", noSetting(short)
	}
}

func shown(d time.Duration, set bool) string {
	if !set {
		return ""
	}
	return d.String()
}

// duration reads a Go duration, or a number of milliseconds.
func duration(value string) (time.Duration, bool) {
	if ms, err := strconv.ParseUint(value, 10, 32); err == nil {
		return time.Duration(ms) * time.Millisecond, true
	}
	d, err := time.ParseDuration(value)
	return d, err == nil && d >= 0
}

func boolean(value string) (v, ok bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, true
	case "off", "false", "no", "0":
		return false, true
	default:
		return false, false
	}
}

func allowed(short string) string {
	switch short {
	case "class":
		return "Allowed are booking and lookup."
	case "deadline", "age":
		return "Allowed are milliseconds, or a duration such as 250ms or 2s."
	case "repeat":
		return "Allowed are on and off."
	case "mark":
		return "A mark has the form epoch.seq/position."
	default:
		return ""
	}
}

func noSetting(short string) *fault {
	return &fault{
		code:    "42704",
		message: "there is no setting " + notePrefix + short,
		hint:    "There are class, deadline, age, repeat, session and mark.",
	}
}
