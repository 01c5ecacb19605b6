package placer

import (
	"fmt"
	"time"
)

// outcomes count what clients got and what endpoints were ordered. Violations are described for people, empty if
// there is none.
type outcomes struct {
	value, earnedValue       float64 // of all requests, and what was earned of it
	requests, missed, late   int     // all, those never served, those served after their latency target
	rareRequests, rareMissed int     // of classes that ask for rare models
	starved, models          int     // models and adapters never served, of those asked for repeatedly
	loads, warmLoads         int     // of models; of those, from an endpoint's own disk
	orders, inspections      int
	rejected                 int    // orders
	limitViolation           string // of LIMIT
	loadRateViolation        string // of CEILING
}

// earnedShare is the value of the served requests, as a share of the value of all.
func (o outcomes) earnedShare() float64 { return o.earnedValue / o.value }

// countFirstToken counts what the request earns by its first token.
func (w *world) countFirstToken(c *request) {
	c.hasFirstToken = true
	took := w.now + tick - c.arrived
	name := w.shape.models[c.model].configuration.Name
	w.servedRequests[name]++
	w.servedRequests[name+"/"+c.adapter]++
	if took <= c.class.latencyTarget {
		w.outcomes.earnedValue += c.class.value
		return
	}
	w.outcomes.earnedValue += c.class.lateValue
	w.outcomes.late++
}

// checkMemory checks LIMIT at the beginning of a load of a model or an adapter.
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

// checkLoadRate checks CEILING at the beginning of a load from the store.
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

// countUnfinished counts the requests that still wait as missed, and the models that were asked for but never served.
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
