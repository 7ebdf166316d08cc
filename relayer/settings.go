package relayer

import (
	"slices"
	"strings"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
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
	l.put(setting{name: lower(name), text: "SET " + quoteName(name) + " TO " + quoteValue(value)})
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
		l.put(setting{name: name, text: replayed(text)})
		l.dropRole(name)
	case st.Kind == classifier.Reset && name == "":
		l.resetAll()
	case st.Kind == classifier.Reset:
		l.drop(name)
		l.dropRole(name)
	}
}

// dropRole drops the role when the user has changed, as PostgreSQL does.
func (l *settings) dropRole(name string) {
	if name == userSetting {
		l.drop(roleSetting)
	}
}

// appendDefaults appends the defaults of the settings that a session is told of and that are set.
func (l *settings) appendDefaults(b []byte) []byte {
	for _, p := range parameters() {
		if _, found := l.find(strings.ToLower(p[0])); found {
			b = parameterStatus(b, p[0], p[1])
		}
	}
	return b
}

// resetAll drops what RESET ALL resets.
func (l *settings) resetAll() {
	l.list = slices.DeleteFunc(l.list, func(s setting) bool { return !s.outlastsReset() })
}

// The settings that RESET ALL leaves alone.
const (
	roleSetting = "role"
	userSetting = "session authorization"
)

func (s *setting) outlastsReset() bool { return s.name == roleSetting || s.name == userSetting }

// replayed returns a SET statement as it is sent again in front of others: a
// comment at its end must not reach into them.
func replayed(text []byte) string {
	s := strings.TrimRight(string(text), "; \t\r\n")
	if strings.Contains(s, "--") {
		s += "\n"
	}
	return s
}

// canonical returns the name by which RESET knows a setting.
func canonical(name string) string {
	name = strings.Join(strings.Fields(lower(name)), " ")
	switch name {
	case "time zone":
		return "timezone"
	case "authorization", "session_authorization":
		return userSetting
	case "names":
		return encodingSetting
	case "schema":
		return "search_path"
	default:
		return strings.ReplaceAll(name, `"`, "")
	}
}

// conformingSetting says what a backslash means in a string.
const conformingSetting = "standard_conforming_strings"

// isReading reports whether a setting changes how an upstream reads texts.
func (s *setting) isReading() bool { return s.name == encodingSetting || s.name == conformingSetting }

// appendChanges appends the queries that turn the settings have into want, and
// returns their number. reset is true when all settings were reset, the proxy's
// own among them.
//
// An upstream reads a query by the settings in force before it, so a change of
// those that say how goes in a query of its own.
func appendChanges(b []byte, have, want *settings) (_ []byte, queries int, reset bool) {
	start := len(b)
	end := func() {
		if len(b) == start+framer.HeaderSize {
			b = b[:start]
			return
		}
		b = append(b, 0)
		putLength(b, start)
		queries++
	}
	b = append(b, 'Q', 0, 0, 0, 0)
	b, reset = appendResets(b, have, want)
	apart := readsOtherwise(have, want)
	if apart {
		for i := range want.list {
			if w := &want.list[i]; w.isReading() {
				b, _ = appendSetting(b, have, w, reset)
			}
		}
		end()
		start = len(b)
		b = append(b, 'Q', 0, 0, 0, 0)
	}
	b = appendValues(b, have, want, reset, apart)
	end()
	return b, queries, reset
}

// readsOtherwise reports whether texts are read otherwise with want than with have.
func readsOtherwise(have, want *settings) bool {
	for _, name := range []string{encodingSetting, conformingSetting} {
		h, in := have.find(name)
		w, wanted := want.find(name)
		if in != wanted || in && have.list[h].text != want.list[w].text {
			return true
		}
	}
	return false
}

// appendResets appends what takes away the settings that want lacks.
func appendResets(b []byte, have, want *settings) (_ []byte, reset bool) {
	for _, h := range have.list {
		if _, found := want.find(h.name); found {
			continue
		}
		reset = true
		if h.outlastsReset() {
			b = append(b, "RESET "...) // RESET ALL leaves them alone
			b = append(b, h.name...)
			b = append(b, ';')
		}
	}
	if reset {
		b = append(b, "RESET ALL;"...)
	}
	return b, reset
}

// appendValues appends the settings that the connection lacks; apart says that
// those for the reading of texts have been sent.
func appendValues(b []byte, have, want *settings, reset, apart bool) []byte {
	// The user first: setting it drops the role.
	user, found := want.find(userSetting)
	fresh := false
	if found {
		b, fresh = appendSetting(b, have, &want.list[user], reset)
	}
	for i := range want.list {
		w := &want.list[i]
		if w.name != userSetting && (!apart || !w.isReading()) {
			b, _ = appendSetting(b, have, w, reset || fresh)
		}
	}
	return b
}

// appendSetting appends a setting unless the connection has it. sent reports
// whether it did.
func appendSetting(b []byte, have *settings, w *setting, always bool) (_ []byte, sent bool) {
	if i, found := have.find(w.name); !always && found && have.list[i].text == w.text {
		return b, false
	}
	return append(append(b, w.text...), ';'), true
}

func (l *settings) equal(o *settings) bool { return slices.Equal(l.list, o.list) }

func (l *settings) copyOf(o *settings) { l.list = append(l.list[:0:0], o.list...) }

// lower folds a name as PostgreSQL compares names of settings: ASCII letters
// only, and all other bytes as they are.
func lower(name string) string {
	b := []byte(name)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c | 0x20
		}
	}
	return string(b)
}

func quoteName(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }

// quoteValue returns a string constant that reads the same whatever
// standard_conforming_strings is.
func quoteValue(s string) string {
	quoted := "'" + strings.ReplaceAll(s, "'", "''") + "'"
	if !strings.Contains(s, `\`) {
		return quoted
	}
	return "E" + strings.ReplaceAll(quoted, `\`, `\\`)
}
