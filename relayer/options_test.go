package relayer

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against startup options whose values lose a part on their way.
func TestOptionsKeepTheirValues(t *testing.T) {
	for value, want := range map[string][]string{
		"-c search_path=a-cb":                 {`SET "search_path" TO 'a-cb'`},
		"-c search_path=abc-c":                {`SET "search_path" TO 'abc-c'`},
		"-csearch_path=a -c x=b":              {`SET "search_path" TO 'a'`, `SET "x" TO 'b'`},
		"  -c\tsearch_path=a\\ b\\\\c  ":      {`SET "search_path" TO E'a b\\c'`},
		"--search-path=a-c":                   {`SET "search_path" TO 'a-c'`},
		"-c app.x=a=b --statement_timeout=5s": {`SET "app.x" TO 'a=b'`, `SET "statement_timeout" TO '5s'`},
		"-c app.x=":                           {`SET "app.x" TO ''`},
	} {
		is := is.New(t)
		var s Session
		is.NoErr(s.options(value))
		var got []string
		for _, one := range s.settings.list {
			got = append(got, one.text)
		}
		is.Equal(got, want) // by options
	}
	for _, value := range []string{"-c search_path", "-d 5", "-c =a"} {
		is.New(t).True(new(Session).options(value) != nil) // by options
	}
}
