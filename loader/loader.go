package loader

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Load reads and checks the file at path. Files that the settings name are
// looked for beside it unless their paths are absolute. The settings are usable
// only when there is no problem; err reports that the file itself can't be read.
func Load(path string) (Settings, []Problem, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "loader")
	}
	s, problems := Check(path, data, os.ReadFile)
	return s, problems, nil
}

// Check reads settings out of data and returns every wrong one in the order of
// the lines. File is the name that the problems carry. Read opens the files that
// the settings name (certificates, keys) and may be nil, then they aren't looked
// at.
func Check(file string, data []byte, read func(string) ([]byte, error)) (Settings, []Problem) {
	c := checker{
		reader: reader{file: file},
		dir:    filepath.Dir(file),
		open:   read,
	}
	s := Settings{
		Login: Login{User: DefaultUser},
		Limits: Limits{
			Message: DefaultMessage,
			Pending: DefaultPending,
			Callers: DefaultCallers,
			Buffer:  DefaultBuffer,
		},
		Wire:      Postgres,
		Processor: DefaultProcessor,
		Stop:      DefaultStop,
	}
	// Keys that stand twice are left to the walk, which reports them all.
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return s, []Problem{syntax(file, err)}
	}
	docs := documents(tree)
	if len(docs) > 1 {
		c.fail(docs[1], "the file has a second document", "allowed is one")
	}
	c.settings(&s, docs[0])
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return s, c.problems
}

// documents returns the documents of a file that hold something, or one nil.
func documents(tree *ast.File) []ast.Node {
	var docs []ast.Node
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			docs = append(docs, doc.Body)
		}
	}
	if len(docs) == 0 {
		return []ast.Node{nil}
	}
	return docs
}

// syntax turns an error of the YAML parser into a problem.
func syntax(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Wrong: "the file is not YAML", Allowed: "allowed is a YAML mapping"}
	var located yaml.Error
	if !errors.As(err, &located) {
		return p
	}
	p.Wrong = "the file is not YAML: " + located.GetMessage()
	if t := located.GetToken(); t != nil && t.Position != nil {
		p.Line = t.Position.Line
	}
	return p
}
