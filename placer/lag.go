package placer

import (
	"math"
	"time"
)

// Parameters of the estimated lag of a replica. Times are in seconds where they are numbers.
const (
	// priorLag and priorSpread describe a replica of which nothing is known: it probably has
	// what is some seconds old, and may or may not have what is newer.
	priorLag    = 0.1
	priorSpread = 1.2
	// minLag bounds the estimate from below: a shorter lag makes no difference to any read.
	minLag = 0.002
	// minSpread and maxSpread bound the standard deviation of the logarithm of the lag.
	minSpread = 0.5
	maxSpread = 1.5
	// lagWeight and spreadWeight are the weights of a new observation.
	lagWeight    = 0.15
	spreadWeight = 0.1
	// inset is the part of an interval, as a divisor, by which the lag is taken to be inside
	// of it, and uniformVariance the divisor of its square that gives the variance within.
	inset           = 4
	uniformVariance = 4
	// surprise is how many standard deviations from the mean an observation is not noise,
	// but a change: the estimate then moves there at once.
	surprise = 2.5
	// spreadPerSecond is what the variance grows in a second without an observation.
	spreadPerSecond = 0.1
	// maxReportFactor is the factor by which a peer's estimate may be wrong.
	maxReportFactor = 1.5
	// ownLagTTL is how long an own observation takes precedence over reports of peers: they
	// send one each half second.
	ownLagTTL = 500 * time.Millisecond
)

// Lag estimates how far the log of a replica is behind that of the leader, as a log-normal
// distribution. Its zero value is a replica of which nothing is known.
type Lag struct {
	mean     float64 // of the logarithm of the lag
	variance float64
	known    bool
	seenAt   time.Time // when it was last observed here
	toldAt   time.Time // when it was last observed here or reported by peers
}

// Observe records that the replica lagged by at least and at most the given times. An
// interval that contains the estimate carries little information and moves nothing.
func (l *Lag) Observe(now time.Time, atLeast, atMost time.Duration) {
	l.move(now, atLeast, atMost)
	l.seenAt = now
}

// Report records the lag that peers estimate. It has no effect while there is a recent own
// observation, so that a wrong report cannot override what this process sees.
func (l *Lag) Report(now time.Time, lag time.Duration) {
	if lag <= 0 || now.Sub(l.seenAt) < ownLagTTL {
		return
	}
	l.move(now, time.Duration(float64(lag)/maxReportFactor), time.Duration(float64(lag)*maxReportFactor))
}

func (l *Lag) move(now time.Time, atLeast, atMost time.Duration) {
	low, high := logSeconds(atLeast), logSeconds(atMost)
	mean, variance := l.distribution(now)
	spread := math.Sqrt(variance)
	// Within the interval, the lag is probably near the end that is closer to the mean.
	width := min(max(high-low, 0), spread)
	x := max(low+width/inset, min(mean, high-width/inset))
	distance := x - mean
	l.toldAt = now
	switch {
	case !l.known:
		l.known, l.mean, l.variance = true, x, variance
	case math.Abs(distance) > surprise*spread:
		l.mean, l.variance = x, variance
	default:
		l.mean = mean + lagWeight*distance
		l.variance = variance + spreadWeight*(distance*distance+width*width/uniformVariance-variance)
	}
	l.variance = max(minSpread*minSpread, min(l.variance, maxSpread*maxSpread))
}

// distribution returns the mean and variance of the logarithm of the lag now.
func (l *Lag) distribution(now time.Time) (mean, variance float64) {
	if !l.known {
		return math.Log(priorLag), priorSpread * priorSpread
	}
	age := max(0, now.Sub(l.toldAt).Seconds())
	return l.mean, min(l.variance+spreadPerSecond*age, maxSpread*maxSpread)
}

// Within returns the probability that the replica has all that was committed by the given
// time before now.
func (l *Lag) Within(now time.Time, age time.Duration) float64 {
	if age <= 0 {
		return 0
	}
	mean, variance := l.distribution(now)
	return 0.5 * math.Erfc((mean-math.Log(age.Seconds()))/math.Sqrt(2*variance))
}

// Median returns the lag that is as likely exceeded as not; zero while nothing is known.
func (l *Lag) Median() time.Duration {
	if !l.known {
		return 0
	}
	return seconds(math.Exp(l.mean))
}

// SeenAt returns when the lag was last observed by this process.
func (l *Lag) SeenAt() time.Time { return l.seenAt }

func logSeconds(d time.Duration) float64 { return math.Log(max(d.Seconds(), minLag)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
