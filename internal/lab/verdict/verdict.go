// Package verdict turns what became of a run's messages into one figure of service, by the weights
// that the operators count by, so that runs compare. It is pure.
package verdict

import (
	"math"
	"time"
)

// Weights of the parts of the figure; they add up to 1.
const (
	Whole  = 0.4
	Worst  = 0.3 // the worst span of ten seconds
	Class  = 0.2 // the worst-served class
	Hotel  = 0.1 // the worst-served hotel, within its share
	Window = 10 * time.Second
)

// Message is what the verdict needs to know of one.
type Message struct {
	Class, Hotel  string
	Born          time.Duration // from the start of the traffic
	Took          time.Duration // to its delivery; negative if there was none
	Worth         float64
	Aim, Deadline time.Duration
	Late          float64 // share of the worth that is left at least, up to the deadline
}

// Earned is the worth that the message's delivery brought: in full within the aim, then half as much
// with each further aim, not under Late, nothing after the deadline.
func (m Message) Earned() float64 {
	switch {
	case m.Took < 0 || m.Took > m.Deadline:
		return 0
	case m.Took <= m.Aim:
		return m.Worth
	}
	return m.Worth * max(m.Late, math.Exp2(-float64(m.Took-m.Aim)/float64(m.Aim)))
}

// Service is the figure and its parts, each the worth delivered over the worth asked for.
type Service struct {
	Figure     float64            `json:"figure"`
	Whole      float64            `json:"whole"`
	Worst      float64            `json:"worst_10s"`
	WorstAt    time.Duration      `json:"worst_at_ns"`
	ByClass    map[string]float64 `json:"by_class"`
	ByHotel    map[string]float64 `json:"by_hotel"`
	WorstHotel string             `json:"worst_hotel"`
	WorstClass string             `json:"worst_class"`
}

type sum struct{ earned, asked float64 }

func (s sum) share() float64 {
	if s.asked == 0 {
		return 1
	}
	return s.earned / s.asked
}

// Of judges a run. Share is each hotel's part of the messages: what it sends beyond that does not
// count against its service.
func Of(all []Message, length time.Duration, share map[string]float64) Service {
	s := Service{ByClass: map[string]float64{}, ByHotel: map[string]float64{}, Worst: 1}
	var whole sum
	classes, hotels := map[string]sum{}, map[string]sum{}
	seconds := make([]sum, int(length/time.Second)+1)
	for _, m := range all {
		e := m.Earned()
		add := func(x sum) sum { return sum{x.earned + e, x.asked + m.Worth} }
		whole = add(whole)
		classes[m.Class], hotels[m.Hotel] = add(classes[m.Class]), add(hotels[m.Hotel])
		if i := int(m.Born / time.Second); i >= 0 && i < len(seconds) {
			seconds[i] = add(seconds[i])
		}
	}
	s.Whole = whole.share()
	span := int(Window / time.Second)
	for i := 0; i+span <= len(seconds) || i == 0; i++ {
		var w sum
		for _, x := range seconds[i:min(i+span, len(seconds))] {
			w = sum{w.earned + x.earned, w.asked + x.asked}
		}
		if w.asked > 0 && w.share() < s.Worst {
			s.Worst, s.WorstAt = w.share(), time.Duration(i)*time.Second
		}
	}
	worstClass, worstHotel := 1.0, 1.0
	for name, x := range classes {
		if s.ByClass[name] = x.share(); x.share() < worstClass || x.share() == worstClass && (s.WorstClass == "" || name < s.WorstClass) {
			worstClass, s.WorstClass = x.share(), name
		}
	}
	for name, x := range hotels {
		if most := share[name] * whole.asked; most > 0 && x.asked > most {
			x.asked = max(most, x.earned)
		}
		if s.ByHotel[name] = x.share(); x.share() < worstHotel || x.share() == worstHotel && (s.WorstHotel == "" || name < s.WorstHotel) {
			worstHotel, s.WorstHotel = x.share(), name
		}
	}
	s.Figure = Whole*s.Whole + Worst*s.Worst + Class*worstClass + Hotel*worstHotel
	return s
}
