package dispatch

import (
	"time"

	"raventrestle/internal/portablemath"
)

// Estimators with exponential decay: a linear regression, and the slowness of an endpoint.

const (
	regressionDecay          = 0.98                   // weight of earlier observations, at each new one
	regressionTimeConstant   = 10 * time.Second       // of the decay with time
	regressionDecayInterval  = 250 * time.Millisecond // minimum interval between two decays with time
	priorWeight              = 0.3                    // of each of the two prior observations, in observations
	priorFirstByteMS         = 15.0                   // time to the first byte of an idle endpoint
	priorMSPerThousandTokens = 50.0

	slownessSmoothing    = 0.2             // weight of a new observation
	slownessNoise        = 0.25            // deviations of the logarithm up to this size may be random
	slownessTimeConstant = 8 * time.Second // of the decay to 0
	minSlownessRatio     = 0.1
	maxSlownessRatio     = 50.0
	maxLogSlowness       = 3.0
)

// regression is a weighted least-squares fit of a straight line. Observations decay with each new one, and also with
// time: an estimate so high that no requests are sent could not be corrected otherwise.
type regression struct {
	n, x, y, xx, xy float64 // weighted sums
	decayedAt       time.Duration
}

// decay reduces the weight of the observations according to the time since the last decay.
func (l *regression) decay(now time.Duration) {
	if now-l.decayedAt < regressionDecayInterval {
		return
	}
	f := portablemath.Exp(-float64(now-l.decayedAt) / float64(regressionTimeConstant))
	l.n, l.x, l.y, l.xx, l.xy, l.decayedAt = l.n*f, l.x*f, l.y*f, l.xx*f, l.xy*f, now
}

// add adds the observation (x, y).
func (l *regression) add(now time.Duration, x, y float64) {
	l.decay(now)
	l.n = l.n*regressionDecay + 1
	l.x = l.x*regressionDecay + x
	l.y = l.y*regressionDecay + y
	l.xx = l.xx*regressionDecay + x*x
	l.xy = l.xy*regressionDecay + x*y
}

// fit returns the line's intercept and slope. The prior line enters the fit as two observations of weight
// priorWeight.
func (l *regression) fit(priorIntercept, priorSlope float64) (intercept, slope float64) {
	priorX := 2.0
	n := l.n + 2*priorWeight
	x := l.x + priorWeight*priorX
	y := l.y + priorWeight*(priorIntercept+priorIntercept+priorSlope*priorX)
	xx := l.xx + priorWeight*priorX*priorX
	xy := l.xy + priorWeight*priorX*(priorIntercept+priorSlope*priorX)
	slope = (n*xy - x*y) / (n*xx - x*x)
	slope = min(max(slope, priorSlope/8), priorSlope*16)
	intercept = max((y-slope*x)/n, 0.2)
	return intercept, slope
}

// slowness is the natural logarithm of how many times slower an endpoint is than predicted. It decays to 0.
type slowness struct {
	logarithm float64
	updatedAt time.Duration
}

// current returns the logarithm, decayed to now.
func (s *slowness) current(now time.Duration) float64 {
	if s.logarithm == 0 {
		return 0
	}
	return s.logarithm * portablemath.Exp(-float64(now-s.updatedAt)/float64(slownessTimeConstant))
}

// factor returns how many times slower the endpoint is than its peers, without deviations that may be random.
func (s *slowness) factor(now time.Duration) float64 {
	value := s.current(now)
	if value > 0 {
		return portablemath.Exp(max(value-slownessNoise, 0))
	}
	return portablemath.Exp(min(value+slownessNoise, 0))
}

// add records the ratio of an observed to its predicted time.
func (s *slowness) add(now time.Duration, ratio float64) {
	value := s.current(now)
	value += (portablemath.Log(ratio) - value) * slownessSmoothing
	s.logarithm = min(max(value, -1), maxLogSlowness)
	s.updatedAt = now
}
