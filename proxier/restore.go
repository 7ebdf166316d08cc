package proxier

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/versioner"
)

// Times after the store was restored from an older copy.
const (
	// rewriteTimeout is how long upstreams have to write their entries again before one that
	// is not listed is considered gone. They take about 2 s.
	rewriteTimeout = 3 * time.Second
	// minRewriteSpread is the shortest time over which the processes of a fleet spread the
	// check of their own entries, each at a random moment, and rewriteSpreadPerProxy is the
	// time per process. Together they keep the call rate of a large fleet within what a store
	// takes.
	minRewriteSpread      = 2 * time.Second
	rewriteSpreadPerProxy = 10 * time.Millisecond
	// entryRecheckDelay is when each process checks once more: a call left unanswered in an
	// earlier era is carried out some seconds late, and may delete the entry again.
	entryRecheckDelay = 12 * time.Second
	// eraPollInterval is the time between two checks whether the own entry is of an earlier
	// era.
	eraPollInterval = 250 * time.Millisecond
)

// Counters of restores of the store, and of its answers that were dropped.
const (
	storeRestores  = "basildale_store_restores"
	answersDropped = "basildale_store_answers_dropped"
)

// storeEra returns the latest era of the store that this process knows, from the store or from
// peers.
func (p *Proxier) storeEra() uint64 { return max(p.store.Era(), p.peerEra.Load()) }

// receiveEra records an era that a peer reports.
func (p *Proxier) receiveEra(era uint64, peer string) {
	if era > versioner.MaxEra {
		return
	}
	previous := p.storeEra()
	for known := p.peerEra.Load(); era > known; known = p.peerEra.Load() {
		if p.peerEra.CompareAndSwap(known, era) && era > previous {
			p.Log.Info("proxier: peer reported a later era of the store", zap.Uint64("before", previous), zap.Uint64("era", era), zap.String("peer", peer))
		}
	}
}

// onStoreRestored handles an answer that states a later era: watchers have to list again.
func (p *Proxier) onStoreRestored(previous, current uint64) {
	complete, _ := p.cache.completeVersion()
	metrics.GetOrRegisterCounter(storeRestores, p.registry).Inc(1)
	p.Log.Warn("proxier: the store was restored from an older copy", zap.Uint64("before", previous), zap.Uint64("era", current),
		zap.Stringer("complete", complete), zap.Uint64("configuration", p.cache.current().Config.Version))
	p.storeRestored.notify()
}

// onAnswerDropped handles an answer of the store that is dropped because of its era.
func (p *Proxier) onAnswerDropped(call string, verdict versioner.Verdict) {
	metrics.GetOrRegisterCounter(answersDropped, p.registry).Inc(1)
	p.droppedLogLimit.Do(func() {
		p.Log.Warn("proxier: answer of the store dropped because of its era", zap.String("call", call), zap.Stringer("era", verdict), zap.Uint64("known", p.store.Era()))
	})
}

// maintainEntry writes this process's entry again after the store was restored.
func (p *Proxier) maintainEntry(ctx context.Context) {
	check := entryCheck{era: p.storeEra()}
	ticker := time.NewTicker(eraPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		era := p.storeEra()
		if !check.isDue(era, bootClock()) {
			continue
		}
		if check.isNewEra(era) && !sleep(ctx, rand.N(max(minRewriteSpread, time.Duration(p.fleetSize())*rewriteSpreadPerProxy))) {
			return
		}
		if err := p.rewriteEntry(ctx); err != nil {
			continue // the error is logged, and the check is due again at the next tick
		}
		check.recordChecked(era, bootClock())
	}
}

// entryCheck records when this process last checked its entry.
type entryCheck struct {
	era       uint64    // of the store at the last check
	recheckAt time.Time // when to check once more; zero for no such check
}

// isNewEra reports whether the entry has not been checked in an era yet.
func (e *entryCheck) isNewEra(era uint64) bool { return era != e.era }

