package overseer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/versioner"
)

// recordInterval is the minimum time between two writes of a group's record. Upstreams that
// are replaced join and leave within seconds of each other.
const recordInterval = 500 * time.Millisecond

// recordResult is the result of writing a record.
type recordResult struct {
	group      string
	token      uint64 // of the lease under which it was written
	record     leaseRecord
	recordedAt versioner.Version
	err        error
}

// updateRecord writes the roster to the group's record when it has changed. An upstream is
// added before it can be off the store's list, because it is listed for some heartbeats more
// after its last one.
func (o *Overseer) updateRecord(ctx context.Context, g *group, now time.Time) {
	l := &g.lease
	if l.token == 0 || l.claiming || now.Before(l.nextRecord) {
		return
	}
	roster := g.carrierGroup.Roster()
	if roster.Equal(l.record.Roster) {
		return
	}
	l.nextRecord = now.Add(claimTimeout + recordInterval) // unless the result comes before
	name, token, replaced := g.carrierGroup.Name(), l.token, l.recordedAt
	next := o.newRecord(roster)
	go func() {
		r := o.writeRecord(ctx, name, next, replaced)
		r.token = token
		o.post(ctx, func(now time.Time) { o.onRecordResult(r, now) })
	}()
}

// writeRecord replaces the record at a version. Where an earlier write of this process was
// carried out late, the result is that one, and the next update starts from it.
func (o *Overseer) writeRecord(ctx context.Context, group string, next leaseRecord, replaced versioner.Version) recordResult {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := recordResult{group: group, record: next}
	r.recordedAt, r.err = o.putRecord(ctx, group, next, replaced)
	if !errors.Is(r.err, keeper.ErrConflict) {
		return r
	}
	held, at, err := o.readRecord(ctx, group)
	if err == nil && held.Holder == o.Name && held.Start == o.Start {
		return recordResult{group: group, record: held, recordedAt: at}
	}
	return r
}

// onRecordResult applies the result of writing a record. A conflict means that another process
// has claimed the lease.
func (o *Overseer) onRecordResult(r recordResult, now time.Time) {
	l := &o.groups[r.group].lease
	if l.token != r.token {
		return
	}
	l.nextRecord = now.Add(recordInterval)
	switch {
	case errors.Is(r.err, keeper.ErrConflict):
		o.Log.Info("overseer: lease lost, its record was changed", zap.String("group", r.group), zap.Uint64("token", l.token))
		l.token = 0
		l.nextClaim = now
		l.holderSeenAt = now.Add(-holderTimeout)
	case r.err != nil:
		o.Log.Info("overseer: roster not recorded", zap.String("group", r.group), zap.Error(r.err))
	default:
		l.record, l.recordedAt = r.record, r.recordedAt
	}
}
