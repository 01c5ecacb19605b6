package placer

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// How adapters are placed.
const (
	adapterUtilizationShare = 0.3                     // of an endpoint's time: an adapter that needs more gets another place
	adapterIdleTimeout      = 2500 * time.Millisecond // an adapter that nobody asked for so long makes way at once
	minAdapterResidency     = 2 * time.Second         // an adapter in use stays so long before another takes its turn
	adapterReloadBackoff    = time.Second             // what made way is not loaded again so soon, wherever
	adapterReservationTTL   = time.Second             // a place that was made is kept so long for whom it was made
	adapterActiveWindow     = 10 * time.Second        // an adapter asked for within it counts as in use
	maxAdapterOrdersPerStep = 16
)

// adapterKey names an adapter.
type adapterKey struct{ model, adapter string }

// reservation keeps a place that was made for an adapter.
type reservation struct {
	adapterKey
	until time.Time
}

// adapterPlacement is one adapter's place on an endpoint.
type adapterPlacement struct {
	endpoint       *endpoint
	model, adapter string
	lastRequestAt  time.Time // when the adapter was last asked for
	loadedAt       time.Time // when it came
	running        int       // requests that are out for it
	replicated     bool      // it is elsewhere too
}

// isIdle tells that nobody has asked for the adapter lately.
func (c adapterPlacement) isIdle(now time.Time) bool {
	return c.running == 0 && now.Sub(c.lastRequestAt) >= adapterIdleTimeout
}

// evictBefore tells whether the place is missed less than the other: faded ones first, by their last request; then those
// that are elsewhere too; then those nobody is served with at the moment, by the time that they have had.
func (c adapterPlacement) evictBefore(now time.Time, other adapterPlacement) bool {
	if faded := c.isIdle(now); faded != other.isIdle(now) {
		return faded
	} else if faded {
		return c.lastRequestAt.Before(other.lastRequestAt)
	}
	if c.replicated != other.replicated {
		return c.replicated
	}
	if idle := c.running == 0; idle != (other.running == 0) {
		return idle
	}
	return c.loadedAt.Before(other.loadedAt)
}

// adapterNeed is an adapter that wants one more place.
type adapterNeed struct {
	model    string
	adapter  string
	demand   *demand
	weight   float64
	unplaced bool
}

// placeAdapters gives places to the adapters that are asked for. The urgent part is those that are nowhere, as far as a
// place is free or taken by what nobody asks for any more.
func (p *Placer) placeAdapters(now time.Time, f *fleet, b *placements, urgent bool, out *Output) {
	count := 0
	for _, need := range p.adapterNeeds(now, f, b) {
		if count >= maxAdapterOrdersPerStep {
			return
		}
		if urgent && !need.unplaced {
			continue
		}
		if p.placeAdapter(now, f, b.byModel[need.model], need, !urgent, out) {
			count++
		}
	}
}

// adapterNeeds lists the asked-for adapters that have too few places, the most wanted first.
func (p *Placer) adapterNeeds(now time.Time, f *fleet, b *placements) []adapterNeed {
	age := p.demand.observedFor(now)
	var needs []adapterNeed
	for _, l := range b.all {
		if l.demand == nil || len(l.replicas) == 0 {
			continue
		}
		cost := f.requestTime(l.demand, age)
		for name, d := range l.demand.adapters {
			if now.Sub(d.lastRequestAt) > adapterActiveWindow && d.waiting == 0 {
				continue
			}
			rate := d.slowRate.rate(age, slowTimeConstant)
			wanted := 1 + int(rate*cost/adapterUtilizationShare)
			have := l.adapterReplicas(name)
			if have >= wanted {
				continue
			}
			weight := rate
			if have == 0 {
				weight += 100 * (1 + float64(d.waiting) + d.unmet) * (1 + f.unplacedFor(now, l.model, name).Seconds())
			}
			needs = append(needs, adapterNeed{l.model, name, d, weight, have == 0})
		}
	}
	slices.SortFunc(needs, func(x, y adapterNeed) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.model, y.model), cmp.Compare(x.adapter, y.adapter))
	})
	return needs
}

