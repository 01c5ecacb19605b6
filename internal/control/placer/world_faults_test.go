package placer

import "time"

// faultKinds selects the kinds of faults that a day has.
type faultKinds struct {
	bursts          bool // a class has more requests for some time
	crashes         bool // several endpoints crash together
	demandShifts    bool // demand moves between models
	leaderChanges   bool // a new policy takes over after some time without a policy
	orderLosses     bool // orders or their answers are lost or late
	rollingRestarts bool // two endpoints drain and restart, one after the other
}

// allFaults is a day with faults of every kind.
var allFaults = faultKinds{true, true, true, true, true, true}

// daySchedule contains the times of a day's faults and changes of demand, since the start of the simulation.
type daySchedule struct {
	demandScale     float64
	demandShifts    []time.Duration
	bursts          []burst
	crashes         []time.Duration
	leaderChanges   []time.Duration
	rollingRestarts []time.Duration
}

// burst is a period in which a class has more requests.
type burst struct {
	class    int // index in the shape
	from, to time.Duration
	factor   float64
}

// scheduleDay draws the day's faults and changes of demand.
func (w *world) scheduleDay() {
	r := w.random
	between := func(from, to float64) time.Duration {
		return w.trafficFrom + time.Duration((from+r.Float64()*(to-from))*float64(time.Second))
	}
	day := daySchedule{demandScale: 0.8 + 0.5*r.Float64()}
	if w.faults.demandShifts {
		day.demandShifts = []time.Duration{between(1, 2), between(12, 17), between(23, 25)}
	}
	if w.faults.bursts {
		for range 1 + r.IntN(2) {
			from := between(8, 24)
			day.bursts = append(day.bursts, burst{r.IntN(len(w.shape.classes)), from, from + 4500*time.Millisecond, 1.5 + r.Float64()})
		}
	}
	if w.faults.crashes {
		day.crashes = append(day.crashes, between(8, 22))
	}
	if w.faults.leaderChanges {
		day.leaderChanges = append(day.leaderChanges, between(3, 14), between(15, 28))
	}
	if w.faults.rollingRestarts && r.IntN(3) == 0 {
		day.rollingRestarts = append(day.rollingRestarts, between(2, 12))
	}
	w.schedule = day
}

// takeDue removes the first time if it has come, and reports whether it did.
func (w *world) takeDue(times *[]time.Duration) bool {
	if len(*times) == 0 || w.now < (*times)[0] {
		return false
	}
	*times = (*times)[1:]
	return true
}

// injectFaults starts the faults that are due, and restarts crashed endpoints.
func (w *world) injectFaults() {
	if w.takeDue(&w.schedule.crashes) {
		for range max(1, int(w.shape.crashShare*float64(len(w.endpoints)))) {
			w.crash(w.endpoints[w.random.IntN(len(w.endpoints))], time.Duration(3000+w.random.IntN(2000))*time.Millisecond)
		}
	}
	if w.takeDue(&w.schedule.leaderChanges) {
		w.policy = nil
		w.leaderlessUntil = w.now + time.Duration(1000+w.random.IntN(4000))*time.Millisecond
	}
	if w.takeDue(&w.schedule.rollingRestarts) {
		for i := range 2 {
			e := w.endpoints[(i*5+3)%len(w.endpoints)]
			w.after(time.Duration(i)*6*time.Second, func() {
				e.draining = true
				e.nextHeartbeat = w.now
				w.after(3*time.Second, func() { w.crash(e, 500*time.Millisecond) })
			})
		}
	}
	for _, e := range w.endpoints {
		if !e.up && w.now >= e.restartsAt {
			w.startEndpoint(e)
		}
	}
}

// crash stops an endpoint for the given time. Requests without a first token return to their routers; all others are
// lost.
func (w *world) crash(e *worldEndpoint, down time.Duration) {
	if !e.up {
		return
	}
	e.up = false
	e.restartsAt = w.now + down
	e.order = nil
	for _, req := range append(e.prefills, e.decodes...) {
		if !req.hasFirstToken {
			w.waiting = append(w.waiting, req)
		}
	}
	e.prefills, e.decodes = nil, nil
}
