package shrink

import (
	"errors"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/emulator"
)

func day() emulator.Spec {
	return emulator.Spec{
		Seed: 1, Couriers: 2, Rate: 20, Traffic: 32 * time.Second, Tenants: []string{"h"},
		Classes:       []emulator.ClassSpec{{Name: "c", Share: 1}},
		Channels:      []emulator.ChannelSpec{{Dest: 1, Floors: []string{"a"}}},
		ChannelFaults: make([]emulator.ChannelFault, 4), Restarts: []emulator.Restart{{Courier: 0}, {Courier: 1}},
		Hot: []emulator.HotSpot{{Dest: 1, For: 32 * time.Second, Factor: 2}}, DiscoveryOutages: make([]emulator.Interval, 2),
	}
}

// What breaks the rule here is known: two messages and the restart of the second courier. All else goes.
func TestMinimize(t *testing.T) {
	d := day()
	two := []string{"k000030", "k000031"}
	n := 0
	breaks := func(s emulator.Spec) (bool, error) {
		n++
		found := 0
		for _, a := range s.Plan() {
			if slices.Contains(two, a.Key) {
				found++
			}
		}
		return found == 2 && slices.ContainsFunc(s.Restarts, func(r emulator.Restart) bool { return r.Courier == 1 }), nil
	}
	small, steps, err := Minimize(d, breaks, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if got := small.Plan(); len(got) != 2 || len(small.ChannelFaults)+len(small.Hot)+len(small.DiscoveryOutages) > 0 || len(small.Restarts) != 1 ||
		small.Traffic > 8*time.Second || len(steps) == 0 || n > 200 {
		t.Fatalf("%d messages, %+v, after %d plays", len(got), small, n)
	}
	if still, _ := breaks(small); !still {
		t.Fatal("the smaller day does not break it")
	}
	n = 0
	if _, _, err := Minimize(d, breaks, 7); err != nil || n != 7 {
		t.Fatalf("%d plays, want 7; %v", n, err)
	}
	wrong := errors.New("no courier")
	if _, _, err := Minimize(d, func(emulator.Spec) (bool, error) { return false, wrong }, 100); !errors.Is(err, wrong) {
		t.Fatal(err)
	}
}
