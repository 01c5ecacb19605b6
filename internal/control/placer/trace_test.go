package placer

import (
	"fmt"
	"testing"
	"time"
)

func TestTrace(t *testing.T) {
	for _, s := range []shape{walletFleet()} {
		w := newWorld(s, 1, troubles{shifts: true}, looking)
		lastLate, lastAsked, lastMissed := 0, 0, 0
		fmt.Println("shifts", w.plan.shifts, "scale", w.plan.scale)
		end := w.lead + w.shape.length
		for w.now < end {
			w.runUntil(w.now + time.Second)
			copies := map[string]int{}
			loading := ""
			for _, e := range w.engines {
				for name := range e.models {
					copies[name]++
				}
				if e.order != nil {
					loading += fmt.Sprintf(" %v%s", map[bool]string{true: "-", false: "+"}[e.order.order.Unload], e.order.order.Model+e.order.order.Adapter)
				}
			}
			p := w.decider.(*Placer)
			f := p.fleets["lm"]
			b := p.survey(w.epoch.Add(w.now), f)
			line := ""
			for i := range 5 {
				n := fmt.Sprintf("m%02d", i)
				l := b.by[n]
				line += fmt.Sprintf(" %d/%d(%.1f/s %.2f)", copies[n], len(l.sites), l.rate, l.level)
			}
			rare := 0
			for i := 5; i < len(s.models); i++ {
				if copies[fmt.Sprintf("m%02d", i)] > 0 {
					rare++
				}
			}
			q, d := 0, 0
			for _, e := range w.engines {
				q += len(e.prefills)
				d += len(e.decodes)
			}
			fmt.Printf("%2.0f share %.2f | %s | rare %d | held %d q %d d %d late %d/%d missed %d |%s\n", w.now.Seconds(), w.busyShare(), line, rare, len(w.held), q, d, w.stats.late-lastLate, w.stats.asked-lastAsked, w.stats.missed-lastMissed, loading)
			lastLate, lastAsked, lastMissed = w.stats.late, w.stats.asked, w.stats.missed
		}
	}
}
