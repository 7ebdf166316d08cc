package loader

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

func (c *checker) groups(s *Settings) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		seen := map[string]bool{}
		c.list(path, n, func(path string, n ast.Node) {
			var g Group
			c.mapping(path, n, []field{
				{"name", true, c.text(&g.Name)},
				{"upstreams", true, c.upstreams(&g)},
			})
			c.once(path, n, g.Name, seen)
			s.Groups = append(s.Groups, g)
		})
	}
}

func (c *checker) upstreams(g *Group) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		seen := map[string]bool{}
		c.list(path, n, func(path string, n ast.Node) {
			u := Upstream{Slots: DefaultSlots, Connect: DefaultConnect}
			c.mapping(path, n, []field{
				{"name", true, c.text(&u.Name)},
				{"zone", true, c.text(&u.Zone)},
				{"address", true, c.address(&u.Address, false)},
				{"slots", false, c.count(&u.Slots, maxSlots)},
				{"connections", true, c.count(&u.Connections, maxConnections)},
				{"connect", false, c.span(&u.Connect, 0, maxConnect)},
			})
			c.once(path, n, u.Name, seen)
			g.Upstreams = append(g.Upstreams, u)
		})
		if len(g.Upstreams) == 0 {
			c.fail(n, path+" is empty", "allowed is at least one upstream")
		}
	}
}

func (c *checker) callers(s *Settings) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		seen := map[string]bool{}
		c.list(path, n, func(path string, n ast.Node) {
			var caller Caller
			c.mapping(path, n, []field{
				{"name", true, c.text(&caller.Name)},
				{"tenant", true, c.text(&caller.Tenant)},
				{"verifier", true, c.verifier(&caller.Verifier)},
				{"groups", true, c.nameList(&caller.Groups)},
			})
			c.once(path, n, caller.Name, seen)
			s.Callers = append(s.Callers, caller)
		})
	}
}

// nameList reads a list of names into dst.
func (c *checker) nameList(dst *[]string) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		c.list(path, n, func(path string, n ast.Node) {
			var name string
			c.text(&name)(path, n)
			*dst = append(*dst, name)
		})
	}
}

// once reports a name that an earlier item of the same list has.
func (c *checker) once(path string, n ast.Node, name string, seen map[string]bool) {
	if name != "" && seen[name] {
		c.fail(n, fmt.Sprintf("%s.name is %q, which stands twice", path, name), "allowed is a name of its own")
	}
	seen[name] = true
}

// child returns the value of a key of the mapping n, or n itself.
func child(n ast.Node, key string) ast.Node {
	values, _ := entries(n)
	for _, v := range values {
		if v.Key.GetToken().Value == key {
			return v.Value
		}
	}
	return n
}

// item returns the i-th item of the list n, or n itself.
func item(n ast.Node, i int) ast.Node {
	if seq, ok := n.(*ast.SequenceNode); ok && i < len(seq.Values) {
		return seq.Values[i]
	}
	return n
}
