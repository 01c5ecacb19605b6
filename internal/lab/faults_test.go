package lab

import (
	"log/slog"
	"testing"

	"raventrestle/internal/lab/scenario"
)

const faultyDay = `about: "a short day with a cut and a stopped courier"
traffic_s: 5
settle_s: 8
load: [0.5, 0.5]
full_rate: 30
couriers: 3
fleet: true
classes: {
	a: {allowed: "any", aim_s: 1, deadline_s: 3, worth: 1, late: 0.2, share: 0.5, service_ms: [20, 40]}
	b: {allowed: "once", aim_s: 1, deadline_s: 3, worth: 3, late: 0.2, share: 0.5, service_ms: [20, 40]}
}
channels: plain: {count: 4, headroom: [3, 4]}
`

// A day with a cut of every kind of link and a stopped courier breaks no rule, and its faults were in force: the relays
// dropped packets, carried connections and knew who spoke. The same day without a fault goes by no relay.
func TestFaultyDay(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	t.Parallel()
	courier := program(t)
	for name, faults := range map[string]string{"faults": `faults: {
	links: [
		{between: "name:n0 <-> others", at_s: [1, 1], for_s: [1.5, 1.5], cut: true},
		{between: "courier -> courier", at_s: [3, 3], for_s: [1, 1], loss: [0.5, 0.5]},
	]
	processes: [{how: "stop", couriers: 1, at_s: [1.5, 1.5], for_s: [1, 1]}]
}`, "none": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse(name, []byte(faultyDay+faults))
			if err != nil {
				t.Fatal(err)
			}
			day, err := PlayDay(t.Context(), s, 1, "", Options{Program: courier, NoFleet: name == "none", Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			if len(day.Violations)+len(day.Failed) > 0 || day.Counts.Delivered == 0 || day.Counts.Lists == 0 {
				t.Fatalf("%+v", day)
			}
			if name == "none" {
				if day.Faulted != nil || day.Fleet {
					t.Fatalf("a day without faults has %+v, fleet %v", day.Faulted, day.Fleet)
				}
				return
			}
			f := day.Faulted
			if f.Links.Dropped == 0 || f.Links.Passed == 0 || f.Links.Connections == 0 || f.Unknown != 0 || len(f.Plan.Processes) != 1 {
				t.Errorf("the faults were not in force, or passed by the relays: %+v", f)
			}
		})
	}
}
