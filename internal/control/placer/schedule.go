package placer

import "time"

const (
	// urgentOnlyWindow is how long after its first step, or after a gap in the reports, a leader makes only urgent
	// decisions, because it has not heard from all routers yet.
	urgentOnlyWindow = 2 * time.Second
	// maxPlansPerStep is the maximum number of plans that one step starts for a service.
	maxPlansPerStep = 8
	// concurrentLoadShare is the share of the loads allowed in a window that may be in progress at the same time.
	concurrentLoadShare = 0.85
)

// decide continues the plans in progress and starts changes that gain more than they cost. Adapters that are loaded
// nowhere are placed before new plans start: an adapter order takes a moment, whereas a model load blocks adapter
// orders to its endpoint for seconds.
func (p *Placer) decide(now time.Time, f *fleet, out *Output) {
	table := p.newPlacementTable(now, f)
	p.learnSecondsPerToken(now, f, table, now.Sub(f.decidedAt))
	f.decidedAt = now
	for _, e := range f.sortedEndpoints {
		if e.plan != nil {
			p.advancePlan(now, f, e, out)
		}
	}
	onlyUrgent := now.Sub(p.startedAt) < urgentOnlyWindow || p.demand.observedFor(now) < urgentOnlyWindow
	p.placeAdapters(now, f, table, true, out)
	for range maxPlansPerStep {
		if !p.startBestPlan(now, f, table, onlyUrgent, out) {
			break
		}
	}
	p.placeAdapters(now, f, table, false, out)
	if !onlyUrgent || p.demand.observedSince.IsZero() {
		p.preloadAdapters(now, f, table, out)
	}
}

// startBestPlan binds the change with the highest score over all models and endpoints. It reports false if no change
// scores above zero or too many loads are in progress.
func (p *Placer) startBestPlan(now time.Time, f *fleet, table *placementTable, onlyUrgent bool, out *Output) bool {
	if f.loadsInProgress() >= f.maxLoadsInProgress(p.config.LoadRateWindow) {
		return false
	}
	var best *candidate
	table.prepareSelection(f, p.loadLimiter.allows(now))
	for _, m := range table.placements {
		if !p.mayBenefit(m, onlyUrgent) {
			continue
		}
		if found := p.bestCandidate(now, f, table, m); found != nil && (best == nil || found.score > best.score) {
			best = found
		}
	}
	if best == nil {
		return false
	}
	p.bind(now, f, table, best, out)
	return true
}

// bestCandidate returns the change with the highest score that loads the model, nil if none scores above zero.
func (p *Placer) bestCandidate(now time.Time, f *fleet, table *placementTable, m *modelPlacement) *candidate {
	var best *candidate
	utilizations := sortedUtilizations(m)
	for _, e := range f.sortedEndpoints {
		if !p.isFeasible(now, e, m.model, table.storeLoadAllowed) {
			continue
		}
		c := &candidate{placement: m, endpoint: e, gain: p.gain(now, m, e, utilizations)}
		upperBound := p.scoreUpperBound(c)
		if upperBound <= 0 || best != nil && upperBound <= best.score || !p.chooseEvictions(now, f, table, c) {
			continue
		}
		if m.unloadStalled && table.evictsRunningRequests(c) {
			continue // one evicted replica with running requests is enough for the model
		}
		c.score = p.score(f, c)
		if c.score > 0 && (best == nil || c.score > best.score) {
			best = c
		}
	}
	return best
}

// loadsInProgress returns the number of endpoints that are loading a model or have a plan to load one.
func (f *fleet) loadsInProgress() int {
	count := 0
	for _, e := range f.sortedEndpoints {
		if e.incomingModel() != "" {
			count++
		}
	}
	return count
}

// maxLoadsInProgress returns how many loads may be in progress at the same time, at least two.
func (f *fleet) maxLoadsInProgress(window time.Duration) int {
	return max(2, int(f.engine.LoadsPerSecond*window.Seconds()*concurrentLoadShare))
}
