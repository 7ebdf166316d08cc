// Package keeper speaks to the platform: its object service and its list of
// instances, as docs/CONTRACTS.md describes them. It decides nothing.
//
// A change is conditional on the version that the caller has read. What came of
// it is told by the error, and callers must tell these apart:
//
//   - nil: it took effect;
//   - [ErrConflict]: it did not, somebody else changed the object; a
//     [*ConflictError] carries the object as it is now;
//   - [ErrMissing]: there is no such object;
//   - [ErrDown]: it certainly did not take effect (the dial was refused, the
//     platform said 503, the budget was spent before the deadline);
//   - [ErrLost]: it may have taken effect. Read the object back and look for the
//     own nonce in it before doing anything else.
//
// Each call, a waiting watch too, spends one of the process's budget of calls a
// second. A call that can't have its share before its deadline isn't made.
// Answers are read up to a bound; pages that exceed it are asked for again in
// smaller pieces.
//
// Values are decoded one by one, by [Object.Decode]. One that can't be decoded
// costs only its own object, which still has its name and version.
//
// # Usage
//
//	c := &keeper.Client{Addrs: []netip.AddrPort{addr}}
//	o, err := c.Get(ctx, "preset", "winter")
//	if err != nil {
//		return err
//	}
//	_, err = c.Put(ctx, "preset", "winter", o.Version, changed)
//	var conflict *keeper.ConflictError
//	if errors.As(err, &conflict) {
//		return tell(conflict.Current)
//	}
//
// A background reader follows one kind; Follow backs off with jitter while the
// platform is down:
//
//	err := c.Follow(ctx, "preset", 0, 30*time.Second, func(p keeper.Page, err error) {
//		// p holds what changed, or err says why nothing came.
//	})
package keeper
