package demonstrator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/internal/faker/upstream"
)

// Demo is one demonstration. Out must be set; the rest of the zero value works.
type Demo struct {
	// Out gets what happens and the table at the end.
	Out io.Writer
	// Log gets the proxies' lines; nil means none.
	Log *zap.Logger
	// Hold keeps everything up, with an address and a connection string for
	// each deployment, until the context ends.
	Hold bool
	// Deployments are shown side by side; nil means both of Deployments.
	Deployments []Deployment
	// Requests is how many requests come to each group; zero means
	// DefaultRequests.
	Requests int
	// Rate is how many requests a second come to each group; zero means DefaultRate.
	Rate float64
	// Seed decides the callers' requests.
	Seed uint64
	// BeforeCheck, when set, may spoil what the groups hold before it is compared
	// with what callers were told. It is called once for each deployment.
	BeforeCheck func(groups []*upstream.Group)
}

// Run runs the demonstration. The report is meaningful only without an error.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	log := d.Log
	if log == nil {
		log = zap.NewNop()
	}
	say := &narrator{out: d.Out, start: time.Now(), now: time.Now}
	deployments := d.Deployments
	if deployments == nil {
		var err error
		if deployments, err = Deployments(); err != nil {
			return nil, err
		}
	}
	stages, err := open(ctx, deployments, log)
	if err == nil {
		var report *Report
		report, err = d.show(ctx, say, stages)
		if err == nil {
			return report, closeAll(stages)
		}
	}
	return nil, errors.CombineErrors(err, closeAll(stages))
}

// show shows what is up.
func (d *Demo) show(ctx context.Context, say *narrator, stages []*stage) (*Report, error) {
	for _, s := range stages {
		say.say(s.Name, "%d proxies in %d availability zones before %d groups of %d upstreams",
			len(s.proxies), len(s.Zones), len(s.groups), len(s.groups[0].Upstreams))
	}
	if d.Hold {
		d.hold(ctx, stages)
		return &Report{}, nil
	}
	return d.play(ctx, say, stages)
}

func closeAll(stages []*stage) error {
	failed := make([]error, len(stages))
	var closing sync.WaitGroup
	for i, s := range stages {
		closing.Go(func() { failed[i] = s.close() })
	}
	closing.Wait()
	return errors.Join(failed...)
}

// open starts all deployments side by side. The caller closes what it returns,
// also beside an error.
func open(ctx context.Context, deployments []Deployment, log *zap.Logger) ([]*stage, error) {
	stages := make([]*stage, len(deployments))
	failed := make([]error, len(deployments))
	var starting sync.WaitGroup
	for i, deployment := range deployments {
		starting.Go(func() { stages[i], failed[i] = openStage(ctx, deployment, log) })
	}
	starting.Wait()
	return stages, errors.Join(failed...)
}

// hold prints how to connect and waits until ctx ends.
func (d *Demo) hold(ctx context.Context, stages []*stage) {
	for _, s := range stages {
		fmt.Fprintf(d.Out, "\n%-18s  %-21s  %s\n", s.Name, "callers", "operators")
		for _, p := range s.proxies {
			fmt.Fprintf(d.Out, "  %-16s  %-21s  %s\n", p.name, p.daemon.Callers(), p.daemon.Operators())
		}
		fmt.Fprintf(d.Out, "  psql '%s'\n", s.url(0, s.Groups[0].Name))
		fmt.Fprintf(d.Out, "  basildale load %s %s --user %s --password %s --database %s\n",
			s.proxies[0].daemon.Callers(), s.proxies[1].daemon.Callers(), callerName, password, s.Groups[0].Name)
		fmt.Fprintf(d.Out, "  basildale status %s\n", s.proxies[0].daemon.Operators())
	}
	fmt.Fprintln(d.Out, "\nInterrupt to end.")
	<-ctx.Done()
}