// isDue reports whether the entry is to be checked.
func (e *entryCheck) isDue(era uint64, now time.Time) bool {
	return e.isNewEra(era) || !e.recheckAt.IsZero() && !now.Before(e.recheckAt)
}

// recordChecked records a check of the entry.
func (e *entryCheck) recordChecked(era uint64, now time.Time) {
	recheckAt := time.Time{}
	if e.isNewEra(era) {
		recheckAt = now.Add(entryRecheckDelay)
	}
	e.era, e.recheckAt = era, recheckAt
}

// sleep waits, and reports whether the context is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// rewriteEntry checks this process's entry and writes it if needed. Two of the processes read
// the list afterwards: a process that started while the restored store listed nobody knows only
// itself, and nobody else has received anything from it.
func (p *Proxier) rewriteEntry(ctx context.Context) error {
	written, err := p.writeEntry(ctx)
	if err == nil && p.readerRank(proxiesKind) < minWatchers {
		err = p.readProcesses(ctx)
	}
	if err != nil {
		if ctx.Err() == nil {
			p.Log.Info("proxier: writing the own entry again failed, will retry", zap.Uint64("era", p.storeEra()), zap.Error(err))
			sleep(ctx, maxRetryDelay/2+rand.N(maxRetryDelay))
		}
		return err
	}
	p.Log.Info("proxier: own entry checked", zap.Uint64("era", p.storeEra()), zap.Bool("written", written))
	return nil
}

// readProcesses reads the whole list of processes.
func (p *Proxier) readProcesses(ctx context.Context) error {
	listed, err := hedged(ctx, func(ctx context.Context) ([]keeper.Object, error) { return p.store.AllAfter(ctx, proxiesKind, "") })
	if err != nil {
		return errors.Wrap(err, "proxier: list the processes")
	}
	p.addPeers(listed)
	return nil
}

// restoreState is the progress of the upstream entries since the store was restored. Its zero
// value stands for the time before the first update of upstreams.
type restoreState struct {
	era           uint64
	isInitialized bool
	startedAt     time.Time
	expiresAt     time.Time
	unlisted      []string // not listed again so far
}

// updateRestore records which upstreams a restored store has not listed again yet. The caller
// holds the lock.
func (s *stateCache) updateRestore() {
	complete := s.catalog.CompleteVersion()
	r := &s.restore
	now := bootClock()
	unlisted := s.catalog.FromEarlierEra()
	switch {
	case !r.isInitialized:
		r.isInitialized, r.era = true, complete.Era
	case complete.Era != r.era:
		r.era, r.startedAt, r.expiresAt = complete.Era, now, now.Add(rewriteTimeout)
		s.log.Warn("proxier: upstreams of the restored store received", zap.Stringer("version", complete),
			zap.Int("listed", len(s.catalog.Upstreams())-len(unlisted)), zap.Strings("missing", unlisted))
	default:
		s.logRelisted(unlisted, now)
	}
	r.unlisted = unlisted
}

// logRelisted logs the upstreams that are listed again.
func (s *stateCache) logRelisted(unlisted []string, now time.Time) {
	for _, id := range s.restore.unlisted {
		if !slices.Contains(unlisted, id) {
			s.log.Info("proxier: upstream listed again", zap.String("upstream", id), zap.Uint64("era", s.restore.era),
				zap.Duration("after", now.Sub(s.restore.startedAt)))
		}
	}
}

// expireUnlisted drops the upstreams that were not listed again in time.
func (s *stateCache) expireUnlisted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.restore.unlisted) == 0 || now.Before(s.restore.expiresAt) {
		return
	}
	expired := s.catalog.Expire(s.restore.era)
	s.restore.unlisted = nil
	s.log.Warn("proxier: upstreams dropped, not listed again in time", zap.Uint64("era", s.restore.era), zap.Strings("gone", expired))
	s.publish(len(expired) > 0)
}