// unplacedFor is how long the adapter has had no place, as far as it is known to have made way.
func (f *fleet) unplacedFor(now time.Time, model, adapter string) time.Duration {
	if at, known := f.adapterEvictedAt[adapterKey{model, adapter}]; known {
		return min(adapterActiveWindow, now.Sub(at))
	}
	return adapterActiveWindow
}

// adapterReplicas counts where the adapter is or is arriving.
func (l *modelPlacement) adapterReplicas(adapter string) int {
	count := 0
	for _, s := range l.replicas {
		found := s.endpoint.find(l.model)
		if found == nil {
			continue
		}
		order := s.endpoint.pending
		moving := order != nil && order.order.Model == l.model && order.order.Adapter == adapter
		switch {
		case moving && order.order.Unload:
		case moving, found.hasAdapter(adapter):
			count++
		}
	}
	return count
}

// placeAdapter loads the adapter where a place is free, or unloads the one that is missed least.
func (p *Placer) placeAdapter(now time.Time, f *fleet, l *modelPlacement, need adapterNeed, turns bool, out *Output) bool {
	var free *endpoint
	var least adapterPlacement
	nowhere := l.adapterReplicas(need.adapter) == 0
	for _, s := range l.replicas {
		e := s.endpoint
		if e.find(need.model) == nil || e.find(need.model).hasAdapter(need.adapter) || !p.acceptsAdapterOrder(now, e) {
			continue
		}
		if f.freeAdapterSlots(e) > 0 && f.freeMemoryMB(e) >= f.models[need.model].AdapterSizeMB && e.slotAvailableTo(now, need) {
			if free == nil || e.utilization < free.utilization {
				free = e
			}
			continue
		}
		if found, ok := p.cheapestEviction(now, f, e, nowhere && turns); ok && (least.endpoint == nil || found.evictBefore(now, least)) {
			least = found
		}
	}
	if free != nil {
		if !nowhere || f.unplacedFor(now, need.model, need.adapter) >= adapterReloadBackoff {
			reason := fmt.Sprintf("%d waiting, %.1f refused, a place is free", need.demand.waiting, need.demand.unmet)
			return p.issue(now, f, free, Order{Model: need.model, Adapter: need.adapter, Reason: reason}, out)
		}
		return false
	}
	fading := need.demand.waiting == 0 && now.Sub(need.demand.lastRequestAt) >= adapterIdleTimeout
	if least.endpoint == nil || !nowhere || fading || f.isReserved(now, need) {
		return false
	}
	if f.unplacedFor(now, need.model, need.adapter) < adapterReloadBackoff {
		return false
	}
	return p.evictAdapter(now, f, least, need, out)
}

// evictAdapter has an adapter make way and keeps the place.
func (p *Placer) evictAdapter(now time.Time, f *fleet, least adapterPlacement, need adapterNeed, out *Output) bool {
	reason := fmt.Sprintf("place for %s of %s: %d waiting, %.1f refused", need.adapter, need.model, need.demand.waiting,
		need.demand.unmet)
	order := Order{Model: least.model, Adapter: least.adapter, Unload: true, Reason: reason}
	if !p.issue(now, f, least.endpoint, order, out) {
		return false
	}
	least.endpoint.adapterReservation = reservation{adapterKey{need.model, need.adapter}, now.Add(adapterReservationTTL)}
	f.adapterEvictedAt[adapterKey{least.model, least.adapter}] = now
	return true
}

// isReserved tells that a place is being made for the adapter.
func (f *fleet) isReserved(now time.Time, need adapterNeed) bool {
	key := adapterKey{need.model, need.adapter}
	return slices.ContainsFunc(f.sortedEndpoints, func(e *endpoint) bool {
		return now.Before(e.adapterReservation.until) && e.adapterReservation.adapterKey == key
	})
}

// slotAvailableTo tells whether a free place of the endpoint may go to the adapter.
func (e *endpoint) slotAvailableTo(now time.Time, need adapterNeed) bool {
	return !now.Before(e.adapterReservation.until) || e.adapterReservation.adapterKey == adapterKey{need.model, need.adapter}
}

