package relayer

import (
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/classifier"
)

// Guards against settings and savepoints that are taken for others whose names differ in bytes
// that are no ASCII.
func TestNamesDifferByEachByte(t *testing.T) {
	is := is.New(t)
	var l settings
	for _, text := range []string{"SET app.\xe8 TO 1", "SET app.\xe9 TO 2", "SET app.\xc3\x89 TO 3", "SET app.\xc3\xa9 TO 4", "SET App.X TO 5", "SET app.x TO 6"} {
		st := classifier.Classify([]byte(text))
		l.apply(&st, []byte(text))
	}
	is.Equal(len(l.list), 5)
	l.declare("app.\xe8", "7")
	l.declare("APP.X", "8")
	is.Equal(len(l.list), 5)
	is.True(identifier([]byte("\xe8")) != identifier([]byte("\xe9")))
	is.Equal(identifier([]byte("Point")), "point")
}
