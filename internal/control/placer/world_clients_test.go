package placer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/portablemath"
	"raventrestle/internal/protocol"
)

// request is one client's request, at a router or at an endpoint.
type request struct {
	class         *requestClass
	model         int    // index in the shape
	adapter       string // empty: none
	arrived       time.Duration
	router        int
	promptTokens  float64 // remaining for prefill
	outputTokens  float64 // remaining for decode
	hasFirstToken bool
}

// generateTraffic adds the requests that arrive in one tick.
func (w *world) generateTraffic() {
	shares := w.demandShares()
	for i := range w.shape.classes {
		class := &w.shape.classes[i]
		rate := class.rate * w.schedule.demandScale
		for _, b := range w.schedule.bursts {
			if b.class == i && w.now >= b.from && w.now < b.to {
				rate *= b.factor
			}
		}
		for n := w.poisson(rate * tick.Seconds()); n > 0; n-- {
			w.addRequest(class, shares)
		}
	}
}

// demandShares returns the share of the demand for each rotating model. During a shift, demand moves from each busy model
// to the next one.
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

// poisson draws from a Poisson distribution with Knuth's algorithm.
func (w *world) poisson(mean float64) int {
	limit, product := portablemath.Exp(-mean), w.random.Float64()
	n := 0
	for product > limit {
		n++
		product *= w.random.Float64()
	}
	return n
}

// addRequest adds a request from a client of the class.
func (w *world) addRequest(class *requestClass, shares []float64) {
	r := w.random
	model := 0
	if class.rare {
		model = w.shape.rotatingModels + int(float64(len(w.shape.models)-w.shape.rotatingModels)*skewedShare(r))
	} else {
		draw := r.Float64()
		for model < len(shares)-1 && draw >= shares[model] {
			draw -= shares[model]
			model++
		}
	}
	size := func(mean float64) float64 {
		return mean * portablemath.Exp(class.spread*r.NormFloat64()-class.spread*class.spread/2)
	}
	req := &request{
		class: class, model: model, arrived: w.now, router: r.IntN(w.shape.routers),
		promptTokens: math.Max(20, size(class.promptTokens)), outputTokens: math.Max(4, size(class.outputTokens)),
	}
	if count := w.shape.models[model].configuration.AdapterCount; count > 0 && r.Float64() < class.adapterShare {
		req.adapter = fmt.Sprintf("a%d", 1+int(float64(count)*skewedShare(r)))
	}
	name := w.shape.models[model].configuration.Name
	w.requestTimes[name] = append(w.requestTimes[name], w.now)
	if req.adapter != "" {
		w.requestTimes[name+"/"+req.adapter] = append(w.requestTimes[name+"/"+req.adapter], w.now)
	}
	w.outcomes.requests++
	w.outcomes.value += class.value
	if class.rare {
		w.outcomes.rareRequests++
	}
	row := w.demandRow(req)
	row.Requests++
	row.Tokens += int64(req.promptTokens + req.outputTokens)
	row.Value += int64(10 - class.priority)
	w.waiting = append(w.waiting, req)
}

// routeRequests sends waiting requests to endpoints that can run them, and drops requests past their deadline.
func (w *world) routeRequests() {
	kept := w.waiting[:0]
	for _, req := range w.waiting {
		if w.now-req.arrived > req.class.deadline {
			w.demandRow(req).Unserved++
			w.outcomes.missed++
			if req.class.rare {
				w.outcomes.rareMissed++
			}
			continue
		}
		if e := w.chooseEndpoint(req); e != nil {
			e.prefills = append(e.prefills, req)
			continue
		}
		kept = append(kept, req)
	}
	w.waiting = kept
}

// chooseEndpoint returns the endpoint with the least queued work that can run the request, nil if there is none.
func (w *world) chooseEndpoint(req *request) *worldEndpoint {
	name := w.shape.models[req.model].configuration.Name
	var best *worldEndpoint
	bestQueue := 0.0
	for _, e := range w.endpoints {
		adapters, loaded := e.models[name]
		if !e.up || e.draining || !loaded || (req.adapter != "" && !adapters[req.adapter]) {
			continue
		}
		if e.order != nil && e.order.order.Model == name &&
			(e.order.order.Adapter == "" || e.order.order.Adapter == req.adapter) {
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

// demandRow returns the row that counts the request in the next report of its router.
func (w *world) demandRow(req *request) *protocol.ModelDemand {
	key := [2]string{w.shape.models[req.model].configuration.Name, req.adapter}
	found := w.demandRows[req.router][key]
	if found == nil {
		found = &protocol.ModelDemand{Service: "lm", Model: key[0], Adapter: key[1]}
		w.demandRows[req.router][key] = found
	}
	return found
}

// sendReports sends the demand at each router every half second.
func (w *world) sendReports() {
	for i := range w.demandRows {
		if w.now < w.nextReport[i] {
			continue
		}
		w.nextReport[i] = w.now + 500*time.Millisecond
		node := fmt.Sprintf("r%d", i)
		w.reportSequence[node]++
		for _, req := range w.waiting {
			if req.router == i {
				w.demandRow(req).Queued++
			}
		}
		for _, e := range w.endpoints {
			for _, req := range append(slices.Clone(e.prefills), e.decodes...) {
				if req.router == i {
					w.demandRow(req).InFlight++
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

// skewedShare draws a number in [0, 1) that is more often small.
func skewedShare(r *rand.Rand) float64 {
	return portablemath.Exp(1.2 * portablemath.Log(r.Float64()))
}
