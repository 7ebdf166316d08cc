package relayer

import (
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/classifier"
)

// Guards against a setting's value that ends its string and goes on as a statement.
func TestDeclaredValueIsNoStatement(t *testing.T) {
	for _, value := range []string{`\'; DELETE FROM seats; --`, `a\`, `it's`, `\\'`, "a\nb"} {
		is := is.New(t)
		var l settings
		l.declare("app.x", value)
		st := classifier.Classify([]byte(l.list[0].text))
		is.Equal(st.Kind, classifier.Set) // by value
		is.Equal(st.Count, 1)
	}
}