// acceptsAdapterOrder tells whether an order may be sent to the endpoint that is no part of a plan.
func (p *Placer) acceptsAdapterOrder(now time.Time, e *endpoint) bool {
	if !e.isReady() || e.plan != nil || e.pending != nil || now.Before(e.backoffUntil) {
		return false
	}
	return e.stateKnown || (!p.config.InspectEndpoints && e.inheritedOrdersOver)
}

// cheapestEviction finds the adapter on the endpoint that may make way and is missed least; one that is in use may only
// for an adapter that is nowhere, after its turn.
func (p *Placer) cheapestEviction(now time.Time, f *fleet, e *endpoint, turns bool) (adapterPlacement, bool) {
	least := adapterPlacement{}
	for i := range e.models {
		c := &e.models[i]
		for _, adapter := range c.adapters {
			candidate := adapterPlacement{endpoint: e, model: c.model, adapter: adapter, loadedAt: c.adapterSince(adapter)}
			if d := p.adapterDemand(f, c.model, adapter); d != nil {
				candidate.lastRequestAt, candidate.running = d.lastRequestAt, d.running+d.waiting
			}
			if !candidate.isIdle(now) && (!turns || now.Sub(candidate.loadedAt) < minAdapterResidency) {
				continue
			}
			candidate.replicated = f.isReplicated(c.model, adapter, e)
			if least.endpoint == nil || candidate.evictBefore(now, least) {
				least = candidate
			}
		}
	}
	return least, least.endpoint != nil
}

// isReplicated tells whether another endpoint has the adapter too.
func (f *fleet) isReplicated(model, adapter string, but *endpoint) bool {
	for _, e := range f.sortedEndpoints {
		if e == but || !e.isReady() || e.isUnloading(model) {
			continue
		}
		if found := e.find(model); found != nil && found.hasAdapter(adapter) {
			return true
		}
	}
	return false
}

func (p *Placer) adapterDemand(f *fleet, model, adapter string) *demand {
	d := p.demand.models[f.name][model]
	if d == nil {
		return nil
	}
	return d.adapters[adapter]
}

// fillFreeSlots brings adapters that nobody asked for yet to places that are free, so that the first request finds
// them. Each adapter gets one place this way.
func (p *Placer) fillFreeSlots(now time.Time, f *fleet, b *placements, out *Output) {
	for _, l := range b.all {
		if f.models[l.model].AdapterCount > 0 {
			p.fillFreeSlotsOf(now, f, l, out)
		}
	}
}

// fillFreeSlotsOf does so for one model. What has no place yet changes with an order only.
func (p *Placer) fillFreeSlotsOf(now time.Time, f *fleet, l *modelPlacement, out *Output) {
	spec := f.models[l.model]
	name := l.firstUnplacedAdapter(spec.AdapterCount)
	for _, s := range l.replicas {
		e := s.endpoint
		if name == "" {
			return
		}
		if e.find(l.model) == nil || !p.acceptsAdapterOrder(now, e) || f.freeAdapterSlots(e) < 1 || f.freeMemoryMB(e) < spec.AdapterSizeMB {
			continue
		}
		if p.issue(now, f, e, Order{Model: l.model, Adapter: name, Reason: "a place is free"}, out) {
			name = l.firstUnplacedAdapter(spec.AdapterCount)
		}
	}
}

// firstUnplacedAdapter is the first adapter that has no place anywhere.
func (l *modelPlacement) firstUnplacedAdapter(count int) string {
	for i := 1; i <= count; i++ {
		name := "a" + strconv.Itoa(i)
		if l.adapterReplicas(name) == 0 {
			return name
		}
	}
	return ""
}

// adapterSlotValue is what the places that come with one copy more are worth a second.
func (p *Placer) adapterSlotValue(now time.Time, f *fleet, l *modelPlacement, age time.Duration) float64 {
	inUse, rate := 0, 0.0
	for _, d := range l.demand.adapters {
		if now.Sub(d.lastRequestAt) <= adapterActiveWindow {
			inUse++
			rate += d.slowRate.rate(age, slowTimeConstant)
		}
	}
	if inUse == 0 {
		return 0
	}
	places := f.engine.AdapterSlots * len(l.replicas)
	more := min(inUse, places+f.engine.AdapterSlots) - min(inUse, places)
	return adapterMissLoss * rate * l.demand.value * float64(more) / float64(inUse)
}
