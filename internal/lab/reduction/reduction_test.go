package reduction

import (
	"errors"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/emulator"
)

// testSpec returns a run with channel faults, restarts, a surge and discovery outages.
func testSpec() emulator.Spec {
	return emulator.Spec{
		Seed: 1, Couriers: 2, Rate: 20, Traffic: 32 * time.Second, Tenants: []string{"h"},
		Classes:       []emulator.ClassSpec{{Name: "c", Share: 1}},
		Channels:      []emulator.ChannelSpec{{Dest: 1, Floors: []string{"a"}}},
		ChannelFaults: make([]emulator.ChannelFault, 4), Restarts: []emulator.Restart{{Courier: 0}, {Courier: 1}},
		Hot: []emulator.HotSpot{{Dest: 1, For: 32 * time.Second, Factor: 2}}, DiscoveryOutages: make([]emulator.Interval, 2),
	}
}

// The rule of this test is broken by two messages together with the restart of the second courier. Minimize must remove
// everything else, and must respect the limit of runs.
func TestMinimizeKeepsOnlyTheCause(t *testing.T) {
	spec := testSpec()
	neededKeys := []string{"k000030", "k000031"}
	runs := 0
	breaksRule := func(s emulator.Spec) (bool, error) {
		runs++
		foundKeys := 0
		for _, arrival := range s.Plan() {
			if slices.Contains(neededKeys, arrival.Key) {
				foundKeys++
			}
		}
		return foundKeys == 2 && slices.ContainsFunc(s.Restarts, func(r emulator.Restart) bool { return r.Courier == 1 }), nil
	}
	minimized, steps, err := Minimize(spec, breaksRule, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if arrivals := minimized.Plan(); len(arrivals) != 2 || len(minimized.ChannelFaults)+len(minimized.Hot)+len(minimized.DiscoveryOutages) > 0 || len(minimized.Restarts) != 1 ||
		minimized.Traffic > 8*time.Second || len(steps) == 0 || runs > 200 {
		t.Fatalf("%d messages, %+v, after %d runs", len(arrivals), minimized, runs)
	}
	if stillBreaks, _ := breaksRule(minimized); !stillBreaks {
		t.Fatal("the minimized run does not break the rule")
	}
	runs = 0
	if _, _, err := Minimize(spec, breaksRule, 7); err != nil || runs != 7 {
		t.Fatalf("%d runs, want 7; %v", runs, err)
	}
	wantErr := errors.New("no courier")
	if _, _, err := Minimize(spec, func(emulator.Spec) (bool, error) { return false, wantErr }, 100); !errors.Is(err, wantErr) {
		t.Fatal(err)
	}
}
