package raventrestle

import (
	"slices"
	"time"
)

// DestView describes a destination to operators.
type DestView struct {
	Dest           DestID        `json:"dest"`
	QueuedMessages int           `json:"held"`           // messages that wait for a slot
	CallsInFlight  int           `json:"out"`            // calls in flight
	Degraded       bool          `json:"sick,omitempty"` // as of the last batch; see Policy.atSlotLimit
	Penalty        float64       `json:"setback"`        // by the monitor, in calls
	WaitRemaining  time.Duration `json:"wait_ns"`        // remaining retry-after time of the destination
	Targets        []TargetView  `json:"targets"`        // sorted by id
}

// TargetView describes a target to operators.
type TargetView struct {
	Target              TargetID      `json:"target"`
	Ready               bool          `json:"ready"`  // according to the list
	Health              string        `json:"health"` // open, half-open or slow start
	CallsInFlight       int           `json:"out"`
	ConsecutiveFailures int           `json:"fails,omitempty"`
	RateLimit           float64       `json:"pace,omitempty"` // calls per second that its route may send, 0 while no limit is known
	WaitRemaining       time.Duration `json:"wait_ns"`        // remaining retry-after time of its route
	MeanLatency         time.Duration `json:"mean_ns"`        // of its answers
}

var healthNames = [...]string{healthy: "open", halfOpen: "half-open", slowStart: "slow start"}

// UnavailableTargets returns the number of targets without normal traffic: half-open after failures, with a retry-after
// time that has not passed, or draining according to the list. It does not change the state.
func (p *Policy) UnavailableTargets(now time.Duration) (n int) {
	for _, t := range p.targets {
		if !t.ready || t.health == halfOpen || t.route.waitUntil > now {
			n++
		}
	}
	return n
}

// View describes all destinations, sorted by id. It does not change the state.
func (p *Policy) View() []DestView {
	views := make([]DestView, 0, len(p.destinations))
	for _, d := range p.destinations {
		view := DestView{
			Dest: d.id, QueuedMessages: len(d.queue), CallsInFlight: len(d.calls), Degraded: d.Degraded,
			Penalty: d.Penalty(), WaitRemaining: max(d.sharedRoute.waitUntil-p.now, 0),
			Targets: []TargetView{},
		}
		for _, t := range d.targets {
			view.Targets = append(view.Targets, TargetView{
				Target: t.id, Ready: t.ready, Health: healthNames[t.health], CallsInFlight: t.inFlight,
				ConsecutiveFailures: t.failuresInRow, RateLimit: t.route.rate, WaitRemaining: max(t.route.waitUntil-p.now, 0), MeanLatency: t.meanLatency,
			})
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b DestView) int { return int(a.Dest - b.Dest) })
	return views
}
