package throttler

import (
	"time"

	"basildale.example/basildale/cataloger"
)

// Tolerance says how exactly quotas hold: in any Window at most as many operations are
// granted as (rate * Window + burst) * (1 + Excess) + Slack. The zero value allows rate and
// burst in a second.
type Tolerance struct {
	Window time.Duration
	// Excess is the part by which rate and burst may be exceeded, and Slack the number of
	// operations that may come on top of that.
	Excess float64
	Slack  float64
}

const (
	defaultWindow = time.Second
	// grantedShare is the part of Excess and Slack that is granted. The rest covers that
	// processes may assume different sizes of the fleet.
	grantedShare = 0.8
	// Bounds of the time for which a token can be spent.
	minTokenLife = 500 * time.Millisecond
	maxTokenLife = 5 * time.Second
)

// tokenLimit is a quota in tokens: how many are produced in a second, and for how long
// each can be spent.
type tokenLimit struct {
	rate float64
	life time.Duration
	// window is the Window of the tolerance.
	window time.Duration
}

// tokenLimit returns a quota in tokens. The tokens spent in any window were produced in
// it, or before it by at most their life and the time in transit to their owner. Their rate
// exceeds that of the quota by no more than Excess, and what is allowed beyond it makes
// their life longer: a workspace that stays below its rate, but whose operations come in
// clusters, needs a burst and no higher rate. For a small workspace most of what is allowed
// is Slack.
func (t Tolerance) tokenLimit(q cataloger.Quota) tokenLimit {
	if q.Rate <= 0 {
		return tokenLimit{window: defaultWindow}
	}
	window := t.Window
	if window == 0 {
		window = defaultWindow
	}
	factor := 1 + grantedShare*t.Excess
	allowed := (q.Rate*window.Seconds()+q.Burst)*factor + grantedShare*t.Slack
	life := time.Duration(allowed/(q.Rate*factor)*float64(time.Second)) - window - maxTransit
	life = min(max(life, minTokenLife), maxTokenLife)
	return tokenLimit{allowed / (window + life + maxTransit).Seconds(), life, window}
}
