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
	adapterShare   = 0.3              // of an endpoint's time: an adapter that needs more gets another place
	adapterKeep    = 2 * time.Second  // an adapter asked for so little ago keeps its place
	adapterHorizon = 10 * time.Second // an adapter asked for within it counts as in use
	adapterPerStep = 16
)

// place is one adapter's place on an endpoint.
type place struct {
	at             *endpoint
	model, adapter string
	asked          time.Time // when the adapter was last asked for
}

// adapterNeed is an adapter that wants one more place.
type adapterNeed struct {
	model   string
	adapter string
	demand  *demand
	weight  float64
}

// adapters gives places to the adapters that are asked for, then fills free places with those that may be.
func (p *Placer) adapters(now time.Time, f *fleet, b *book, onlyUrgent bool, out *Output) {
	needs := p.adapterNeeds(now, f, b)
	count := 0
	for _, need := range needs {
		if count >= adapterPerStep {
			return
		}
		if p.placeAdapter(now, f, b.by[need.model], need, out) {
			count++
		}
	}
	if !onlyUrgent || p.demand.start.IsZero() {
		p.fillPlaces(now, f, b, out)
	}
}

// adapterNeeds lists the asked-for adapters that have too few places, the most wanted first.
func (p *Placer) adapterNeeds(now time.Time, f *fleet, b *book) []adapterNeed {
	age := p.demand.age(now)
	var needs []adapterNeed
	for _, l := range b.loads {
		if l.demand == nil || len(l.sites) == 0 {
			continue
		}
		cost := f.requestTime(l.demand, age)
		for name, d := range l.demand.adapters {
			if now.Sub(d.askedAt) > adapterHorizon && d.waiting == 0 {
				continue
			}
			rate := d.slow.rate(age, slowTime)
			wanted := 1 + int(rate*cost/adapterShare)
			have := l.adapterPlaces(name)
			if have >= wanted {
				continue
			}
			weight := rate
			if have == 0 {
				weight += 100 * (1 + float64(d.waiting) + d.unmet)
			}
			needs = append(needs, adapterNeed{l.model, name, d, weight})
		}
	}
	slices.SortFunc(needs, func(x, y adapterNeed) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.model, y.model), cmp.Compare(x.adapter, y.adapter))
	})
	return needs
}

// adapterPlaces counts where the adapter is or is arriving.
func (l *load) adapterPlaces(adapter string) int {
	count := 0
	for _, s := range l.sites {
		found := s.at.find(l.model)
		if found == nil {
			continue
		}
		order := s.at.pending
		moving := order != nil && order.order.Model == l.model && order.order.Adapter == adapter
		switch {
		case moving && order.order.Unload:
		case moving, found.has(adapter):
			count++
		}
	}
	return count
}

// placeAdapter loads the adapter where a place is free, or unloads the one that is missed least.
func (p *Placer) placeAdapter(now time.Time, f *fleet, l *load, need adapterNeed, out *Output) bool {
	var free *endpoint
	oldest := place{asked: now.Add(-adapterKeep)}
	for _, s := range l.sites {
		e := s.at
		if e.find(need.model) == nil || e.find(need.model).has(need.adapter) || !p.quiet(now, e) {
			continue
		}
		if f.places(e) > 0 && f.room(e) >= f.models[need.model].AdapterMB {
			if free == nil || e.used < free.used {
				free = e
			}
			continue
		}
		if found, ok := p.leastMissed(f, e); ok && found.asked.Before(oldest.asked) {
			oldest = found
		}
	}
	if free != nil {
		reason := fmt.Sprintf("%d waiting, %.1f refused, a place is free", need.demand.waiting, need.demand.unmet)
		return p.issue(now, f, free, Order{Model: need.model, Adapter: need.adapter, Reason: reason}, out)
	}
	if oldest.at == nil || l.adapterPlaces(need.adapter) > 0 {
		return false
	}
	reason := fmt.Sprintf("place for %s of %s: %d waiting, %.1f refused", need.adapter, need.model, need.demand.waiting,
		need.demand.unmet)
	order := Order{Model: oldest.model, Adapter: oldest.adapter, Unload: true, Reason: reason}
	return p.issue(now, f, oldest.at, order, out)
}

// quiet tells whether an order may be sent to the endpoint that is no part of a plan.
func (p *Placer) quiet(now time.Time, e *endpoint) bool {
	if !e.live() || e.plan != nil || e.pending != nil || now.Before(e.pauseUntil) {
		return false
	}
	return e.known || (!p.options.Looks && e.settled)
}

// leastMissed finds the adapter on the endpoint that was asked for longest ago and that nobody waits for.
func (p *Placer) leastMissed(f *fleet, e *endpoint) (place, bool) {
	oldest := place{}
	for i := range e.copies {
		c := &e.copies[i]
		for _, adapter := range c.adapters {
			candidate := place{at: e, model: c.model, adapter: adapter}
			if d := p.adapterDemand(f, c.model, adapter); d != nil {
				if d.waiting > 0 {
					continue
				}
				candidate.asked = d.askedAt
			}
			if oldest.at == nil || candidate.asked.Before(oldest.asked) {
				oldest = candidate
			}
		}
	}
	return oldest, oldest.at != nil
}

func (p *Placer) adapterDemand(f *fleet, model, adapter string) *demand {
	d := p.demand.models[f.name][model]
	if d == nil {
		return nil
	}
	return d.adapters[adapter]
}

// fillPlaces brings adapters that nobody asked for yet to places that are free, so that the first request finds
// them. Each adapter gets one place this way.
func (p *Placer) fillPlaces(now time.Time, f *fleet, b *book, out *Output) {
	for _, l := range b.loads {
		if f.models[l.model].Adapters > 0 {
			p.fillPlacesOf(now, f, l, out)
		}
	}
}

// fillPlacesOf does so for one model. What has no place yet changes with an order only.
func (p *Placer) fillPlacesOf(now time.Time, f *fleet, l *load, out *Output) {
	spec := f.models[l.model]
	name := l.unplaced(spec.Adapters)
	for _, s := range l.sites {
		e := s.at
		if name == "" {
			return
		}
		if e.find(l.model) == nil || !p.quiet(now, e) || f.places(e) < 1 || f.room(e) < spec.AdapterMB {
			continue
		}
		if p.issue(now, f, e, Order{Model: l.model, Adapter: name, Reason: "a place is free"}, out) {
			name = l.unplaced(spec.Adapters)
		}
	}
}

// unplaced is the first adapter that has no place anywhere.
func (l *load) unplaced(count int) string {
	for i := 1; i <= count; i++ {
		name := "a" + strconv.Itoa(i)
		if l.adapterPlaces(name) == 0 {
			return name
		}
	}
	return ""
}

// adapterWorth is what the places that come with one copy more are worth a second.
func (p *Placer) adapterWorth(now time.Time, f *fleet, l *load, age time.Duration) float64 {
	inUse, rate := 0, 0.0
	for _, d := range l.demand.adapters {
		if now.Sub(d.askedAt) <= adapterHorizon {
			inUse++
			rate += d.slow.rate(age, slowTime)
		}
	}
	if inUse == 0 {
		return 0
	}
	places := f.engine.AdapterSlots * len(l.sites)
	more := min(inUse, places+f.engine.AdapterSlots) - min(inUse, places)
	return adapterLoss * rate * l.demand.worth * float64(more) / float64(inUse)
}
