package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/configurator"
)

// callTimeout bounds one call to the platform, so that one that hangs leaves time
// to read back what became of it.
const callTimeout = 2 * time.Second

// fleet is the configuration that a command reads or changes.
type fleet struct {
	Platform []netip.AddrPort `required:"" env:"BASILDALE_PLATFORM" placeholder:"IP:PORT" help:"Addresses of the platform's object service."`
	Timeout  time.Duration    `default:"10s" help:"How long to try while the platform doesn't answer."`
}

func (f *fleet) client() *keeper.Client { return &keeper.Client{Addrs: f.Platform} }

// load reads all objects of the fleet. Objects that can't be read or that are not
// in force because something they name is missing are named on the error output.
func (f *fleet) load(ctx context.Context, e *env, client *keeper.Client) (configurator.Set, error) {
	found, err := keeper.Retry(ctx, func() ([]keeper.Object, error) {
		return client.All(ctx, configurator.StoreKind)
	})
	if err != nil {
		return nil, fail(exitSilent, err)
	}
	objects := make([]configurator.Object, len(found))
	for i, o := range found {
		objects[i] = configObject(o)
	}
	set, problems := configurator.NewSet(objects)
	for _, p := range append(problems, configurator.Build(set, 0).Problems...) {
		fmt.Fprintln(e.err, "basildale: "+p.String())
	}
	return set, nil
}

func configObject(o keeper.Object) configurator.Object {
	return configurator.Object{Name: o.Name, Version: o.Version, Value: o.Value}
}

// parse reads the documents of some files.
func parse(files []string) ([]configurator.Document, error) {
	var docs []configurator.Document
	var wrong error
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fail(exitUsage, errors.Wrap(err, "read documents"))
		}
		some, err := configurator.Parse(file, data)
		wrong = errors.Join(wrong, err)
		docs = append(docs, some...)
	}
	if wrong != nil {
		return nil, fail(exitUsage, wrong)
	}
	return docs, nil
}

// write carries out the commands of an applier until it has an outcome.
func write(ctx context.Context, client *keeper.Client, a *configurator.Applier, changes []configurator.Change) error {
	for cmd := a.Start(changes); cmd != nil; {
		ev, err := carryOut(ctx, client, cmd)
		if err != nil {
			return err
		}
		cmd = a.Handle(ev)
	}
	switch a.Outcome {
	case configurator.Applied:
		return nil
	case configurator.NotRun:
		return fail(exitSilent, errors.New(a.Reason))
	case configurator.Conflict:
		return fail(exitRefused, errors.New(a.Reason))
	default:
		return fail(exitFailed, errors.New(a.Reason))
	}
}

// carryOut makes the call that an applier asks for and returns its event. An
// error is one that the applier knows no way on from.
func carryOut(ctx context.Context, client *keeper.Client, cmd any) (any, error) {
	switch c := cmd.(type) {
	case configurator.Put:
		o, err := keeper.Retry(ctx, func() (keeper.Object, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return client.Put(ctx, configurator.StoreKind, c.Name, c.Match, c.Value)
		})
		return putEvent(o, err)
	case configurator.ReadBack:
		o, err := keeper.Retry(ctx, func() (keeper.Object, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return client.Get(ctx, configurator.StoreKind, c.Name)
		})
		switch {
		case err == nil:
			return configurator.ReadDone{Current: configObject(o)}, nil
		case errors.Is(err, keeper.ErrMissing):
			return configurator.ReadDone{}, nil
		default:
			return configurator.PutDown{}, nil
		}
	default:
		return nil, errors.AssertionFailedf("unknown command %T", cmd)
	}
}

func putEvent(o keeper.Object, err error) (any, error) {
	var conflict *keeper.ConflictError
	switch {
	case err == nil:
		return configurator.PutDone{Version: o.Version}, nil
	case errors.As(err, &conflict) && conflict.Current.Version == 0:
		return configurator.PutConflict{}, nil
	case errors.As(err, &conflict):
		return configurator.PutConflict{Current: configObject(conflict.Current)}, nil
	case errors.Is(err, keeper.ErrDown):
		return configurator.PutDown{}, nil
	case errors.Is(err, keeper.ErrLost), errors.Is(err, keeper.ErrConflict):
		return configurator.PutLost{}, nil
	default:
		return nil, err
	}
}
