package placer

import (
	"time"

	"raventrestle/internal/portablemath"
)

// Constants of the value of a served request, which depends on the utilization of the endpoints that serve it.
const (
	latenessLoss  = 0.6 // share of its value that a late answer loses
	latenessSlope = 5.0 // latency target as a multiple of one prefill; sets how steeply lateness grows as utilization nears 1
	overloadValue = 0.4 // share of the value that remains at utilization 1, where every answer is late
)

// valueAt returns the share of their value that requests earn at endpoints of the given utilization.
func valueAt(utilization float64) float64 {
	if utilization < 1 {
		return 1 - latenessLoss*utilization*portablemath.Exp(-latenessSlope*(1-utilization))
	}
	return overloadValue / utilization
}

// Constants for estimating the endpoint time per token. Routers report the number of running requests. An engine that
// spends the share u of its time on prefill has x = r·u/(1-u) running requests, where r is the number of prompts that it
// could prefill in the time in which it produces one answer without interruption. Hence u = x/(x+r).
const (
	promptsPerSlot          = 0.375      // r, per slot of the engine
	initialSecondsPerToken  = 1.0 / 25e3 // endpoint seconds per token of prompt and answer, until a value is learned
	learningTimeConstant    = 4 * time.Second
	minLearningRate         = 1.0 // requests per second; below this rate there are too few requests to learn from
	maxLearningFactor       = 8.0 // a learned value differs from its reference value by at most this factor
	defaultTokensPerRequest = 1000
)

// requestTime returns how many endpoint seconds a request for the model takes.
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

// learnSecondsPerToken estimates utilizations from the running requests and divides them by the token rates to learn
// the endpoint time per token, for each model and for the service.
func (p *Placer) learnSecondsPerToken(now time.Time, f *fleet, table *placementTable, elapsed time.Duration) {
	observed := p.demand.observedFor(now)
	promptsPerAnswer := promptsPerSlot * float64(max(1, f.engine.Slots))
	running := f.runningPerEndpoint(table)
	weight := 1 - portablemath.Exp(-elapsed.Seconds()/learningTimeConstant.Seconds())
	totalUtilization, totalTokens := 0.0, 0.0
	for _, m := range table.placements {
		d := m.demand
		if d == nil || d.running <= 0 || d.slowRate.rate(observed, slowTimeConstant) < minLearningRate || d.waiting > d.running {
			continue
		}
		utilization := 0.0
		for _, r := range m.replicas {
			perReplica := float64(d.running) / float64(len(m.replicas))
			utilization += perReplica / (running[r.endpoint] + promptsPerAnswer)
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

// clampAround limits an estimate to within a factor of maxLearningFactor of the center.
func clampAround(estimate, center float64) float64 {
	return min(max(estimate, center/maxLearningFactor), center*maxLearningFactor)
}

// runningPerEndpoint distributes each model's running requests evenly over its replicas and returns the sum for each
// endpoint.
func (f *fleet) runningPerEndpoint(table *placementTable) map[*endpoint]float64 {
	running := make(map[*endpoint]float64, len(f.sortedEndpoints))
	for _, m := range table.placements {
		if m.demand == nil || len(m.replicas) == 0 {
			continue
		}
		perReplica := float64(m.demand.running) / float64(len(m.replicas))
		for _, r := range m.replicas {
			running[r.endpoint] += perReplica
		}
	}
	return running
}
