package configurator

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxFile bounds one file of documents, in bytes.
const maxFile = 16 << 20

// Document is one object as an operator wrote it. The fields kind, name and
// removed stand beside those of the spec.
type Document struct {
	ID      ID
	Removed bool // the object shall go
	Spec    Spec // nil when Removed

	file string
	body ast.Node
}

// header is what every document begins with.
type header struct {
	Kind    Kind   `yaml:"kind"`
	Name    string `yaml:"name"`
	Removed bool   `yaml:"removed"`
}

// Parse reads the YAML documents of one file. It returns those that could be
// read even when others have problems, so that all problems can be shown at
// once; the error is a *ProblemsError.
func Parse(file string, data []byte) ([]Document, error) {
	if len(data) > maxFile {
		text := fmt.Sprintf("file is over %d bytes: split it", maxFile)
		return nil, Problems{{File: file, Line: 1, Text: text}}.err()
	}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Problems{problemOf(file, ID{}, nil, err)}.err()
	}
	var docs []Document
	var problems Problems
	for _, d := range parsed.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType || d.Body.Type() == ast.NullType {
			continue
		}
		doc, err := parseDocument(file, d.Body)
		if err != nil {
			problems = append(problems, problemOf(file, doc.ID, doc.Spec, err))
			continue
		}
		docs = append(docs, doc)
	}
	return docs, problems.err()
}

func parseDocument(file string, body ast.Node) (Document, error) {
	doc := Document{file: file, body: body}
	var h header
	if err := yaml.NodeToValue(body, &h); err != nil {
		return doc, err
	}
	doc.ID = ID{Kind: h.Kind, Name: h.Name}
	doc.Removed = h.Removed
	spec := newSpec(h.Kind)
	if spec == nil {
		doc.ID = ID{}
		return doc, doc.problem("kind", fmt.Sprintf("%q is no kind; allowed: %s", h.Kind, joined(Kinds())))
	}
	if !isName(h.Name) {
		doc.ID = ID{Kind: h.Kind}
		return doc, doc.problem("name", fmt.Sprintf("%q is no name; allowed: 1 to %d letters, digits, '-', '_' and '.', starting with a letter or digit", h.Name, maxName))
	}
	if doc.Removed {
		return doc, nil
	}
	doc.Spec = spec
	found := &scalars{}
	ast.Walk(found, body)
	if found.found != nil {
		return doc, found.found
	}
	return doc, decodeSpec(body, spec)
}

// decodeSpec reads the fields of a spec, refusing those that it doesn't have.
// The header's fields are wrapped around it by reflection, since the decoder
// must know all fields of a mapping to refuse the others.
func decodeSpec(body ast.Node, spec Spec) error {
	typ := reflect.StructOf([]reflect.StructField{
		{Name: "Header", Type: reflect.TypeFor[header](), Tag: `yaml:",inline"`},
		{Name: "Spec", Type: reflect.TypeOf(spec).Elem(), Tag: `yaml:",inline"`},
	})
	v := reflect.New(typ)
	if err := yaml.NodeToValue(body, v.Interface(), yaml.DisallowUnknownField()); err != nil {
		return err
	}
	reflect.ValueOf(spec).Elem().Set(v.Elem().Field(1))
	return nil
}

// scalars finds texts that their type refuses. The decoder would find them too,
// but its error then carries no line.
type scalars struct {
	found *fieldError
}

// Visit implements ast.Visitor.
func (s *scalars) Visit(n ast.Node) ast.Visitor {
	pair, ok := n.(*ast.MappingValueNode)
	if !ok || s.found != nil {
		return s
	}
	text, ok := pair.Value.(*ast.StringNode)
	if !ok {
		return s
	}
	field := pair.Key.GetToken().Value
	switch field {
	case "deadline", "age":
		if _, err := time.ParseDuration(text.Value); err != nil {
			s.refuse(text, field, "a duration as in 500ms, 2s or 1m30s")
		}
	case "address":
		if _, err := netip.ParseAddrPort(text.Value); err != nil {
			s.refuse(text, field, "an IP number and a port, as in 10.0.0.7:5432")
		}
	}
	return s
}

