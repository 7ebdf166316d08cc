package daemon

import (
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/controller"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/server"
)

// credentials are the secrets of a process, read once from the files that the
// settings name.
type credentials struct {
	password string
	keys     [][]byte
}

func (d *Daemon) credentials() (credentials, error) {
	var c credentials
	if path := d.Settings.Login.Password; path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return c, errors.Wrap(err, "daemon: password of the upstreams")
		}
		c.password = strings.TrimSpace(string(b))
	}
	if path := d.Settings.Secret; path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return c, errors.Wrap(err, "daemon: key of the peers")
		}
		c.keys = [][]byte{[]byte(strings.TrimSpace(string(b)))}
	}
	return c, nil
}

// static returns the groups of a process without a platform.
func (d *Daemon) static() []controller.Group {
	var list []controller.Group
	for _, g := range d.Settings.Groups {
		one := controller.Group{Name: g.Name}
		for _, u := range g.Upstreams {
			one.Upstreams = append(one.Upstreams, controller.Upstream{Address: u.Address, Zone: u.Zone})
		}
		list = append(list, one)
	}
	return list
}

// declared finds a caller of a process without a platform.
func (d *Daemon) declared(_ *controller.Reconfigured, user, database string) (relayer.Account, bool) {
	i := slices.IndexFunc(d.Settings.Callers, func(c loader.Caller) bool { return c.Name == user })
	if i < 0 || !slices.Contains(d.Settings.Callers[i].Groups, database) {
		return relayer.Account{}, false
	}
	verifier, err := relayer.ParseVerifier(d.Settings.Callers[i].Verifier)
	if err != nil {
		return relayer.Account{}, false
	}
	return relayer.Account{Tenant: d.Settings.Callers[i].Tenant, Caller: user, Group: database, Verifier: verifier}, true
}

// groups returns the groups as the server reaches them.
func (d *Daemon) groups(r *controller.Reconfigured) []server.Group {
	list := make([]server.Group, 0, len(r.Groups))
	for _, g := range r.Groups {
		one := server.Group{Name: g.Name, User: d.Settings.Login.User, Password: d.upstreams.Password, TLS: d.upstreams.TLS}
		one.Opening = opening(r, g.Name)
		one.Connections, one.Shared = d.share(g.Name), d.platform != nil
		for _, u := range g.Upstreams {
			one.Upstreams = append(one.Upstreams, u.Address)
		}
		list = append(list, one)
	}
	return list
}
