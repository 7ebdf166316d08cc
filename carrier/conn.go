package carrier

import (
	"hash/fnv"
	"slices"
	"strconv"
)

// maxPrepared bounds the prepared statements kept on one connection. A session rarely uses
// more than a few shapes, and sessions that use the same shape share its prepared
// statement.
const maxPrepared = 128

// Value is one session value.
type Value struct {
	Name string
	Data string
}

// Prepared identifies a prepared statement by its content. Two callers that prepare the
// same statement under different names share it on a connection.
type Prepared struct {
	Shape  string
	Writes bool
}

// Alias is the name of the prepared statement on the upstream's connections. It is derived
// from the statement's content, so the names that callers choose never collide.
func (p Prepared) Alias() string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Shape)) // never fails, by its contract
	kind := "r"
	if p.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(h.Sum64(), 36)
}

// conn is a connection with the session state that its earlier users left on it.
type conn struct {
	Link
	// number tells the connection from the others of this process.
	number uint64
	// workspace is the only workspace whose statements run on the connection.
	workspace string
	values    []Value // in the order in which they were set
	prepared  map[Prepared]bool
	cut       bool // it was closed while in use; guarded by the group's lock
}

// setupCommands returns the commands that give the connection a session's state. They are
// sent in the same write as the session's statement, ahead of it. Values that differ are
// set; a value that the session does not have can only be removed by a reset of all of
// them.
func (c *conn) setupCommands(values []Value, p *Prepared) []Command {
	var out []Command
	if c.hasExtraValue(values) || len(c.prepared) >= maxPrepared {
		out = append(out, Command{Verb: Reset})
		c.clear()
	}
	for _, v := range values {
		if !slices.Contains(c.values, v) {
			out = append(out, Command{Verb: Set, Name: v.Name, Value: v.Data})
			c.setValue(v)
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

// hasExtraValue reports whether the connection has a value that the session does not have.
func (c *conn) hasExtraValue(values []Value) bool {
	return slices.ContainsFunc(c.values, func(has Value) bool {
		return !slices.ContainsFunc(values, func(v Value) bool { return v.Name == has.Name })
	})
}

func (c *conn) setValue(v Value) {
	for i := range c.values {
		if c.values[i].Name == v.Name {
			c.values[i] = v
			return
		}
	}
	c.values = append(c.values, v)
}

// clear drops the recorded session state, after a reset.
func (c *conn) clear() {
	c.values = nil
	c.prepared = nil
}
