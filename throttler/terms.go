package throttler

import (
	"time"

	"basildale.example/basildale/cataloger"
)

// Tolerance say how quotas are judged: in any Window no more operations than rate, burst,
// Excess and Slack allow. The zero value allows rate and burst in a second.
type Tolerance struct {
	Window time.Duration
	// Excess is the part by which rate and burst may be exceeded, and Slack how many
	// operations may come on top of that.
	Excess float64
	Slack  float64
}

const (
	defaultWindow = time.Second
	// spent is the part of Excess and Slack that is granted. The rest covers that
	// processes may differ in how many they are.
	spent = 0.8
	// A token can be spent for as long as the burst lasts at the rate, within these.
	shortestLife = 500 * time.Millisecond
	longestLife  = 5 * time.Second
)

// grade is a quota as tokens: how many are made in a second, and for how long each can
// be spent.
type grade struct {
	rate float64
	life time.Duration
}

// grade returns a quota's tokens. In any window at most those are spent that were made
// in it, or before it by no more than their life and the way to their holder.
func (t Tolerance) grade(q cataloger.Quota) grade {
	if q.Rate <= 0 {
		return grade{}
	}
	window := t.Window
	if window == 0 {
		window = defaultWindow
	}
	life := time.Duration(q.Burst / q.Rate * float64(time.Second))
	life = min(max(life, shortestLife), longestLife)
	allowed := (q.Rate*window.Seconds()+q.Burst)*(1+spent*t.Excess) + spent*t.Slack
	return grade{allowed / (window + life + longestWay).Seconds(), life}
}
