package proxier

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"basildale.example/basildale/versioner"
)

// Times after the store was restored from an older copy.
const (
	// rewritten is how long upstreams have to write their entries again before one that
	// isn't listed is taken for gone. They take about 2 s.
	rewritten = 3 * time.Second
	// reenrollWithin is the time in which the processes of a fleet look after their own
	// entries, each at a moment of its own, and reenrollEach what each adds to it, so that
	// a large fleet makes no more calls a second than a store takes.
	reenrollWithin = 2 * time.Second
	reenrollEach   = 10 * time.Millisecond
	// reenrollAgain is when each looks once more: a call that an earlier era left without
	// an answer is carried out some seconds late, and may take the entry away again.
	reenrollAgain = 12 * time.Second
	// eraTick is the time between two looks whether an own entry is of an earlier era.
	eraTick = 250 * time.Millisecond
)

const (
	storeRestores  = "basildale_store_restores"
	answersDropped = "basildale_store_answers_dropped"
)

// era returns the store's era as far as this process knows it, from the store or from
// peers.
func (p *Proxier) era() uint64 { return max(p.store.Era(), p.heardEra.Load()) }

// hearEra takes in an era that a peer knows.
func (p *Proxier) hearEra(era uint64, peer string) {
	if era > versioner.MaxEra {
		return
	}
	before := p.era()
	for known := p.heardEra.Load(); era > known; known = p.heardEra.Load() {
		if p.heardEra.CompareAndSwap(known, era) && era > before {
			p.Log.Info("proxier: later era of the store heard of", zap.Uint64("before", before), zap.Uint64("era", era), zap.String("peer", peer))
		}
	}
}

// restored takes in that an answer has stated a later era: whoever watches has to list.
func (p *Proxier) restored(before, now uint64) {
	complete, _ := p.holdings.entries()
	metrics.GetOrRegisterCounter(storeRestores, p.registry).Inc(1)
	p.Log.Warn("proxier: the store was restored from an older copy", zap.Uint64("before", before), zap.Uint64("era", now),
		zap.Stringer("complete", complete), zap.Uint64("configuration", p.holdings.current().Config.Version))
	p.renewed.send()
}

// dropped takes in that an answer of the store doesn't count.
func (p *Proxier) dropped(call string, why versioner.Verdict) {
	metrics.GetOrRegisterCounter(answersDropped, p.registry).Inc(1)
	p.drops.Do(func() {
		p.Log.Warn("proxier: answer of the store dropped", zap.String("call", call), zap.Stringer("era", why), zap.Uint64("known", p.store.Era()))
	})
}

// keepEnrolled writes this process's entry again when the store was restored.
func (p *Proxier) keepEnrolled(ctx context.Context) {
	own := enrolment{era: p.era()}
	ticker := time.NewTicker(eraTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		era := p.era()
		if !own.due(era, bootClock()) {
			continue
		}
		if own.first(era) && !sleep(ctx, rand.N(max(reenrollWithin, time.Duration(p.proxies())*reenrollEach))) {
			return
		}
		if err := p.reenroll(ctx); err != nil {
			continue // logged, and due again at the next tick
		}
		own.done(era, bootClock())
	}
}

// enrolment is when this process last looked after its entry.
type enrolment struct {
	era   uint64    // of the store, then
	again time.Time // when it looks once more; zero when it needn't
}

// first reports whether the entry hasn't been looked after in an era.
func (e *enrolment) first(era uint64) bool { return era != e.era }

// due reports whether the entry is to be looked after.
func (e *enrolment) due(era uint64, now time.Time) bool {
	return e.first(era) || !e.again.IsZero() && !now.Before(e.again)
}

// done takes in that the entry was looked after.
func (e *enrolment) done(era uint64, now time.Time) {
	again := time.Time{}
	if e.first(era) {
		again = now.Add(reenrollAgain)
	}
	e.era, e.again = era, again
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

// reenroll looks after this process's entry.
func (p *Proxier) reenroll(ctx context.Context) error {
	changed, err := p.register(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.Log.Info("proxier: own entry not written again yet", zap.Uint64("era", p.era()), zap.Error(err))
			sleep(ctx, lastRetry/2+rand.N(lastRetry))
		}
		return err
	}
	p.Log.Info("proxier: own entry looked after", zap.Uint64("era", p.era()), zap.Bool("written", changed))
	return nil
}

// restore is what is under way with the entries of upstreams since the store was
// restored. Its zero value is before all that.
type restore struct {
	era     uint64
	known   bool
	began   time.Time
	expires time.Time
	carried []string // not listed again so far
}

// renew takes in which upstreams a store that was restored has not listed again. The
// caller has the lock.
func (h *holdings) renew() {
	complete := h.catalog.CompleteVersion()
	r := &h.restore
	now := bootClock()
	carried := h.catalog.FromEarlierEra()
	switch {
	case !r.known:
		r.known, r.era = true, complete.Era
	case complete.Era != r.era:
		r.era, r.began, r.expires = complete.Era, now, now.Add(rewritten)
		h.log.Warn("proxier: upstreams of a restored store taken in", zap.Stringer("version", complete),
			zap.Int("listed", len(h.catalog.Upstreams())-len(carried)), zap.Strings("missing", carried))
	default:
		h.returned(carried, now)
	}
	r.carried = carried
}

// returned logs the upstreams that are listed again.
func (h *holdings) returned(carried []string, now time.Time) {
	for _, id := range h.restore.carried {
		if !slices.Contains(carried, id) {
			h.log.Info("proxier: upstream listed again", zap.String("upstream", id), zap.Uint64("era", h.restore.era),
				zap.Duration("after", now.Sub(h.restore.began)))
		}
	}
}

// expire drops the upstreams that weren't listed again in time.
func (h *holdings) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.restore.carried) == 0 || now.Before(h.restore.expires) {
		return
	}
	gone := h.catalog.Expire(h.restore.era)
	h.restore.carried = nil
	h.log.Warn("proxier: upstreams not listed again", zap.Uint64("era", h.restore.era), zap.Strings("gone", gone))
	h.publish(len(gone) > 0)
}
