package placer

import (
	"math"
	"time"
)

// Value of being served, by the utilization of the endpoints that serve.
const (
	latenessLoss  = 0.6 // share of its value that a late answer loses
	latenessSlope = 5.0 // latency target in times of one prefill: how steeply lateness grows as the utilization nears 1
	overloadValue = 0.4 // share of the value that is left at utilization 1, where every answer is late
)

// valueAt is the share of their value that requests earn at endpoints of the given utilization.
func valueAt(utilization float64) float64 {
	if utilization < 1 {
		return 1 - latenessLoss*utilization*math.Exp(-latenessSlope*(1-utilization))
	}
	return overloadValue / utilization
}

// How the endpoint time of a token is estimated. Routers report how many requests run; an engine that is in prefill
// for the share u of its time has x = r·u/(1-u) requests running, where r is the number of prompts that it could read
// in the time in which it puts out one answer undisturbed. Hence u = x/(x+r).
const (
	promptsPerSlot          = 0.375      // r, by slot of the engine
	initialSecondsPerToken  = 1.0 / 25e3 // endpoint seconds of one token of prompt and answer, until it is learned
	learningTimeConstant    = 4 * time.Second
	minLearningRate         = 1.0 // requests a second; below, there are too few to learn from
	maxLearningFactor       = 8.0 // what is learned stays within this factor of what it begins from
	defaultTokensPerRequest = 1000
)

// requestTime is how many endpoint seconds a request of the model takes.
func (f *fleet) requestTime(d *demand, observed time.Duration) float64 {
	tokens := defaultTokensPerRequest * 1.0
	if rate := d.slowRate.rate(observed, slowTimeConstant); rate > 0 {
		tokens = max(1, d.tokenRate.rate(observed, slowTimeConstant)/rate)
	}
	secondsPerToken := d.secondsPerToken
	if secondsPerToken == 0 {
		secondsPerToken = f.secondsPerToken
	}
	return secondsPerToken * tokens
}

// learnSecondsPerToken estimates utilizations from the requests that run, and compares them with the tokens a second
// to learn the endpoint time of a token, by model and for the service.
func (p *Placer) learnSecondsPerToken(now time.Time, f *fleet, table *placementTable, elapsed time.Duration) {
	observed := p.demand.observedFor(now)
	prompts := promptsPerSlot * float64(max(1, f.engine.Slots))
	running := f.runningPerEndpoint(table)
	weight := 1 - math.Exp(-elapsed.Seconds()/learningTimeConstant.Seconds())
	totalUtilization, totalTokens := 0.0, 0.0
	for _, m := range table.placements {
		d := m.demand
		if d == nil || d.running <= 0 || d.slowRate.rate(observed, slowTimeConstant) < minLearningRate || d.waiting > d.running {
			continue
		}
		utilization := 0.0
		for _, r := range m.replicas {
			own := float64(d.running) / float64(len(m.replicas))
			utilization += own / (running[r.endpoint] + prompts)
		}
		tokens := d.tokenRate.rate(observed, slowTimeConstant)
		if tokens <= 0 || utilization <= 0 {
			continue
		}
		totalUtilization += utilization
		totalTokens += tokens
		estimate := clampAround(utilization/tokens, f.secondsPerToken)
		if d.secondsPerToken == 0 {
			d.secondsPerToken = f.secondsPerToken
		}
		d.secondsPerToken += (estimate - d.secondsPerToken) * weight
	}
	if totalTokens > 0 {
		estimate := clampAround(totalUtilization/totalTokens, initialSecondsPerToken)
		f.secondsPerToken += (estimate - f.secondsPerToken) * weight
	}
}

// clampAround bounds an estimate to a factor of maxLearningFactor around the center.
func clampAround(estimate, center float64) float64 {
	return min(max(estimate, center/maxLearningFactor), center*maxLearningFactor)
}

// runningPerEndpoint distributes each model's running requests evenly over its replicas.
func (f *fleet) runningPerEndpoint(table *placementTable) map[*endpoint]float64 {
	running := make(map[*endpoint]float64, len(f.sortedEndpoints))
	for _, m := range table.placements {
		if m.demand == nil || len(m.replicas) == 0 {
			continue
		}
		own := float64(m.demand.running) / float64(len(m.replicas))
		for _, r := range m.replicas {
			running[r.endpoint] += own
		}
	}
	return running
}
