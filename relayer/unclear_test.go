package relayer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a setting that is acknowledged, lost for its session and left to the next one,
// because the text that sets it can be read in two ways.
func TestUnclearTextLeavesNoSettingBehind(t *testing.T) {
	for _, text := range []string{`SET search_path TO 'a\'`, ` /* */ set app.x = 'a\'`, `RESET "x`, `SET TIME ZONE INTERVAL(6) '-08:00'`} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			s := newStepped(t, complete("SET")+idle)
			is.True(strings.Contains(s.send(query(text)), "CBD102\x00"))
			batch := packet('P', "\x00"+text+"\x00\x00\x00") + packet('S', "")
			is.True(strings.Contains(s.send(batch), "CBD102\x00"))
		})
	}
	wrong := string((&fault{code: "42601"}).append(nil))
	for _, test := range []struct {
		text, answer string
		healthy      bool
	}{
		{`SELECT 'a\'`, rows("a") + idle, false},
		{`SELECT 'a\'; SET app.x = '\'`, rows("a") + complete("SET") + idle, false},
		{`SELECT 'a\'`, wrong + idle, true},
		{`SELECT E'a\'s'`, rows("a") + idle, true},
	} {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			s := newStepped(t, test.answer)
			is.Equal(s.send(query(test.text)), test.answer)
			is.Equal(s.healthy, test.healthy)
		})
	}
}
