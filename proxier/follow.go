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

// Times for reading and watching the store.
const (
	// watchTimeout is how long a watch waits for a change. It is long because each call is
	// paid for; a dead connection is detected by its keep-alive.
	watchTimeout = 25 * time.Second
	// callTimeout bounds a call that is not a watch. A slow store takes some tens of times its
	// usual 4 ms.
	callTimeout = 3 * time.Second
	// hedgeDelay is how long a call of a process that has just started may go unanswered
	// before it is repeated in parallel. What is sent while the store answers nobody is lost,
	// and the kernel retries a connection only after a second: without hedging, processes that
	// lost power during a store outage accepted callers 0.8 s later than the store was back.
	hedgeDelay = 400 * time.Millisecond
	// standbyInterval is the time between two checks whether this process is to watch.
	standbyInterval = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the back-off after calls that fail.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// storeWatcher keeps a local copy of one kind of the store's objects up to date.
type storeWatcher struct {
	store *keeper.Client
	kind  string
	// onList applies a whole list as of a version, onChange all that has changed up to a
	// version.
	onList   func(list []keeper.Object, version versioner.Version)
	onChange func(list []keeper.Object, version versioner.Version)
	log      *zap.Logger
	// shouldWatch, when set, reports whether this process is to watch the kind.
	shouldWatch func() bool
	// awaitTurn, when set, is called before the first list. It waits until this process is to
	// list, and reports false if peers have delivered the kind meanwhile.
	awaitTurn func(ctx context.Context) bool
	// isDelivered, when set, reports whether peers have delivered the kind. A process that is
	// not to watch then needs no list of its own.
	isDelivered func() bool
	// awaitPeers, when set, is called before the second page of the first list. It reports
	// whether peers have delivered the kind up to a version meanwhile.
	awaitPeers func(ctx context.Context, version versioner.Version) bool
	// storeBack, when set, signals that another call of this process has reached the store
	// again.
	storeBack *signal
	// onFullRead, when set, is called when the kind has been read in full, with the bootClock
	// time at which the read began.
	onFullRead func(at time.Time)
	// storeRestored, when set, signals that the store was restored.
	storeRestored *signal

	version    versioner.Version
	listed     bool
	isStale    bool // only others have watched since the last list
	isDown     bool
	retryDelay time.Duration
}

// run lists and watches until the context ends.
func (w *storeWatcher) run(ctx context.Context) {
	if w.awaitTurn != nil && !w.awaitTurn(ctx) {
		w.listed, w.isStale = true, true
	}
	for ctx.Err() == nil {
		if w.isKnown() && w.shouldWatch != nil && !w.shouldWatch() {
			w.standBy(ctx)
			continue
		}
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		w.logStoreState(err)
		if err == nil {
			w.retryDelay = minRetryDelay
			continue
		}
		if errors.Is(err, keeper.ErrGone) {
			w.listed = false // the history is gone, so the changes are only available from a list
			continue
		}
		w.backOff(ctx)
	}
}

// isKnown reports whether this process has the kind, from a list or from peers.
func (w *storeWatcher) isKnown() bool {
	return w.listed || w.isDelivered != nil && w.isDelivered()
}

// step lists if that is needed, and otherwise makes one watch call.
func (w *storeWatcher) step(ctx context.Context) error {
	restored := w.storeRestored.wait()
	if !w.listed || w.isStale || w.version.Era < w.store.Era() {
		await := w.awaitPeers
		if w.listed {
			await = nil
		}
		version, err := w.list(ctx, w.listPageHedged, await)
		if errors.Is(err, errDelivered) {
			w.listed, w.isStale = true, true
			return nil
		}
		if err == nil {
			w.version = w.version.Max(version)
			w.listed = true
			w.isStale = false
		}
		return err
	}
	page, err := w.watch(ctx, restored)
	if err != nil {
		return err
	}
	w.onChange(page.Items, page.At())
	w.version = page.At()
	return nil
}

// watch waits for changes. Changes from a restored store do not continue the known history,
// even where it has assigned the known revision again, so they are rejected and a list is
// needed. A pending watch is canceled when the store is restored.
func (w *storeWatcher) watch(ctx context.Context, restored <-chan struct{}) (keeper.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	go func() {
		select {
		case <-restored:
			cancel()
		case <-ctx.Done():
		}
	}()
	page, err := w.store.Watch(ctx, w.kind, w.version.Revision, watchTimeout)
	if w.version.Era < w.store.Era() || err == nil && page.Era != w.version.Era {
		return keeper.Page{}, keeper.ErrGone
	}
	return page, err
}

// errDelivered means that a list was not read to its end because peers have delivered it.
var errDelivered = errors.New("proxier: delivered by peers")

// list reads all pages. The watch continues from the first page's version, so that a change
// between two pages is not missed. If there is more than one page and await reports that peers
// have delivered the rest, the error is errDelivered.
func (w *storeWatcher) list(ctx context.Context, read pageReader, await func(context.Context, versioner.Version) bool) (versioner.Version, error) {
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
			return versioner.Version{}, errors.Wrapf(keeper.ErrEra, "pages of %s have different eras: %d and %d", w.kind, version.Era, page.Era)
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		if after == "" && await != nil && await(ctx, version) {
			return version, errDelivered
		}
		after = page.Items[len(page.Items)-1].Name
	}
	w.onList(all, version)
	if w.onFullRead != nil {
		w.onFullRead(began)
	}
	return version, nil
}

