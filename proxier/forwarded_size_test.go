package proxier

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/platform/faker"
)

// Guards against statements that a proxy runs itself and that don't pass to a peer, because of
// their bytes or their size, and against large ones that harm others on the same link.
func TestLargeStatementsOfAnyBytesAreForwarded(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, &faker.Platform{Timeout: time.Minute}, 2)
	m := f.proxies[0]
	c, other := f.dial(m, "seats"), f.dial(m, "seats")
	f.group.Leader().Cut("proxy-0", true)
	f.waitFor("the leader is out of reach", func() bool { c.ask("READ seat"); return m.overseer.States()["billet"].LeaderFault > 0 })
	is.Equal(other.ask("WRITE gate open").code, "")
	data := strings.Repeat("\xe6\x00<", 300<<10) // above 1 MiB in base64
	is.Equal(c.ask("WRITE seat "+data).code, "")
	is.True(c.askRow("READ seat") == data)
	value := strings.Repeat("v", 900<<10)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		is.Equal(c.ask("SET "+name+" "+value).code, "")
	}
	is.Equal(c.ask("WRITE seat anna").code, "TOOLARGE") // at once, and it has not run
	is.True(other.askRow("READ seat") == data)
	is.Equal(other.askRow("READ gate"), "open")
	is.Equal(f.group.Stats().Doubled, 0)
}
