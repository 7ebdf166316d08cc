package carrier

import (
	"hash/fnv"
	"slices"
	"strconv"
)

// maxPrepared bounds the prepared statements that one connection keeps. A
// session rarely has more than a few shapes, which all sessions share by what
// they are.
const maxPrepared = 128

// Value is one session value.
type Value struct {
	Name string
	Data string
}

// Prepared says what a prepared statement is. Two callers that prepare the same
// under different names share it on a connection.
type Prepared struct {
	Shape  string
	Writes bool
}

// Alias is the name of the prepared statement on our connections. It is made
// from what the statement is, so names of callers never collide.
func (p Prepared) Alias() string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Shape)) // never fails, by its contract
	kind := "r"
	if p.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(h.Sum64(), 36)
}

// conn is a connection with what its last owners left on it.
type conn struct {
	Link
	// workspace is the one whose statements it carries, and no other's.
	workspace string
	values    []Value // in the order in which they were set
	prepared  map[Prepared]bool
}

// prelude returns the commands that make the connection fit a session: they go
// out in front of its statement, in the same write. What differs from what is in
// force is set; a value that the session doesn't have can only be taken away by
// a reset of all.
func (c *conn) prelude(values []Value, p *Prepared) []Command {
	var out []Command
	if c.surplus(values) || len(c.prepared) >= maxPrepared {
		out = append(out, Command{Verb: Reset})
		c.forget()
	}
	for _, v := range values {
		if !slices.Contains(c.values, v) {
			out = append(out, Command{Verb: Set, Name: v.Name, Value: v.Data})
			c.remember(v)
		}
	}
	if p != nil && !c.prepared[*p] {
		out = append(out, Command{Verb: Prepare, Name: p.Alias(), Value: p.Shape, Writes: p.Writes})
		if c.prepared == nil {
			c.prepared = map[Prepared]bool{}
		}
		c.prepared[*p] = true
	}
	return out
}

// surplus reports whether the connection has a value that the session lacks.
func (c *conn) surplus(values []Value) bool {
	return slices.ContainsFunc(c.values, func(has Value) bool {
		return !slices.ContainsFunc(values, func(v Value) bool { return v.Name == has.Name })
	})
}

func (c *conn) remember(v Value) {
	for i := range c.values {
		if c.values[i].Name == v.Name {
			c.values[i] = v
			return
		}
	}
	c.values = append(c.values, v)
}

// forget drops what is known of the connection, after a reset.
func (c *conn) forget() {
	c.values = nil
	c.prepared = nil
}
