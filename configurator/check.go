package configurator

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"basildale.example/basildale/limiter"
)

// Bounds of what a document may say.
const (
	maxName        = 63
	maxSlots       = 1000
	maxConnections = 10000
	maxUpstreams   = 9
	maxNames       = 1000 // of databases or zones in one object
	maxWeight      = 100
	maxOpening     = 10000.0
	maxRetries     = 1.0
	minDeadline    = Duration(time.Millisecond)
	maxDeadline    = Duration(limiter.MaxDefaultTimeout)
	maxAge         = Duration(24 * time.Hour)
)

// The values of Preset.Writes.
const (
	WritesAllow  = "allow"
	WritesRefuse = "refuse"
)

// verifierForm is PostgreSQL's text form of a SCRAM verifier.
const verifierForm = `^SCRAM-SHA-256\$[0-9]{1,9}:[A-Za-z0-9+/=]+\$[A-Za-z0-9+/=]{44}:[A-Za-z0-9+/=]{44}$`

// isName reports whether s can name an object.
func isName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i, r := range s {
		alnum := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alnum && (i == 0 || !strings.ContainsRune("-_.", r)) {
			return false
		}
	}
	return true
}

// finder collects what is wrong with one spec.
type finder struct {
	found []fieldError
}

func (f *finder) add(field, format string, args ...any) {
	f.found = append(f.found, fieldError{field: field, text: fmt.Sprintf(format, args...)})
}

// between adds a problem unless low <= v <= high.
func (f *finder) between(field string, v, low, high int) {
	if v < low || v > high {
		f.add(field, "%d is out of bounds; allowed: %d to %d", v, low, high)
	}
}

// lasting adds a problem unless low <= d <= high.
func (f *finder) lasting(field string, d, low, high Duration) {
	if d < low || d > high {
		f.add(field, "%s is out of bounds; allowed: %s to %s", time.Duration(d), time.Duration(low), time.Duration(high))
	}
}

// share adds a problem unless 0 <= v <= high.
func (f *finder) share(field string, v, high float64) {
	if !(v >= 0 && v <= high) { // also what is no number
		f.add(field, "%g is out of bounds; allowed: 0 to %g", v, high)
	}
}

// class adds a problem unless s is a class of requests.
func (f *finder) class(field, s string) {
	if s != ClassBooking && s != ClassLookup {
		f.add(field, "%q is unknown; allowed: %s, %s", s, ClassBooking, ClassLookup)
	}
}

// name adds a problem unless s can name an object.
func (f *finder) name(field, s string) {
	if !isName(s) {
		f.add(field, "%q is no name; allowed: 1 to %d letters, digits, '-', '_' and '.'", s, maxName)
	}
}

// checkSpec finds what is wrong with a spec by itself.
func checkSpec(spec Spec) []fieldError {
	f := &finder{}
	switch s := spec.(type) {
	case *Workspace:
		checkWorkspace(f, s)
	case *Pool:
		f.name("workspace", s.Workspace)
	case *Group:
		checkGroup(f, s)
	case *Caller:
		checkCaller(f, s)
	case *Preset:
		checkPreset(f, s)
	case *Active:
		f.name("preset", s.Preset)
	}
	return f.found
}

func checkWorkspace(f *finder, s *Workspace) {
	if len(s.Zones) == 0 {
		f.add("zones", "is missing; allowed: a list of one or more availability zones")
	}
	f.between("zones", len(s.Zones), 0, maxNames)
	for i, z := range s.Zones {
		f.name(fmt.Sprintf("zones[%d]", i), z)
	}
}

func checkGroup(f *finder, s *Group) {
	f.name("pool", s.Pool)
	f.between("slots", s.Slots, 1, maxSlots)
	f.between("connections", s.Connections, max(1, s.Slots), maxConnections)
	if len(s.Databases) == 0 {
		f.add("databases", "is missing; allowed: a list of one or more databases")
	}
	f.between("databases", len(s.Databases), 0, maxNames)
	for i, d := range s.Databases {
		f.name(fmt.Sprintf("databases[%d]", i), d)
	}
	if n := len(s.Upstreams); n < 1 || n > maxUpstreams {
		f.add("upstreams", "there are %d; allowed: 1 to %d", n, maxUpstreams)
	}
	names := make(map[string]bool)
	addrs := make(map[netip.AddrPort]bool)
	for i, u := range s.Upstreams {
		at := fmt.Sprintf("upstreams[%d]", i)
		f.name(at+".name", u.Name)
		f.name(at+".zone", u.Zone)
		if !u.Address.IsValid() || u.Address.Port() == 0 {
			f.add(at+".address", "is missing; allowed: an IP number and a port, as in 10.0.0.7:5432")
		}
		if names[u.Name] {
			f.add(at+".name", "%q stands twice in the group", u.Name)
		}
		if addrs[u.Address] {
			f.add(at+".address", "%s stands twice in the group", u.Address)
		}
		names[u.Name], addrs[u.Address] = true, true
	}
}

func checkCaller(f *finder, s *Caller) {
	f.name("workspace", s.Workspace)
	f.class("class", s.Class)
	if !regexp.MustCompile(verifierForm).MatchString(s.Verifier) {
		// The value isn't shown: it may be a password put in the wrong place.
		f.add("verifier", "is missing or no verifier; allowed: SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER")
	}
	if s.Deadline != 0 {
		f.lasting("deadline", s.Deadline, minDeadline, maxDeadline)
	}
	f.lasting("age", s.Age, 0, maxAge)
}

func checkPreset(f *finder, s *Preset) {
	f.name("workspace", s.Workspace)
	if s.Writes != "" && s.Writes != WritesAllow && s.Writes != WritesRefuse {
		f.add("writes", "%q is unknown; allowed: %s, %s", s.Writes, WritesAllow, WritesRefuse)
	}
	f.between("window", s.Window, 0, limiter.MaxWindow)
	f.between("queue", s.Queue, 0, limiter.MaxQueueLength)
	f.between("reserved", s.Reserved, 0, maxConnections)
	f.share("opening", s.Opening, maxOpening)
	f.share("retries", s.Retries, maxRetries)
	for _, name := range []string{ClassBooking, ClassLookup} {
		if _, ok := s.Classes[name]; !ok {
			f.add("classes", "%q is missing; a preset says of both classes, %s and %s", name, ClassBooking, ClassLookup)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[name]
		at := "classes." + name
		f.class(at, name)
		f.between(at+".weight", c.Weight, 0, maxWeight)
		f.between(at+".slots", c.Slots, 0, limiter.MaxWindow)
		f.between(at+".queue", c.Queue, 0, limiter.MaxQueueLength)
		f.lasting(at+".deadline", c.Deadline, minDeadline, maxDeadline)
		f.lasting(at+".age", c.Age, 0, maxAge)
	}
}