// pageReader reads the page of a list that follows a name.
type pageReader func(ctx context.Context, after string) (keeper.Page, error)

// listPageHedged reads a page for the watching goroutine; the first list is hedged.
func (w *storeWatcher) listPageHedged(ctx context.Context, after string) (keeper.Page, error) {
	if w.listed {
		return w.listPage(ctx, after)
	}
	return hedged(ctx, func(ctx context.Context) (keeper.Page, error) { return w.listPage(ctx, after) })
}

// listPage reads a page with one call.
func (w *storeWatcher) listPage(ctx context.Context, after string) (keeper.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.store.List(ctx, w.kind, after, keeper.PageItems)
}

// listAll reads the kind in full, concurrently with the watching goroutine.
func (w *storeWatcher) listAll(ctx context.Context) error {
	_, err := w.list(ctx, w.listPage, nil)
	if err != nil && ctx.Err() == nil {
		w.log.Info("proxier: listing the store failed", zap.String("kind", w.kind), zap.Error(err))
	}
	return err
}

// logStoreState logs when the store is lost and when it is back.
func (w *storeWatcher) logStoreState(err error) {
	lost := err != nil && !errors.Is(err, keeper.ErrGone) && !errors.Is(err, context.Canceled)
	if lost == w.isDown {
		return
	}
	w.isDown = lost
	if lost {
		w.log.Warn("proxier: store lost", zap.String("kind", w.kind), zap.Stringer("version", w.version), zap.Error(err))
		return
	}
	w.log.Info("proxier: store is back", zap.String("kind", w.kind), zap.Stringer("version", w.version))
	w.storeBack.notify()
}

// standBy waits while other processes watch. Their changes arrive by gossip, so a watch that
// begins later lists first.
func (w *storeWatcher) standBy(ctx context.Context) {
	w.isStale = true
	select {
	case <-time.After(standbyInterval):
	case <-ctx.Done():
	}
}

// backOff waits before the next call, longer each time, with jitter so that processes that
// lost the store at the same moment do not all come back at the same moment.
func (w *storeWatcher) backOff(ctx context.Context) {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	d := w.retryDelay/2 + rand.N(w.retryDelay/2)
	select {
	case <-time.After(d):
	case <-w.storeBack.wait():
	case <-ctx.Done():
	}
}
