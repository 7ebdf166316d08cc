package relayer

import (
	"slices"
	"strings"

	"basildale.example/basildale/classifier"
)

// setting is one session setting and the statement that makes it.
type setting struct {
	name string
	text string
}

// settings are the settings of a session, or those in force on an upstream
// connection, sorted by name.
//
// Connections change their callers. A caller whose settings were lost, or who
// saw another one's, would get wrong answers without any error: dates of
// another form, or tables of another schema. So a connection's settings are
// made equal to the session's before its first statement.
type settings struct{ list []setting }

// declare takes a setting of the startup packet.
func (l *settings) declare(name, value string) {
	l.put(setting{name: strings.ToLower(name), text: "SET " + quoteName(name) + " TO " + quoteValue(value)})
}

func (l *settings) put(s setting) {
	i, found := l.find(s.name)
	if found {
		l.list[i] = s
		return
	}
	l.list = slices.Insert(l.list, i, s)
}

func (l *settings) drop(name string) {
	if i, found := l.find(name); found {
		l.list = slices.Delete(l.list, i, i+1)
	}
}

func (l *settings) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.list, name, func(s setting, n string) int {
		return strings.Compare(s.name, n)
	})
}

// apply follows one SET or RESET statement that has run.
func (l *settings) apply(st *classifier.Statement, text []byte) {
	name := canonical(string(st.Name))
	switch {
	case name == "constraints":
		// Ends with the transaction.
	case st.Kind == classifier.Set && !st.Local:
		l.put(setting{name: name, text: strings.TrimRight(string(text), "; \t\r\n")})
	case st.Kind == classifier.Reset && name == "":
		l.list = nil
	case st.Kind == classifier.Reset:
		l.drop(name)
	}
}

// canonical returns the name by which RESET knows a setting.
func canonical(name string) string {
	switch name = strings.ToLower(name); name {
	case "names":
		return "client_encoding"
	case "schema":
		return "search_path"
	default:
		return strings.ReplaceAll(name, `"`, "")
	}
}

// appendChanges appends the statements that turn the settings have into want.
// reset is true when all settings were reset, the proxy's own among them.
func appendChanges(b []byte, have, want *settings) (_ []byte, reset bool) {
	for _, h := range have.list {
		if _, found := want.find(h.name); found {
			continue
		}
		reset = true
		if h.name == "role" || h.name == "session authorization" {
			b = append(b, "RESET "...) // RESET ALL leaves them alone
			b = append(b, h.name...)
			b = append(b, ';')
		}
	}
	if reset {
		b = append(b, "RESET ALL;"...)
	}
	for _, w := range want.list {
		if i, found := have.find(w.name); !reset && found && have.list[i].text == w.text {
			continue
		}
		b = append(b, w.text...)
		b = append(b, ';')
	}
	return b, reset
}

func (l *settings) equal(o *settings) bool { return slices.Equal(l.list, o.list) }

func (l *settings) copyOf(o *settings) { l.list = append(l.list[:0:0], o.list...) }

func quoteName(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }

func quoteValue(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
