package raventrestle_test

import (
	"fmt"
	"time"

	"raventrestle"
)

// A minimal host carries out the actions in order and turns their results into events. Here every call is answered at
// once, and the clock has an arbitrary start.
func Example() {
	p, err := raventrestle.New(raventrestle.Settings{
		Forwarders: 1, MinBatchInterval: 5 * time.Millisecond, CallSlots: 4, MaxMessages: 20,
		Classes: []raventrestle.Class{{Name: "notice", SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Value: 1}},
		Kinds:   []raventrestle.DestinationKind{{MaxBatch: 1}}, Zones: []raventrestle.Zone{{Name: "here"}},
		ConnectTimeout: time.Second, IdleTimeout: 15 * time.Second, MaxAttempts: 6,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 40 * time.Second
	events := []raventrestle.Event{
		raventrestle.ListUpdate{Kind: raventrestle.ListCached, Entries: []raventrestle.Entry{{Target: "10.0.0.1:80", Dest: 7}}},
		raventrestle.Arrival{ID: "a", Dest: 7, Budget: 10 * time.Second},
		raventrestle.Arrival{ID: "b", Dest: 8, Budget: time.Second}, // no target is listed for it
	}
	var wake time.Duration // the earliest WakeAt not yet due, 0 if none
	for len(events) > 0 {
		var next []raventrestle.Event
		for _, a := range p.Step(now, events) {
			switch a := a.(type) {
			case raventrestle.Send:
				fmt.Println("send", a.ID, "to", a.Target)
				next = append(next, raventrestle.Outcome{
					ID: a.ID, Target: a.Target, Status: raventrestle.OK,
					Duration: 80 * time.Millisecond, Final: true,
				})
			case raventrestle.Refuse:
				fmt.Println("refuse", a.ID)
			case raventrestle.Fail:
				fmt.Println("fail", a.ID)
			case raventrestle.WakeAt:
				if wake == 0 || a.At < wake {
					wake = a.At
				}
			}
		}
		if len(next) == 0 && wake > 0 { // nothing else happens: advance the clock
			now, wake, next = wake, 0, append(next, raventrestle.Wake{})
		}
		events = next
	}
	// Output:
	// send a to 10.0.0.1:80
	// refuse b
}
