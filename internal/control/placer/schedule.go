package placer

import "time"

const (
	// urgentOnlyWindow is how long a new leader, or one that gets reports again after a gap, decides only what is
	// urgent: it has not heard all routers yet.
	urgentOnlyWindow = 2 * time.Second
	// maxPlansPerStep is how many plans one step begins for a service.
	maxPlansPerStep = 8
	// concurrentLoadShare is the share of a window's loads that may be under way at the same moment.
	concurrentLoadShare = 0.85
)

// decide goes on with the plans under way and begins what is worth it. Adapters that are loaded nowhere come before
// new plans: an order for an adapter takes a moment, a load keeps adapters from its endpoint for seconds.
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
		if !p.beginBestPlan(now, f, table, onlyUrgent, out) {
			break
		}
	}
	p.placeAdapters(now, f, table, false, out)
	if !onlyUrgent || p.demand.observedSince.IsZero() {
		p.fillFreeSlots(now, f, table, out)
	}
}

// beginBestPlan binds the change with the highest score, of all models and endpoints. It reports false if there is
// none.
func (p *Placer) beginBestPlan(now time.Time, f *fleet, table *placementTable, onlyUrgent bool, out *Output) bool {
	if f.loadsUnderWay() >= f.maxLoadsUnderWay(p.config.LoadRateWindow) {
		return false
	}
	var best *candidate
	table.beginChoice(f, p.loadLimiter.allows(now))
	for _, m := range table.placements {
		if !p.mayGain(m, onlyUrgent) {
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
		highest := p.highestScore(c)
		if highest <= 0 || best != nil && highest <= best.score || !p.chooseEvictions(now, f, table, c) {
			continue
		}
		if m.unloadStalled && table.evictsRunningRequests(c) {
			continue // one replica in use that is evicted for the model is enough
		}
		c.score = p.score(f, c)
		if c.score > 0 && (best == nil || c.score > best.score) {
			best = c
		}
	}
	return best
}

// loadsUnderWay is the number of endpoints that load a model or are to load one.
func (f *fleet) loadsUnderWay() int {
	count := 0
	for _, e := range f.sortedEndpoints {
		if e.incomingModel() != "" {
			count++
		}
	}
	return count
}

func (f *fleet) maxLoadsUnderWay(window time.Duration) int {
	return max(2, int(f.engine.LoadsPerSecond*window.Seconds()*concurrentLoadShare))
}
