package historycheck

import (
	"cmp"
	"slices"
	"time"
)

// checkRights checks that the amount of a right in use never exceeds its total. What a killed incarnation used counts until
// it expires, because no other courier may use it earlier.
func checkRights(h *History, b Bounds) (f Findings) {
	type use struct {
		incarnation
		id string
	}
	groups := groupRecords(h, func(r *Record) string { return r.Subject }, InUse)
	for _, subject := range sortedKeys(groups) {
		type change struct {
			at, delta int64
			record    *Record
		}
		var changes []change
		total, current := int64(0), map[use]*Record{}
		ends := map[*Record]int64{}
		for _, r := range groups[subject] {
			total = max(total, r.Total)
			key := use{incarnation{r.Courier, r.Epoch}, r.ID}
			if previous := current[key]; previous != nil {
				ends[previous] = min(previous.Until, max(r.From, previous.From))
			}
			current[key], ends[r] = r, r.Until
		}
		if configured, known := b.RightTotals[subject]; known {
			total = configured
		}
		for _, r := range groups[subject] {
			if r.From < ends[r] {
				changes = append(changes, change{r.From, r.N, r}, change{ends[r], -r.N, r})
			}
		}
		// At equal times ends come before starts, because an interval of use does not include its end.
		slices.SortStableFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
		inUse, active := int64(0), map[*Record]bool{}
		exceeded := false
		for _, change := range changes {
			if inUse += change.delta; change.delta < 0 {
				delete(active, change.record)
			} else {
				active[change.record] = true
			}
			if inUse > total && !exceeded {
				var records []Record
				for r := range active {
					records = append(records, *r)
				}
				slices.SortFunc(records, func(a, b Record) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Courier, b.Courier)) })
				f.add("rights", records, "%d of %s are in use at %.6f, but the total is %d", inUse, subject, float64(change.at)/1e9, total)
			}
			exceeded = inUse > total // one violation for each period
		}
	}
	return f
}

// checkDecisions checks the facts on which decisions are based. A fact must not be older than its hard bound or than the
// age that the decision states, the incarnation must have received it, and its origin's incarnation must not be one that
// the courier knew, or had to know, to be superseded.
func checkDecisions(h *History, b Bounds) (f Findings) {
	type learnedFact struct {
		kind, origin string
		epoch        uint64
		learnedAt    int64 // when its origin learned it
		exact        bool  // recorded by the origin itself, not derived from the age at a receiver
	}
	type receivedFact struct {
		incarnation
		id string
	}
	type knownCourier struct { // what an incarnation knows of another courier
		incarnation
		peer string
	}
	facts, received := map[string]learnedFact{}, map[receivedFact]*Record{}
	newestEpochs := map[knownCourier]uint64{}
	starts := map[string][]*Record{} // by courier, in order of time
	for i := range h.Records {
		r := &h.Records[i]
		switch r.Kind {
		case Begun:
			starts[r.Courier] = append(starts[r.Courier], r)
		case FactTaken:
			learned := learnedFact{r.What, r.Peer, r.PeerEpoch, r.At - r.Age, r.Courier == r.Peer && r.Epoch == r.PeerEpoch}
			if previous, ok := facts[r.ID]; !ok || learned.exact && !previous.exact || learned.exact == previous.exact && learned.learnedAt < previous.learnedAt {
				facts[r.ID] = learned
			}
		}
	}
	for i := range h.Records {
		r := &h.Records[i]
		self := incarnation{r.Courier, r.Epoch}
		if r.Kind == FactTaken {
			key := knownCourier{self, r.Peer}
			newestEpochs[key] = max(newestEpochs[key], r.PeerEpoch)
			if _, known := received[receivedFact{self, r.ID}]; !known {
				received[receivedFact{self, r.ID}] = r
			}
		}
		if r.Kind != Decided {
			continue
		}
		for _, basis := range r.Evidence {
			if basis.MaxAge > 0 && basis.Age > basis.MaxAge {
				f.add("stale", []Record{*r}, "%s decided by %s, %v old, beyond its hard bound of %v", r.Courier, basis.ID,
					time.Duration(basis.Age), time.Duration(basis.MaxAge))
				continue
			}
			receipt := received[receivedFact{self, basis.ID}]
			if receipt == nil {
				if state := h.incarnations[self]; state.droppedRecords {
					f.Unproven++
				} else {
					f.add("stale", []Record{*r}, "%s decided by %s, which this incarnation never received", r.Courier, basis.ID)
				}
				continue
			}
			fact := facts[basis.ID]
			if age := r.At - fact.learnedAt; basis.Age < age-int64(b.AgeTolerance) {
				f.add("stale", []Record{*receipt, *r}, "%s decided by %s as %v old, but its true age is %v", r.Courier, basis.ID, time.Duration(basis.Age), time.Duration(age))
				continue
			}
			if slices.Contains(b.CrossEpochKinds, fact.kind) {
				continue
			}
			superseded := newestEpochs[knownCourier{self, fact.origin}] > fact.epoch || fact.origin == r.Courier && fact.epoch < r.Epoch
			for _, start := range starts[fact.origin] {
				superseded = superseded || b.MaxEpochDelay > 0 && start.Epoch > fact.epoch && start.At < r.At-int64(b.MaxEpochDelay)
			}
			if superseded {
				f.add("stale", []Record{*receipt, *r}, "%s decided by %s of %s's epoch %d, which has ended", r.Courier, basis.ID, fact.origin, fact.epoch)
			}
		}
	}
	return f
}

