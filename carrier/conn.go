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
	// values and prepared are what the upstream has accepted, the values in the order in
	// which they were set.
	values   []Value
	prepared map[Prepared]bool
	// stateUnknown is set once the upstream has refused a part of the session state, which it
	// may have applied all the same, or does not know a statement that is prepared.
	stateUnknown bool
	// lost is set once an exchange has failed or its answers are doubtful: a late answer could
	// be taken for the next one.
	lost bool
	// refused is set once a command was answered with an error: the same error may come again
	// and be taken for the answer to a write.
	refused bool
	// reported is set once a report was requested and not refused: it may come again and be
	// taken for a later one.
	reported bool
	cut      bool // it was closed while in use; guarded by the group's lock
}

// setupCommands returns the commands that give the connection a session's state. Values that
// differ are set; a value that the session does not have can only be removed by a reset of
// all of them.
func (c *conn) setupCommands(values []Value, p *Prepared) []Command {
	var out []Command
	has, prepared := c.values, c.prepared
	if c.hasExtraValue(values) || len(prepared) >= maxPrepared {
		out = append(out, Command{Verb: Reset})
		has, prepared = nil, nil
	}
	for _, v := range values {
		if !slices.Contains(has, v) {
			out = append(out, Command{Verb: Set, Name: v.Name, Value: v.Data})
		}
	}
	if p != nil && !prepared[*p] {
		out = append(out, Command{Verb: Prepare, Name: p.Alias(), Value: p.Shape, Writes: p.Writes})
	}
	return out
}

// isUsable reports whether another statement may be sent on the connection.
func (c *conn) isUsable() bool { return !c.lost && !c.stateUnknown }

// recordAnswers records what the answers to commands show about the connection.
func (c *conn) recordAnswers(commands []Command, answers []Answer) {
	for i := range answers {
		c.refused = c.refused || answers[i].Code != OK
		c.reported = c.reported || commands[i].Verb >= Status && (answers[i].Code == OK || answers[i].Doubtful)
		c.lost = c.lost || answers[i].Code != OK && answers[i].Doubtful && !isRolledBack(commands, answers, i)
	}
	c.recordState(commands, answers)
}

// isRolledBack reports whether a command began a transaction that has ended since, so that
// whether it began is of no consequence.
func isRolledBack(commands []Command, answers []Answer, i int) bool {
	last := len(answers) - 1
	begins := commands[i].Verb == Begin || commands[i].Verb == BeginRead
	return begins && last == i+1 && commands[last].Verb == Rollback && answers[last].Code == OK
}

// recordState records what the answers to commands show about the session state.
func (c *conn) recordState(commands []Command, answers []Answer) {
	for i, cmd := range commands {
		switch cmd.Verb {
		case Set, Prepare, Reset:
			if answers[i].Code != OK {
				c.stateUnknown = true
				continue
			}
		case Execute:
			c.stateUnknown = c.stateUnknown || answers[i].Code == NoStatement
		}
		switch cmd.Verb {
		case Set:
			c.setValue(Value{Name: cmd.Name, Data: cmd.Value})
		case Prepare:
			if c.prepared == nil {
				c.prepared = map[Prepared]bool{}
			}
			c.prepared[Prepared{Shape: cmd.Value, Writes: cmd.Writes}] = true
		case Reset:
			c.clear()
		}
	}
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