func (s *scalars) refuse(n *ast.StringNode, field, allowed string) {
	text := fmt.Sprintf("%q is not right here; allowed: %s", n.Value, allowed)
	s.found = &fieldError{field: field, line: n.GetToken().Position.Line, text: text}
}

// Document returns the entry as a YAML document that Parse reads.
func (e *Entry) Document() ([]byte, error) {
	head, err := yaml.Marshal(struct {
		Kind    Kind   `yaml:"kind"`
		Name    string `yaml:"name"`
		Removed bool   `yaml:"removed,omitempty"`
	}{e.ID.Kind, e.ID.Name, e.Removed})
	if err != nil || e.Removed {
		return head, errors.Wrapf(err, "configurator: document of %s", e.ID)
	}
	spec, err := yaml.Marshal(e.Spec)
	return append(head, spec...), errors.Wrapf(err, "configurator: document of %s", e.ID)
}

// problem returns what is wrong with a field of the document.
func (d *Document) problem(field, text string) *fieldError {
	return &fieldError{field: field, line: d.line(field), text: text}
}

// line returns the line of a field, or of the closest field around it that is
// there.
func (d *Document) line(field string) int {
	if d.body == nil {
		return 0
	}
	for field != "" {
		if path, err := yaml.PathString("$." + field); err == nil {
			if node, err := path.FilterNode(d.body); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return firstLine(d.body)
}

// firstLine returns the line on which a mapping begins; its own token is the
// first colon.
func firstLine(n ast.Node) int {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken().Position.Line
	}
	return n.GetToken().Position.Line
}

// fieldError is a Problem before its file and object are known.
type fieldError struct {
	field string
	line  int
	text  string
}

// Error returns the field and the text.
func (e *fieldError) Error() string { return e.field + ": " + e.text }

// problemOf turns an error of the YAML library or of a field into a Problem.
func problemOf(file string, id ID, spec Spec, err error) Problem {
	p := Problem{File: file, ID: id, Text: err.Error()}
	var own *fieldError
	if errors.As(err, &own) {
		p.Field, p.Line, p.Text = own.field, own.line, own.text
		return p
	}
	var of yaml.Error
	if !errors.As(err, &of) {
		return p
	}
	p.Text = of.GetMessage()
	if tk := of.GetToken(); tk != nil {
		p.Line = tk.Position.Line
		p.Field = fieldAt(tk)
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) && spec != nil {
		p.Text += "; allowed: " + strings.Join(fieldsOf(spec), ", ")
	}
	var typ *yaml.TypeError
	if errors.As(err, &typ) {
		p.Text = fmt.Sprintf("%q is not right here; allowed: %s", typ.Token.Value, wanted(typ.DstType))
	}
	return p
}

// fieldAt returns the key before a value's token on the same line, if any.
func fieldAt(tk *token.Token) string {
	for prev := tk.Prev; prev != nil && prev.Position.Line == tk.Position.Line; prev = prev.Prev {
		if prev.Type == token.MappingValueType && prev.Prev != nil {
			return prev.Prev.Value
		}
	}
	return ""
}

// fieldsOf returns the yaml names that a document of the spec's kind knows, those
// of its inner structs too.
func fieldsOf(spec Spec) []string {
	names := structFields(reflect.TypeFor[header]())
	return append(names, structFields(reflect.TypeOf(spec).Elem())...)
}

func structFields(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		names = append(names, name)
		inner := f.Type
		if inner.Kind() == reflect.Slice || inner.Kind() == reflect.Map {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && inner.NumField() > 0 && inner.Field(0).Tag.Get("yaml") != "" {
			names = append(names, name+".{"+strings.Join(structFields(inner), ", ")+"}")
		}
	}
	return names
}

// wanted says in words what a Go type takes.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Slice:
		return "a list"
	case reflect.Map, reflect.Struct:
		return "a mapping of fields"
	default:
		return t.String()
	}
}

func joined[T ~string](list []T) string {
	parts := make([]string, len(list))
	for i, v := range list {
		parts[i] = string(v)
	}
	return strings.Join(parts, ", ")
}
