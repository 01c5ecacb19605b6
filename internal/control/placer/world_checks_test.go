package placer

import (
	"fmt"
	"time"
)

// outcomes counts what clients got and what endpoints were ordered to do. A violation is a description, empty if there
// was none.
type outcomes struct {
	value, earnedValue       float64 // value of all requests, and the part of it that was earned
	requests, missed, late   int     // all requests, those never served, and those served after their latency target
	rareRequests, rareMissed int     // of classes that request rare models
	starved, models          int     // models and adapters that were never served, of those that were requested repeatedly
	loads, warmLoads         int     // model loads, and those of them from an endpoint's own disk
	orders, inspections      int
	rejected                 int    // rejected orders
	limitViolation           string // of LIMIT
	loadRateViolation        string // of CEILING
}

// earnedShare returns the earned value as a share of the value of all requests.
func (o outcomes) earnedShare() float64 { return o.earnedValue / o.value }

// countFirstToken counts what the request earns with its first token.
func (w *world) countFirstToken(req *request) {
	req.hasFirstToken = true
	took := w.now + tick - req.arrived
	name := w.shape.models[req.model].configuration.Name
	w.servedRequests[name]++
	w.servedRequests[name+"/"+req.adapter]++
	if took <= req.class.latencyTarget {
		w.outcomes.earnedValue += req.class.value
		return
	}
	w.outcomes.earnedValue += req.class.lateValue
	w.outcomes.late++
}

// checkMemory checks LIMIT at the start of a load of a model or an adapter.
func (w *world) checkMemory(e *worldEndpoint, order Order) {
	model := w.shape.models[w.byModel[order.Model]].configuration
	if order.Adapter == "" {
		if got := w.usedMemoryMB(e) + model.WeightsMB; got > w.shape.memoryMB {
			w.outcomes.limitViolation = fmt.Sprintf("%v: %s gets %+v: %v MB, want at most %v", w.now, e.id, order, got, w.shape.memoryMB)
		}
		return
	}
	adapters := 1
	for _, loaded := range e.models {
		adapters += len(loaded)
	}
	if got := w.usedMemoryMB(e) + model.AdapterSizeMB; adapters > w.shape.adapterSlots || got > w.shape.memoryMB {
		w.outcomes.limitViolation = fmt.Sprintf("%v: %s gets %+v: %d adapters and %v MB, want at most %d and %v",
			w.now, e.id, order, adapters, got, w.shape.adapterSlots, w.shape.memoryMB)
	}
}

// checkLoadRate checks CEILING at the start of a load from the store.
func (w *world) checkLoadRate() {
	limit := w.shape.loadsPerSecond*5*1.1 + 3
	count := 0
	for _, at := range w.loadStarts {
		if w.now-at <= 5*time.Second {
			count++
		}
	}
	if float64(count) > limit {
		w.outcomes.loadRateViolation = fmt.Sprintf("%v: %d loads began within 5 s, want at most %v", w.now, count, limit)
	}
}

// countUnfinished counts the requests that are still waiting as missed, and the models and adapters that were requested
// repeatedly but never served as starved.
func (w *world) countUnfinished() {
	w.outcomes.missed += len(w.waiting)
	for name, times := range w.requestTimes {
		if len(times) >= 4 && times[len(times)-1]-times[0] > 8*time.Second {
			w.outcomes.models++
			if w.servedRequests[name] == 0 {
				w.outcomes.starved++
			}
		}
	}
}
