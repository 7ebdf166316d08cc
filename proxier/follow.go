package proxier

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/versioner"
)

// Times of following the store.
const (
	// watchWait is how long a watch waits for a change. Each call is paid for, so
	// it is long; the connection's keep-alive tells a silent one.
	watchWait = 25 * time.Second
	// callTimeout bounds a call that isn't a watch. A store that is slow takes
	// some tens of times its usual 4 ms.
	callTimeout = 3 * time.Second
	// firstTimeout is how long a call of a process that has just started may be without
	// an answer before it is made again beside the first. What is sent while the store
	// answers nobody is lost, and a connection is tried again by the kernel only after a
	// second: processes that lost power in an outage of the store took callers 0.8 s
	// later than the store did.
	firstTimeout = 400 * time.Millisecond
	// restEvery is the time between two looks whether this process is to watch.
	restEvery = 300 * time.Millisecond
	// firstRetry and lastRetry bound the time between calls that fail.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// follower keeps up with one kind of the store's objects.
type follower struct {
	store *keeper.Client
	kind  string
	// replace takes in a whole list as of a version, change all that has changed up to
	// one.
	replace func(list []keeper.Object, version versioner.Version)
	change  func(list []keeper.Object, version versioner.Version)
	log     *zap.Logger
	// wanted, when set, says whether this process is to watch the kind.
	wanted func() bool
	// back, when set, tells when another call of this process has found the store
	// again.
	back *signal
	// read, when set, is told that the kind was read as a whole at a moment of the
	// carrier's clock.
	read func(at time.Time)
	// renewed, when set, tells that the store has been restored.
	renewed *signal

	version versioner.Version
	listed  bool
	stale   bool // others have watched since the last list
	down    bool
	retry   time.Duration
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.listed && f.wanted != nil && !f.wanted() {
			f.rest(ctx)
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		if err == nil {
			f.retry = firstRetry
			continue
		}
		if errors.Is(err, keeper.ErrGone) {
			f.listed = false // what has changed can only be had from a list
			continue
		}
		f.pause(ctx)
	}
}

// step lists once, and then watches.
func (f *follower) step(ctx context.Context) error {
	renewed := f.renewed.sent()
	if !f.listed || f.stale || f.version.Era < f.store.Era() {
		version, err := f.list(ctx, f.page)
		if err == nil {
			f.version = f.version.Max(version)
			f.listed = true
			f.stale = false
		}
		return err
	}
	page, err := f.watch(ctx, renewed)
	if err != nil {
		return err
	}
	f.change(page.Items, page.At())
	f.version = page.At()
	return nil
}

// watch waits for changes. What a store that was restored tells doesn't go on from what
// is known, also where it has given the revision out again: that has to be listed.
func (f *follower) watch(ctx context.Context, renewed <-chan struct{}) (keeper.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	go func() {
		select {
		case <-renewed:
			cancel()
		case <-ctx.Done():
		}
	}()
	page, err := f.store.Watch(ctx, f.kind, f.version.Revision, watchWait)
	if f.version.Era < f.store.Era() || err == nil && page.Era != f.version.Era {
		return keeper.Page{}, keeper.ErrGone
	}
	return page, err
}

// list reads all pages. The watch goes on from the first page's version, so that
// a change between two pages isn't missed.
func (f *follower) list(ctx context.Context, read reader) (versioner.Version, error) {
	began := bootClock()
	var all []keeper.Object
	var version versioner.Version
	after := ""
	for {
		page, err := read(ctx, after)
		if err != nil {
			return versioner.Version{}, err
		}
		if after == "" {
			version = page.At()
		}
		if page.Era != version.Era {
			return versioner.Version{}, errors.Wrapf(keeper.ErrEra, "pages of %s are of eras %d and %d", f.kind, version.Era, page.Era)
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Name
	}
	f.replace(all, version)
	if f.read != nil {
		f.read(began)
	}
	return version, nil
}

// reader reads one page of a list, from after a name on.
type reader func(ctx context.Context, after string) (keeper.Page, error)

// page reads a page for the goroutine that follows.
func (f *follower) page(ctx context.Context, after string) (keeper.Page, error) {
	if f.listed {
		return f.call(ctx, after)
	}
	return hedged(ctx, func(ctx context.Context) (keeper.Page, error) { return f.call(ctx, after) })
}

// call reads a page by one call.
func (f *follower) call(ctx context.Context, after string) (keeper.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.store.List(ctx, f.kind, after, keeper.PageItems)
}

// reread reads the kind as a whole, beside the goroutine that follows.
func (f *follower) reread(ctx context.Context) error {
	_, err := f.list(ctx, f.call)
	if err != nil && ctx.Err() == nil {
		f.log.Info("proxier: store not read", zap.String("kind", f.kind), zap.Error(err))
	}
	return err
}

// report logs when the store is lost and when it is back.
func (f *follower) report(err error) {
	lost := err != nil && !errors.Is(err, keeper.ErrGone) && !errors.Is(err, context.Canceled)
	if lost == f.down {
		return
	}
	f.down = lost
	if lost {
		f.log.Warn("proxier: store lost", zap.String("kind", f.kind), zap.Stringer("version", f.version), zap.Error(err))
		return
	}
	f.log.Info("proxier: store is back", zap.String("kind", f.kind), zap.Stringer("version", f.version))
	f.back.send()
}

// rest lets some time pass in which others watch. What changes meanwhile comes
// from them, so a watch that begins later lists first.
func (f *follower) rest(ctx context.Context) {
	f.stale = true
	select {
	case <-time.After(restEvery):
	case <-ctx.Done():
	}
}

// pause waits before the next call, longer each time, drawn at random so that a
// fleet that lost the store at one moment doesn't come back at one moment.
func (f *follower) pause(ctx context.Context) {
	f.retry = min(max(2*f.retry, firstRetry), lastRetry)
	d := f.retry/2 + rand.N(f.retry/2)
	select {
	case <-time.After(d):
	case <-f.back.sent():
	case <-ctx.Done():
	}
}
