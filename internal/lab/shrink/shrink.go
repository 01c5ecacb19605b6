// Package shrink makes a day that breaks a rule smaller while it still breaks it. It is pure but for
// the question that it is given.
package shrink

import (
	"slices"
	"time"

	"raventrestle/internal/emulator"
)

// Breaks plays a day and says whether it still breaks the rule.
type Breaks func(emulator.Spec) (bool, error)

// Step is one smaller day that was found.
type Step struct {
	What     string
	Messages int
}

// Minimize returns the smallest day that it finds within so many plays, and the steps to it: fewer
// troubles, restarts and outages first, then less time, then fewer messages. The day must break the
// rule as it is.
func Minimize(day emulator.Spec, breaks Breaks, plays int) (emulator.Spec, []Step, error) {
	m := &minimizer{day: day, breaks: breaks, plays: plays}
	for again := true; again && m.err == nil && m.plays > 0; {
		before := len(m.steps)
		m.drop("trouble", len(m.day.ChannelFaults), func(s *emulator.Spec, i int) { s.ChannelFaults = slices.Delete(slices.Clone(s.ChannelFaults), i, i+1) })
		m.drop("restart", len(m.day.Restarts), func(s *emulator.Spec, i int) { s.Restarts = slices.Delete(slices.Clone(s.Restarts), i, i+1) })
		m.drop("hot channel", len(m.day.Hot), func(s *emulator.Spec, i int) { s.Hot = slices.Delete(slices.Clone(s.Hot), i, i+1) })
		m.drop("outage of discovery", len(m.day.DiscoveryOutages), func(s *emulator.Spec, i int) {
			s.DiscoveryOutages = slices.Delete(slices.Clone(s.DiscoveryOutages), i, i+1)
		})
		m.shorten()
		m.messages()
		again = len(m.steps) > before
	}
	return m.day, m.steps, m.err
}

type minimizer struct {
	day    emulator.Spec
	breaks Breaks
	plays  int
	steps  []Step
	err    error
}

// try takes the smaller day if it still breaks the rule.
func (m *minimizer) try(what string, smaller emulator.Spec) bool {
	if m.err != nil || m.plays <= 0 {
		return false
	}
	m.plays--
	still, err := m.breaks(smaller)
	if m.err = err; err != nil || !still {
		return false
	}
	m.day = smaller
	m.steps = append(m.steps, Step{what, len(smaller.Plan())})
	return true
}

func (m *minimizer) drop(what string, n int, without func(*emulator.Spec, int)) {
	for i := n - 1; i >= 0; i-- {
		s := m.day
		without(&s, i)
		m.try("without a "+what, s)
	}
}

// shorten halves the traffic's time as long as that breaks the rule, then takes a quarter off.
func (m *minimizer) shorten() {
	for _, part := range []time.Duration{2, 4} {
		for {
			s := m.day
			s.Traffic -= s.Traffic / part
			if s.Traffic < time.Second || !m.try("shorter", s) {
				break
			}
		}
	}
}

// messages leaves out halves of the messages, then quarters, and so on, down to single ones.
func (m *minimizer) messages() {
	keys := func() []string {
		var all []string
		for _, a := range m.day.Plan() {
			all = append(all, a.Key)
		}
		return all
	}
	all := keys()
	for size := (len(all) + 1) / 2; size >= 1; size /= 2 {
		for from := 0; from < len(all); {
			s := m.day
			s.OnlyKeys = slices.Delete(slices.Clone(all), from, min(from+size, len(all)))
			if len(s.OnlyKeys) > 0 && m.try("fewer messages", s) {
				all = s.OnlyKeys
			} else {
				from += size
			}
		}
		if m.plays <= 0 || m.err != nil {
			return
		}
	}
}
