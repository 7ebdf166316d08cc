package dispatcher

import (
	"go.uber.org/zap"

	"basildale.example/basildale/configurator"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/relayer"
)

// Accounts finds the callers that may connect.
type Accounts struct {
	// Find returns the account of a user and a database under a configuration;
	// nil takes those that the operators have declared on the platform.
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
	return d.declared(r.Config, user, database)
}

// declared finds a caller in the platform's configuration. One without a usable
// verifier is refused: taking it for one without a password would open the
// tenant's data to whoever knows the name.
func (d *Dispatcher) declared(config *configurator.Config, user, database string) (relayer.Account, bool) {
	if config == nil {
		return relayer.Account{}, false
	}
	caller, ok := config.Callers[user]
	if !ok {
		return relayer.Account{}, false
	}
	name, _, ok := config.GroupOf(user, database)
	if !ok {
		return relayer.Account{}, false
	}
	verifier, err := relayer.ParseVerifier(caller.Verifier)
	if err != nil {
		d.Log.Warn("dispatcher: caller without a usable verifier", zap.String("caller", user))
		return relayer.Account{}, false
	}
	return relayer.Account{Tenant: caller.Workspace, Caller: user, Group: name, Verifier: verifier}, true
}

// Terms returns what the configuration in force says of an account's statements.
func (d *Dispatcher) Terms(a *relayer.Account) relayer.Terms {
	r := d.Control.Config()
	if r == nil || r.Config == nil {
		return relayer.Terms{}
	}
	l, ok := r.Config.LimitsOf(a.Caller)
	if !ok {
		return relayer.Terms{}
	}
	return relayer.Terms{
		Class:  classOf(l.Class),
		Budget: l.Deadline,
		Age:    l.Age,
		AnyAge: l.Age > 0,
		Repeat: l.Repeat,
		Frozen: !l.Writes,
	}
}

func classOf(name string) relayer.Class {
	switch name {
	case relayer.Booking.String():
		return relayer.Booking
	case relayer.Lookup.String():
		return relayer.Lookup
	default:
		return relayer.Unclassed
	}
}
