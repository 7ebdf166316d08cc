package daemon

import "basildale.example/basildale/controller"

const (
	// defaultConnections is how many connections an upstream is taken to accept
	// where no configuration says it.
	defaultConnections = 35
	// reserved is what each proxy keeps of an upstream's connections for control.
	reserved = 1
)

// share returns how many of an upstream's connections this proxy may use for
// callers: an equal part for each live proxy, without those for control.
func (d *Daemon) share(r *controller.Reconfigured, group string) int {
	all := d.connections(r, group)
	proxies := max(1, len(d.coordinator.Members()))
	return max(1, all/proxies-reserved)
}

// connections returns how many connections each upstream of a group takes from
// the whole fleet.
func (d *Daemon) connections(r *controller.Reconfigured, group string) int {
	if r.Config != nil {
		if conf := r.Config.Groups[group]; conf != nil && conf.Connections > 0 {
			return conf.Connections
		}
		return defaultConnections
	}
	least := 0
	for _, g := range d.Settings.Groups {
		for _, u := range g.Upstreams {
			if g.Name == group && (least == 0 || u.Connections < least) {
				least = u.Connections
			}
		}
	}
	if least == 0 {
		return defaultConnections
	}
	return least
}
