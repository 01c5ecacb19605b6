package raventrestle

import (
	"slices"
	"time"
)

// DestView is the state that the policy keeps of a destination, for operators' eyes.
type DestView struct {
	Dest          DestID        `json:"dest"`
	Held          int           `json:"held"`           // messages that wait here
	CallsInFlight int           `json:"out"`            // calls under way
	Degraded      bool          `json:"sick,omitempty"` // as of the last batch: it shares the slots of the sick
	Penalty       float64       `json:"setback"`        // by the monitor, in messages
	WaitRemaining time.Duration `json:"wait_ns"`        // what is left of a wait that it told
	Targets       []TargetView  `json:"targets"`        // in the order of their ids
}

// TargetView is the state that the policy keeps of a target.
type TargetView struct {
	Target              TargetID      `json:"target"`
	Ready               bool          `json:"ready"`  // by the list
	Health              string        `json:"health"` // open, half-open or slow start
	CallsInFlight       int           `json:"out"`
	ConsecutiveFailures int           `json:"fails,omitempty"` // in a row
	RateLimit           float64       `json:"pace,omitempty"`  // calls a second that its route may send, 0 while no limit is known
	WaitRemaining       time.Duration `json:"wait_ns"`         // what is left of a wait that its route told
	MeanLatency         time.Duration `json:"mean_ns"`         // of its answers' times
}

var healths = [...]string{open: "open", halfOpen: "half-open", ramp: "slow start"}

// UnavailableTargets is how many targets get no usual traffic now: held off after failures, in a wait that they told,
// or draining by the list. It changes nothing.
func (p *Policy) UnavailableTargets(now time.Duration) (n int) {
	for _, t := range p.targets {
		if !t.ready || t.health == halfOpen || t.r.until > now {
			n++
		}
	}
	return n
}

// View is the state that the policy keeps of all destinations, in the order of their numbers. It changes nothing.
func (p *Policy) View() []DestView {
	all := make([]DestView, 0, len(p.dests))
	for _, d := range p.dests {
		v := DestView{
			Dest: d.id, Held: len(d.held), CallsInFlight: len(d.out), Degraded: d.Degraded, Penalty: d.Penalty(), WaitRemaining: max(d.shared.until-p.now, 0),
			Targets: []TargetView{},
		}
		for _, t := range d.targets {
			v.Targets = append(v.Targets, TargetView{
				Target: t.id, Ready: t.ready, Health: healths[t.health], CallsInFlight: t.inFlight, ConsecutiveFailures: t.fails,
				RateLimit: t.r.rate, WaitRemaining: max(t.r.until-p.now, 0), MeanLatency: t.mean,
			})
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b DestView) int { return int(a.Dest - b.Dest) })
	return all
}
