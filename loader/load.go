package loader

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Choice is one of the named ways in which a process can decide under load.
type Choice string

// The choices of each setting under load, the default first.
const (
	// Plain serves statements without regard to workspace and priority.
	Plain Choice = "plain"
	// Fair divides an upstream among workspaces.
	Fair Choice = "fair"
	// Ranked spends a workspace's quota on its most urgent operations first.
	Ranked Choice = "ranked"
	// Fixed keeps to the assigned gateways, or to constant costs of upstreams.
	Fixed Choice = "fixed"
	// Reach lets processes stand in for gateways that do not reach a leader.
	Reach Choice = "reach"
	// Adaptive is Expected where another availability zone is far, and Fixed elsewhere.
	Adaptive Choice = "adaptive"
	// Expected chooses upstreams by when they are expected to answer.
	Expected Choice = "expected"
	// Equal divides connections equally, Demand by what gateways are asked for.
	Equal  Choice = "equal"
	Demand Choice = "demand"
)

// Bounds of the weight of a workspace.
const (
	minWeight = 0.1
	maxWeight = 100
)

// Choices says how the process decides while there is more work than upstreams can do. An
// empty choice stands for the default.
type Choices struct {
	Admission   Choice // Plain or Fair
	Quota       Choice // Plain or Ranked
	Gateways    Choice // Fixed or Reach
	Placement   Choice // Fixed, Adaptive or Expected
	Connections Choice // Plain or Fair
	Division    Choice // Equal or Demand
	// Weights holds the weights of workspaces whose weight is not 1.
	Weights map[string]float64
}

// Or returns l with its empty choices taken from d.
func (l Choices) Or(d Choices) Choices {
	for _, c := range []struct{ dst, src *Choice }{
		{&l.Admission, &d.Admission},
		{&l.Quota, &d.Quota},
		{&l.Gateways, &d.Gateways},
		{&l.Placement, &d.Placement},
		{&l.Connections, &d.Connections},
		{&l.Division, &d.Division},
	} {
		if *c.dst == "" {
			*c.dst = *c.src
		}
	}
	if l.Weights == nil {
		l.Weights = d.Weights
	}
	return l
}

// Weight returns the weight of a workspace.
func (l Choices) Weight(workspace string) float64 {
	if w, ok := l.Weights[workspace]; ok {
		return w
	}
	return 1
}

func (c *checker) load(l *Choices) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		c.mapping(path, n, []field{
			{"admission", false, c.choice(&l.Admission, Plain, Fair)},
			{"quota", false, c.choice(&l.Quota, Plain, Ranked)},
			{"gateways", false, c.choice(&l.Gateways, Fixed, Reach)},
			{"placement", false, c.choice(&l.Placement, Fixed, Adaptive, Expected)},
			{"connections", false, c.choice(&l.Connections, Plain, Fair)},
			{"division", false, c.choice(&l.Division, Equal, Demand)},
			{"weights", false, c.weights(&l.Weights)},
		})
	}
}

// choice reads one of the allowed choices.
func (c *checker) choice(dst *Choice, allowed ...Choice) func(string, ast.Node) {
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, string(a))
	}
	text := "allowed are " + strings.Join(names, ", ")
	return func(path string, n ast.Node) {
		s, ok := c.scalar(path, n, text)
		if !ok {
			return
		}
		for _, a := range allowed {
			if s == string(a) {
				*dst = a
				return
			}
		}
		c.fail(n, fmt.Sprintf("%s is %q", path, s), text)
	}
}

// weights reads the weights of workspaces by name.
func (c *checker) weights(dst *map[string]float64) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		values, ok := entries(n)
		if !ok {
			c.fail(n, fmt.Sprintf("%s is %s", path, kind(n)), "allowed are weights by the names of workspaces")
			return
		}
		*dst = make(map[string]float64, len(values))
		for _, v := range values {
			name := v.Key.GetToken().Value
			if _, twice := (*dst)[name]; twice {
				c.fail(v.Key, join(path, name)+" stands twice", "allowed is once")
				continue
			}
			weight := 1.0
			c.number(&weight, minWeight, maxWeight)(join(path, name), v.Value)
			(*dst)[name] = weight
		}
	}
}

// rules reads the names of the platform's rules. They are the platform's own, so any text is
// allowed.
func (c *checker) rules(dst *[]string) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		c.list(path, n, func(path string, n ast.Node) {
			if name, ok := c.scalar(path, n, "allowed is the name of a rule"); ok {
				*dst = append(*dst, name)
			}
		})
	}
}
