package dispatch

import (
	"math"
	"time"
)

// Estimators with exponential decay: a linear regression, and an endpoint's slowness.

const (
	regressionDecay          = 0.98 // weight of earlier observations, at each new one
	regressionTimeConstant   = 10 * time.Second
	regressionDecayInterval  = 250 * time.Millisecond
	priorWeight              = 0.3  // of the prior, in observations
	priorFirstByteMS         = 15.0 // until an idle endpoint answers
	priorMSPerThousandTokens = 50.0

	slownessSmoothing    = 0.2  // weight of a new observation
	slownessNoise        = 0.25 // of the logarithm, that may be chance
	slownessTimeConstant = 8 * time.Second
	minSlownessRatio     = 0.1
	maxSlownessRatio     = 50.0
	maxLogSlowness       = 3.0
)

// regression is a weighted least-squares fit of a straight line. Observations decay with each new one and with time as well: an estimate
// so high that nothing is sent could not be corrected otherwise.
type regression struct {
	n, x, y, xx, xy float64 // weighted sums
	decayedAt       time.Duration
}

// decay reduces the weight of observations by the time that has passed.
func (l *regression) decay(now time.Duration) {
	if now-l.decayedAt < regressionDecayInterval {
		return
	}
	f := math.Exp(-float64(now-l.decayedAt) / float64(regressionTimeConstant))
	l.n, l.x, l.y, l.xx, l.xy, l.decayedAt = l.n*f, l.x*f, l.y*f, l.xx*f, l.xy*f, now
}

// add takes in the observation (x, y).
func (l *regression) add(now time.Duration, x, y float64) {
	l.decay(now)
	l.n = l.n*regressionDecay + 1
	l.x = l.x*regressionDecay + x
	l.y = l.y*regressionDecay + y
	l.xx = l.xx*regressionDecay + x*x
	l.xy = l.xy*regressionDecay + x*y
}

// fit returns the line's intercept and slope, given their priors.
func (l *regression) fit(start, slope float64) (a, b float64) {
	far := 2.0
	n := l.n + 2*priorWeight
	x := l.x + priorWeight*far
	y := l.y + priorWeight*(start+start+slope*far)
	xx := l.xx + priorWeight*far*far
	xy := l.xy + priorWeight*far*(start+slope*far)
	b = (n*xy - x*y) / (n*xx - x*x)
	b = min(max(b, slope/8), slope*16)
	a = max((y-b*x)/n, 0.2)
	return a, b
}

// slowness is how much slower an endpoint is than predicted, as a natural logarithm that decays to 0.
type slowness struct {
	logarithm float64
	updatedAt time.Duration
}

// current returns the logarithm, decayed to now.
func (s *slowness) current(now time.Duration) float64 {
	if s.logarithm == 0 {
		return 0
	}
	return s.logarithm * math.Exp(-float64(now-s.updatedAt)/float64(slownessTimeConstant))
}

// factor returns how many times slower the endpoint is than its peers, without what may be chance.
func (s *slowness) factor(now time.Duration) float64 {
	value := s.current(now)
	if value > 0 {
		return math.Exp(max(value-slownessNoise, 0))
	}
	return math.Exp(min(value+slownessNoise, 0))
}

// add takes in the ratio of the observed to the predicted time.
func (s *slowness) add(now time.Duration, ratio float64) {
	value := s.current(now)
	value += (math.Log(ratio) - value) * slownessSmoothing
	s.logarithm = min(max(value, -1), maxLogSlowness)
	s.updatedAt = now
}
