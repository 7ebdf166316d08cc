package loader

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Problem is one wrong setting.
type Problem struct {
	// File and Line say where; Line counts from 1.
	File string
	Line int
	// Wrong says what is wrong, Allowed what may stand there instead.
	Wrong   string
	Allowed string
}

// String returns "file:line: what is wrong, what is allowed".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s, %s", p.File, p.Line, p.Wrong, p.Allowed)
}

// reader walks a YAML tree and collects problems instead of stopping at the
// first.
type reader struct {
	file     string
	problems []Problem
}

// field is one key of a mapping.
type field struct {
	name string
	need bool
	read func(path string, n ast.Node)
}

func (r *reader) fail(n ast.Node, wrong, allowed string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line(n), Wrong: wrong, Allowed: allowed})
}

// mapping reads n by fields. It reports keys that aren't among them, keys that
// stand twice and needed keys that are missing.
func (r *reader) mapping(path string, n ast.Node, fields []field) {
	values, ok := entries(n)
	if !ok {
		r.fail(n, fmt.Sprintf("%s is %s", label(path), kind(n)), "allowed are the settings "+names(fields))
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		key := v.Key.GetToken().Value
		f, known := find(fields, key)
		switch {
		case !known:
			r.fail(v.Key, join(path, key)+" is not a setting", "allowed are "+names(fields))
		case seen[key]:
			r.fail(v.Key, join(path, key)+" stands twice", "allowed is once")
		default:
			f.read(join(path, key), v.Value)
		}
		seen[key] = true
	}
	for _, f := range fields {
		if f.need && !seen[f.name] {
			r.fail(n, join(path, f.name)+" is missing", "it has no default")
		}
	}
}

// list reads each item of the sequence n.
func (r *reader) list(path string, n ast.Node, read func(path string, n ast.Node)) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		r.fail(n, fmt.Sprintf("%s is %s", path, kind(n)), "allowed is a list")
		return
	}
	for i, item := range seq.Values {
		read(fmt.Sprintf("%s[%d]", path, i), item)
	}
}

// scalar returns the text of a plain value, or reports that n isn't one.
func (r *reader) scalar(path string, n ast.Node, allowed string) (string, bool) {
	switch n := n.(type) {
	case *ast.NullNode:
		r.fail(n, path+" is empty", allowed)
		return "", false
	case *ast.StringNode:
		return n.Value, true
	case ast.ScalarNode:
		return n.GetToken().Value, true
	default:
		r.fail(n, fmt.Sprintf("%s is %s", path, kind(n)), allowed)
		return "", false
	}
}

// entries returns the key and value pairs of a mapping node.
func entries(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

// line returns the first line of n. A block mapping's own token is the colon
// after its first key, so the key is asked instead.
func line(n ast.Node) int {
	if values, ok := entries(n); ok && len(values) > 0 {
		return values[0].Key.GetToken().Position.Line
	}
	if n == nil || n.GetToken() == nil {
		return 1
	}
	return n.GetToken().Position.Line
}

func kind(n ast.Node) string {
	if n == nil {
		return "empty"
	}
	switch n.Type() {
	case ast.NullType:
		return "empty"
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.AliasType, ast.AnchorType, ast.MergeKeyType:
		return "an anchor or alias"
	default:
		return "a plain value"
	}
}

func find(fields []field, name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func names(fields []field) string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func label(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}
