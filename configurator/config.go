package configurator

import (
	"cmp"
	"time"

	"basildale.example/basildale/limiter"
)

// Config is what is in force at one version, for traffic. It is never changed
// after it has been built, so any goroutine may read it.
//
// It holds what hangs together: a workspace with the preset in force for it, the
// pools below it, the groups below those, and the callers. What names something
// that is missing is left out and listed in Problems; two operators can bring
// that about when each one's change is right without the other's.
type Config struct {
	Version    uint64
	Workspaces map[string]*InForce
	Pools      map[string]*Pool
	Groups     map[string]*Group
	Callers    map[string]*Caller
	Problems   Problems

	byDatabase map[databaseKey]string // group by workspace and database
}

type databaseKey struct{ workspace, database string }

// InForce is a workspace with the one preset in force for it.
type InForce struct {
	Workspace *Workspace
	Name      string // of the preset
	Preset    *Preset
}

// Limits are a caller's limits after its own settings and its class are put
// together.
type Limits struct {
	Class    string
	Deadline time.Duration
	Age      time.Duration
	Repeat   bool
	Writes   bool // false: writes are refused by the preset
}

// Build returns the configuration that a set of entries makes at a version.
func Build(set Set, version uint64) *Config {
	c := &Config{
		Version:    version,
		Workspaces: make(map[string]*InForce),
		Pools:      make(map[string]*Pool),
		Groups:     make(map[string]*Group),
		Callers:    make(map[string]*Caller),
		byDatabase: make(map[databaseKey]string),
	}
	set.all(func(e Entry) { c.add(set, e) }) // what stands above comes first
	return c
}

func (c *Config) add(set Set, e Entry) {
	switch s := e.Spec.(type) {
	case *Workspace:
		c.addWorkspace(set, e.ID, s)
	case *Pool:
		if _, ok := c.Workspaces[s.Workspace]; !ok {
			c.skip(e.ID, "workspace", s.Workspace)
			return
		}
		c.Pools[e.ID.Name] = s
	case *Group:
		c.addGroup(e.ID, s)
	case *Caller:
		if _, ok := c.Workspaces[s.Workspace]; !ok {
			c.skip(e.ID, "workspace", s.Workspace)
			return
		}
		c.Callers[e.ID.Name] = s
	}
}

// addWorkspace finds the preset in force. A removed preset that is named by the
// active object stays in force until another is chosen: the alternative is a
// workspace without limits because two operators acted at once.
func (c *Config) addWorkspace(set Set, id ID, s *Workspace) {
	active, ok := set[ID{KindActive, id.Name}].Spec.(*Active)
	if !ok {
		c.skip(id, "active preset", id.Name)
		return
	}
	preset, ok := set[ID{KindPreset, active.Preset}].Spec.(*Preset)
	if !ok {
		c.skip(id, "preset", active.Preset)
		return
	}
	if set[ID{KindPreset, active.Preset}].Removed {
		c.Problems = append(c.Problems, Problem{ID: id, Field: "preset", Text: "\"" + active.Preset + "\" is removed and still in force; put another in force"})
	}
	c.Workspaces[id.Name] = &InForce{Workspace: s, Name: active.Preset, Preset: preset}
}

func (c *Config) addGroup(id ID, s *Group) {
	pool, ok := c.Pools[s.Pool]
	if !ok {
		c.skip(id, "pool", s.Pool)
		return
	}
	c.Groups[id.Name] = s
	for _, d := range s.Databases {
		key := databaseKey{pool.Workspace, d}
		if other, ok := c.byDatabase[key]; ok {
			c.Problems = append(c.Problems, Problem{ID: id, Field: "databases", Text: "\"" + d + "\" is in group " + other + " already, which serves it"})
			continue
		}
		c.byDatabase[key] = id.Name
	}
}

func (c *Config) skip(id ID, what, name string) {
	c.Problems = append(c.Problems, Problem{ID: id, Text: "not in force: its " + what + " \"" + name + "\" is missing"})
}

// PresetOf returns the preset in force for a workspace and its name.
func (c *Config) PresetOf(workspace string) (name string, p *Preset, ok bool) {
	w, ok := c.Workspaces[workspace]
	if !ok {
		return "", nil, false
	}
	return w.Name, w.Preset, true
}

// GroupOf returns the group that serves a database to a caller, by name.
func (c *Config) GroupOf(caller, database string) (name string, g *Group, ok bool) {
	who, ok := c.Callers[caller]
	if !ok {
		return "", nil, false
	}
	name, ok = c.byDatabase[databaseKey{who.Workspace, database}]
	return name, c.Groups[name], ok
}

// LimitsOf returns a caller's limits under the preset in force.
func (c *Config) LimitsOf(caller string) (l Limits, ok bool) {
	who, ok := c.Callers[caller]
	if !ok {
		return Limits{}, false
	}
	preset := c.Workspaces[who.Workspace].Preset
	class := preset.Classes[who.Class]
	l = Limits{
		Class:    who.Class,
		Deadline: time.Duration(class.Deadline), Age: time.Duration(class.Age),
		Repeat: who.Repeat, Writes: preset.Writes != WritesRefuse,
	}
	if who.Deadline != 0 {
		l.Deadline = time.Duration(who.Deadline)
	}
	if who.Age != 0 {
		l.Age = time.Duration(who.Age)
	}
	return l, true
}

// GroupLimits returns the limits of each upstream of a group under the preset in
// force.
func (c *Config) GroupLimits(group string) (l limiter.Limits, ok bool) {
	g, ok := c.Groups[group]
	if !ok {
		return l, false
	}
	p := c.Workspaces[c.Pools[g.Pool].Workspace].Preset
	l = limiter.DefaultLimits()
	l.Connections = g.Connections
	l.Reserved = min(cmp.Or(p.Reserved, l.Reserved), g.Connections-1)
	l.Window = cmp.Or(p.Window, l.Window)
	l.Queue = cmp.Or(p.Queue, l.Queue)
	l.OpenRate = cmp.Or(p.Opening, l.OpenRate)
	l.RetryRatio = cmp.Or(p.Retries, l.RetryRatio)
	l.Classes[limiter.Lookup] = classLimits(p.Classes[ClassLookup], l.Classes[limiter.Lookup])
	l.Classes[limiter.Booking] = classLimits(p.Classes[ClassBooking], l.Classes[limiter.Booking])
	return l, true
}

func classLimits(c Class, ordinary limiter.ClassLimits) limiter.ClassLimits {
	return limiter.ClassLimits{
		Weight:         cmp.Or(c.Weight, ordinary.Weight),
		Slots:          c.Slots,
		Queue:          c.Queue,
		DefaultTimeout: cmp.Or(time.Duration(c.Deadline), ordinary.DefaultTimeout),
	}
}
