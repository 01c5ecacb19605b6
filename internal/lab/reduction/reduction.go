// Package reduction reduces a run that breaks a rule to a smaller run that still breaks it. It has no side effects other
// than those of the BreaksRule function, which plays the runs.
package reduction

import (
	"slices"
	"time"

	"raventrestle/internal/emulator"
)

// BreaksRule plays a run and reports whether it breaks the rule.
type BreaksRule func(emulator.Spec) (bool, error)

// Step describes a reduction that succeeded: what was changed and the number of messages that remained.
type Step struct {
	What     string
	Messages int
}

// Minimize returns the smallest run that it finds within maxRuns calls of breaksRule, and the steps that led to it. It
// first removes channel faults, restarts, surges and discovery outages, then shortens the traffic and then removes
// messages, and repeats this while it makes progress. The given run must break the rule.
func Minimize(spec emulator.Spec, breaksRule BreaksRule, maxRuns int) (emulator.Spec, []Step, error) {
	r := &reducer{spec: spec, breaksRule: breaksRule, remainingRuns: maxRuns}
	for reduced := true; reduced && r.err == nil && r.remainingRuns > 0; {
		stepsBefore := len(r.steps)
		r.removeEach("trouble", len(r.spec.ChannelFaults), func(s *emulator.Spec, i int) { s.ChannelFaults = slices.Delete(slices.Clone(s.ChannelFaults), i, i+1) })
		r.removeEach("restart", len(r.spec.Restarts), func(s *emulator.Spec, i int) { s.Restarts = slices.Delete(slices.Clone(s.Restarts), i, i+1) })
		r.removeEach("hot channel", len(r.spec.Hot), func(s *emulator.Spec, i int) { s.Hot = slices.Delete(slices.Clone(s.Hot), i, i+1) })
		r.removeEach("outage of discovery", len(r.spec.DiscoveryOutages), func(s *emulator.Spec, i int) {
			s.DiscoveryOutages = slices.Delete(slices.Clone(s.DiscoveryOutages), i, i+1)
		})
		r.shortenTraffic()
		r.removeMessages()
		reduced = len(r.steps) > stepsBefore
	}
	return r.spec, r.steps, r.err
}

// reducer is the state of one call of Minimize.
type reducer struct {
	spec          emulator.Spec
	breaksRule    BreaksRule
	remainingRuns int
	steps         []Step
	err           error
}

// keepIfBreaking replaces the current run by the reduced one if that still breaks the rule, and reports whether it did.
func (r *reducer) keepIfBreaking(change string, reducedSpec emulator.Spec) bool {
	if r.err != nil || r.remainingRuns <= 0 {
		return false
	}
	r.remainingRuns--
	stillBreaks, err := r.breaksRule(reducedSpec)
	if r.err = err; err != nil || !stillBreaks {
		return false
	}
	r.spec = reducedSpec
	r.steps = append(r.steps, Step{change, len(reducedSpec.Plan())})
	return true
}

// removeEach tries to remove each of count elements, the last one first.
func (r *reducer) removeEach(name string, count int, remove func(*emulator.Spec, int)) {
	for i := count - 1; i >= 0; i-- {
		spec := r.spec
		remove(&spec, i)
		r.keepIfBreaking("without a "+name, spec)
	}
}

// shortenTraffic halves the duration of the traffic while the run breaks the rule, then reduces it by a quarter in the same
// way. The duration stays at least one second.
func (r *reducer) shortenTraffic() {
	for _, divisor := range []time.Duration{2, 4} {
		for {
			spec := r.spec
			spec.Traffic -= spec.Traffic / divisor
			if spec.Traffic < time.Second || !r.keepIfBreaking("shorter", spec) {
				break
			}
		}
	}
}

// removeMessages tries to remove halves of the messages, then quarters and so on, down to single messages.
func (r *reducer) removeMessages() {
	plannedKeys := func() []string {
		var keys []string
		for _, arrival := range r.spec.Plan() {
			keys = append(keys, arrival.Key)
		}
		return keys
	}
	keys := plannedKeys()
	for size := (len(keys) + 1) / 2; size >= 1; size /= 2 {
		for start := 0; start < len(keys); {
			spec := r.spec
			spec.OnlyKeys = slices.Delete(slices.Clone(keys), start, min(start+size, len(keys)))
			if len(spec.OnlyKeys) > 0 && r.keepIfBreaking("fewer messages", spec) {
				keys = spec.OnlyKeys
			} else {
				start += size
			}
		}
		if r.remainingRuns <= 0 || r.err != nil {
			return
		}
	}
}
