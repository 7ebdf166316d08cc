package server

import (
	"context"
	"time"

	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
)

// retries is the plain default for who may run again: the retrier's own policy
// with a budget for each group.
type retries struct {
	policy  retrier.Policy
	budgets map[string]*retrier.Budget
}

func (r *retries) set(groups []Group) {
	r.budgets = make(map[string]*retrier.Budget, len(groups))
	for _, g := range groups {
		r.budgets[g.Name] = retrier.NewBudget(retrier.BudgetRate{})
	}
}

func (r *retries) decide(group string, q *retrier.Request, o retrier.Outcome) retrier.Decision {
	return r.policy.Decide(q, r.budgets[group], o, time.Now())
}

func (r *retries) settled(group string, q *retrier.Request, s retrier.Settlement) retrier.Decision {
	return r.policy.Settled(q, r.budgets[group], s, time.Now())
}

// counted counts each first attempt for the budget of its group.
func (r *retries) counted(route routeFunc) routeFunc {
	return func(ctx context.Context, q *relayer.Request) (relayer.Target, *relayer.Refusal) {
		if b := r.budgets[q.Account.Group]; b != nil && q.Attempt == 0 {
			b.Deposit()
		}
		return route(ctx, q)
	}
}

// routeFunc is the seam to routing.
type routeFunc = func(ctx context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal)
