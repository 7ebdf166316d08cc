package relayer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a setting's value that is read by the encoding, or by the rules for backslashes,
// of the connection's last session.
func TestSettingsAreReplayedInTheirEncoding(t *testing.T) {
	is := is.New(t)
	latin := setting{name: encodingSetting, text: "SET client_encoding TO LATIN1"}
	off := setting{name: conformingSetting, text: "SET standard_conforming_strings TO off"}
	path := setting{name: "app.x", text: "SET app.x TO '\xe9\\n'"}
	user := setting{name: userSetting, text: "SET SESSION AUTHORIZATION a"}
	of := func(list ...setting) (s settings) {
		for _, one := range list {
			s.put(one)
		}
		return s
	}
	for _, test := range []struct {
		have, want settings
		queries    []string
	}{
		{of(), of(latin, off, path, user), []string{latin.text + ";" + off.text + ";", user.text + ";" + path.text + ";"}},
		{of(latin), of(path), []string{"RESET ALL;", path.text + ";"}},
		{of(latin), of(latin, path), []string{path.text + ";"}},
		{of(path), of(latin, path), []string{latin.text + ";"}},
		{of(path), of(), []string{"RESET ALL;"}},
	} {
		want := ""
		for _, q := range test.queries {
			want += query(q)
		}
		b, queries, _ := appendChanges(nil, &test.have, &test.want)
		is.Equal(string(b), want)
		is.Equal(queries, len(test.queries))
	}
}

// Guards against the answer to a second query of settings that is taken for the statement's.
func TestSettingsInTwoQueriesAreBothAwaited(t *testing.T) {
	is := is.New(t)
	s := newStepped(t, complete("SET")+idle, complete("SET")+idle, rows("a")+idle)
	s.session.settings.declare("app.x", "a")
	s.session.settings.declare("client_encoding", "LATIN1")
	is.True(strings.HasSuffix(s.send(query("SELECT 1")), rows("a")+idle))
}
