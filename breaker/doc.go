// Package breaker keeps requests away from an upstream that doesn't answer.
//
// A [Breaker] is closed while its upstream answers. It opens when too many
// requests in a row fail, or too large a part of the recent ones, or when an
// operator says so. While open it refuses, until a time that was set when it
// opened: failures that are reported later, of requests sent before, don't move
// it. Then one request goes through as a probe: its success closes the breaker,
// its failure opens it again for twice as long.
//
// Peers tell each other when theirs open, and a hint counts as all but one of
// the failures in a row. It never opens a breaker alone. Nothing is written to
// the platform.
//
// Everything is a function of (state, event, now). Each change of state comes
// out as a [Change] with its [Reason], for logs and explanations.
//
// # Usage
//
//	b := &breaker.Breaker{} // the zero value has usable defaults
//	v := b.Allow(now)
//	if !v.OK {
//		return refuse(v.Back) // or choose another upstream
//	}
//	outcome := send()
//	if change, ok := b.Report(now, v.Probe, breaker.Judge(outcome)); ok {
//		logger.Info("breaker: "+change.Reason.String(), ...)
//		if change.To == breaker.Open {
//			tellPeers(upstream) // they call Hint
//		}
//	}
package breaker