// checkAllowances checks that all couriers together charge an agreed record at most what it allows a site per window.
func checkAllowances(h *History, b Bounds) (f Findings) {
	type key struct {
		id, site string
		window   uint64
	}
	groups := groupRecords(h, func(r *Record) key { return key{r.ID, r.Subject, r.Window} }, Charged)
	var exceeded []key
	sums := map[key][2]int64{}
	for k, records := range groups {
		sum, allowed := int64(0), int64(0)
		for _, r := range records {
			sum, allowed = sum+r.N, max(allowed, r.Total)
		}
		if configured, known := b.Allowances[k.id]; known {
			allowed = configured
		}
		if sum > allowed {
			exceeded, sums[k] = append(exceeded, k), [2]int64{sum, allowed}
		}
	}
	slices.SortFunc(exceeded, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.site, b.site), cmp.Compare(a.window, b.window))
	})
	for _, allowanceKey := range exceeded {
		f.add("allowance", copyRecords(groups[allowanceKey]), "record %s, site %s, window %d: %d were charged, but only %d are allowed", allowanceKey.id, allowanceKey.site, allowanceKey.window,
			sums[allowanceKey][0], sums[allowanceKey][1])
	}
	return f
}

// checkWaits checks that an incarnation that has received a wait of an endpoint sends it no call until the wait is over.
// Calls that were already in transit are allowed.
func checkWaits(h *History, b Bounds) (f Findings) {
	type connection struct {
		incarnation
		endpoint string
	}
	activeWaits := map[connection][]*Record{}
	for i := range h.Records {
		r := &h.Records[i]
		key := connection{incarnation{r.Courier, r.Epoch}, r.Subject}
		switch r.Kind {
		case WaitHeard:
			if r.Until <= r.At {
				delete(activeWaits, key)
				continue
			}
			activeWaits[key] = append(slices.DeleteFunc(activeWaits[key], func(wait *Record) bool { return wait.Until <= r.At }), r)
		case CallWritten:
			for _, wait := range activeWaits[key] {
				if r.At > wait.At+int64(b.MaxTransit) && r.At < wait.Until {
					f.add("waits", []Record{*wait, *r}, "%s wrote a call to %s %v before the end of a wait that it had received %v earlier", r.Courier, r.Subject,
						time.Duration(wait.Until-r.At), time.Duration(r.At-wait.At))
					break
				}
			}
		}
	}
	return f
}

// checkEpochs checks that each incarnation of a courier has a larger epoch than all earlier ones.
func checkEpochs(h *History, _ Bounds) (f Findings) {
	latest := map[string]*Record{}
	for i := range h.Records {
		r := &h.Records[i]
		if r.Kind != Begun {
			continue
		}
		if previous := latest[r.Courier]; previous != nil && r.Epoch <= previous.Epoch {
			f.add("epochs", []Record{*previous, *r}, "%s started epoch %d after epoch %d", r.Courier, r.Epoch, previous.Epoch)
		}
		if previous := latest[r.Courier]; previous == nil || r.Epoch > previous.Epoch {
			latest[r.Courier] = r
		}
	}
	return f
}
