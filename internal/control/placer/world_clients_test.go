package placer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// request is one client's request, at a router or at an endpoint.
type request struct {
	class         *requestClass
	model         int    // place in the shape
	adapter       string // empty: none
	arrived       time.Duration
	router        int
	promptTokens  float64 // still to be read
	outputTokens  float64 // still to be put out
	hasFirstToken bool
}

// generateTraffic lets the tick's requests arrive.
func (w *world) generateTraffic() {
	shares := w.demandShares()
	for i := range w.shape.classes {
		c := &w.shape.classes[i]
		rate := c.rate * w.schedule.demandScale
		for _, b := range w.schedule.bursts {
			if b.class == i && w.now >= b.from && w.now < b.to {
				rate *= b.factor
			}
		}
		for n := w.poisson(rate * tick.Seconds()); n > 0; n-- {
			w.addRequest(c, shares)
		}
	}
}

// demandShares is the share of the demand for each rotating model: in a shift it moves from each busy model to the
// next.
func (w *world) demandShares() []float64 {
	weights := []float64{0.648, 0.352}
	shares := make([]float64, w.shape.rotatingModels)
	first, moved := 0, 0.0
	for _, at := range w.schedule.demandShifts {
		if w.now >= at+5500*time.Millisecond {
			first++
		} else if w.now >= at {
			moved = float64(w.now-at) / float64(5500*time.Millisecond)
		}
	}
	for i := range w.shape.busyModels {
		shares[(first+i)%len(shares)] += weights[i%2] * (1 - moved)
		shares[(first+1+i)%len(shares)] += weights[i%2] * moved
	}
	return shares
}

// poisson draws from a Poisson distribution (Knuth).
func (w *world) poisson(mean float64) int {
	limit, product := math.Exp(-mean), w.random.Float64()
	n := 0
	for product > limit {
		n++
		product *= w.random.Float64()
	}
	return n
}

// addRequest has a client of the class send a request.
func (w *world) addRequest(c *requestClass, shares []float64) {
	r := w.random
	model := 0
	if c.rare {
		model = w.shape.rotatingModels + int(float64(len(w.shape.models)-w.shape.rotatingModels)*math.Pow(r.Float64(), 1.2))
	} else {
		pick := r.Float64()
		for model < len(shares)-1 && pick >= shares[model] {
			pick -= shares[model]
			model++
		}
	}
	size := func(mean float64) float64 {
		return mean * math.Exp(c.spread*r.NormFloat64()-c.spread*c.spread/2)
	}
	request := &request{
		class: c, model: model, arrived: w.now, router: r.IntN(w.shape.routers),
		promptTokens: math.Max(20, size(c.promptTokens)), outputTokens: math.Max(4, size(c.outputTokens)),
	}
	if count := w.shape.models[model].configuration.AdapterCount; count > 0 && r.Float64() < c.adapterShare {
		request.adapter = fmt.Sprintf("a%d", 1+int(float64(count)*math.Pow(r.Float64(), 1.2)))
	}
	name := w.shape.models[model].configuration.Name
	w.requestTimes[name] = append(w.requestTimes[name], w.now)
	if request.adapter != "" {
		w.requestTimes[name+"/"+request.adapter] = append(w.requestTimes[name+"/"+request.adapter], w.now)
	}
	w.outcomes.requests++
	w.outcomes.value += c.value
	if c.rare {
		w.outcomes.rareRequests++
	}
	row := w.demandRow(request)
	row.Requests++
	row.Tokens += int64(request.promptTokens + request.outputTokens)
	row.Value += int64(10 - c.priority)
	w.waiting = append(w.waiting, request)
}

// routeRequests sends waiting requests to endpoints that can run them, and gives up those past their deadline.
func (w *world) routeRequests() {
	kept := w.waiting[:0]
	for _, c := range w.waiting {
		if w.now-c.arrived > c.class.deadline {
			w.demandRow(c).Unserved++
			w.outcomes.missed++
			if c.class.rare {
				w.outcomes.rareMissed++
			}
			continue
		}
		if e := w.chooseEndpoint(c); e != nil {
			e.prefills = append(e.prefills, c)
			continue
		}
		kept = append(kept, c)
	}
	w.waiting = kept
}

// chooseEndpoint returns the endpoint with the least queued work that can run the request, nil if there is none.
func (w *world) chooseEndpoint(c *request) *worldEndpoint {
	name := w.shape.models[c.model].configuration.Name
	var best *worldEndpoint
	bestQueue := 0.0
	for _, e := range w.endpoints {
		adapters, loaded := e.models[name]
		if !e.up || e.draining || !loaded || (c.adapter != "" && !adapters[c.adapter]) {
			continue
		}
		if e.order != nil && e.order.order.Model == name &&
			(e.order.order.Adapter == "" || e.order.order.Adapter == c.adapter) {
			continue
		}
		queued := 0.0
		for _, other := range e.prefills {
			queued += other.promptTokens
		}
		queued += 20 * float64(len(e.decodes))
		if len(e.prefills)+len(e.decodes) >= w.shape.slots {
			continue
		}
		if best == nil || queued < bestQueue {
			best, bestQueue = e, queued
		}
	}
	return best
}

// demandRow is the row of the next report of the request's router that counts the request.
func (w *world) demandRow(c *request) *protocol.ModelDemand {
	key := [2]string{w.shape.models[c.model].configuration.Name, c.adapter}
	found := w.demandRows[c.router][key]
	if found == nil {
		found = &protocol.ModelDemand{Service: "lm", Model: key[0], Adapter: key[1]}
		w.demandRows[c.router][key] = found
	}
	return found
}

// sendReports sends each router's demand every half second.
func (w *world) sendReports() {
	for i := range w.demandRows {
		if w.now < w.nextReport[i] {
			continue
		}
		w.nextReport[i] = w.now + 500*time.Millisecond
		node := fmt.Sprintf("r%d", i)
		w.reportSequence[node]++
		for _, c := range w.waiting {
			if c.router == i {
				w.demandRow(c).Queued++
			}
		}
		for _, e := range w.endpoints {
			for _, c := range append(slices.Clone(e.prefills), e.decodes...) {
				if c.router == i {
					w.demandRow(c).InFlight++
				}
			}
		}
		report := protocol.Report{Node: node, Sequence: w.reportSequence[node], Window: 500 * time.Millisecond}
		for _, key := range slices.SortedFunc(maps.Keys(w.demandRows[i]), compareDemandRows) {
			report.Models = append(report.Models, *w.demandRows[i][key])
		}
		w.demandRows[i] = map[[2]string]*protocol.ModelDemand{}
		w.after(20*time.Millisecond, func() { w.reports = append(w.reports, report) })
	}
}

func compareDemandRows(a, b [2]string) int {
	return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
}
