package dispatcher

import (
	"basildale.example/basildale/controller"
	"basildale.example/basildale/relayer"
)

// Accounts finds the callers that may connect.
type Accounts struct {
	// Find returns the account of a user and a database under a configuration;
	// nil takes [Declared].
	Find func(r *controller.Reconfigured, user, database string) (relayer.Account, bool)
}

// Login finds the account of a user and a database; false refuses the session.
func (d *Dispatcher) Login(user, database string) (relayer.Account, bool) {
	r := d.Control.Config()
	if r == nil {
		return relayer.Account{}, false
	}
	if d.Accounts.Find != nil {
		return d.Accounts.Find(r, user, database)
	}
	return Declared(r, user, database)
}

// Declared finds a caller that the operators have declared in the platform's
// configuration.
func Declared(r *controller.Reconfigured, user, database string) (relayer.Account, bool) {
	if r.Config == nil {
		return relayer.Account{}, false
	}
	caller, ok := r.Config.Callers[user]
	if !ok {
		return relayer.Account{}, false
	}
	name, _, ok := r.Config.GroupOf(user, database)
	if !ok {
		return relayer.Account{}, false
	}
	return relayer.Account{Tenant: caller.Workspace, Caller: user, Group: name}, true
}
