package demonstrator

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/examples"
	"basildale.example/basildale/loader"
)

// Proxies is how many proxies each deployment has.
const Proxies = 9

// Deployment is one of the deployments that are shown, at its real size.
type Deployment struct {
	// Name is also that of the workspace and of the tenant.
	Name string
	// Zones are its availability zones.
	Zones []string
	// Groups are its database groups; the addresses are those of the sample and
	// are replaced by the stand-ins'.
	Groups []loader.Group
	// Between is the one-way delay between two availability zones.
	Between time.Duration
	// Lag is how far the stand-ins' replicas are behind.
	Lag time.Duration
}

// Deployments returns both deployments as the samples in package examples
// describe them.
func Deployments() ([]Deployment, error) {
	list := []Deployment{
		{Name: "damplinjerne", Between: time.Millisecond, Lag: 20 * time.Millisecond},
		{Name: "quetzaltenango", Between: 500 * time.Microsecond, Lag: 40 * time.Millisecond},
	}
	for i := range list {
		if err := list[i].load(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// load reads groups and availability zones from the deployment's sample.
func (d *Deployment) load() error {
	file := d.Name + "-static.yaml"
	data, err := examples.Files.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "demonstrator")
	}
	settings, problems := loader.Check(file, data, nil)
	if len(problems) > 0 {
		return errors.Newf("demonstrator: %s", problems[0])
	}
	d.Groups = settings.Groups
	for _, g := range d.Groups {
		for _, u := range g.Upstreams {
			if !slices.Contains(d.Zones, u.Zone) {
				d.Zones = append(d.Zones, u.Zone)
			}
		}
	}
	return nil
}

// zone returns the availability zone of the i-th proxy.
func (d *Deployment) zone(i int) string { return d.Zones[i%len(d.Zones)] }
