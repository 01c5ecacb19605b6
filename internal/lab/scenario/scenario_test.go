package scenario

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"raventrestle/lab/scenarios"
)

// What is wrong with a scenario is told by file, line or field.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"faults nowhere":     {"about: \"x\"\nfaults: links: [{between: \"site:attic <-> others\", at_s: [1, 2], for_s: [1, 2], cut: true}]", "links.0.between"},
		"loss over TCP":      {"about: \"x\"\nfaults: links: [{between: \"courier -> discovery\", at_s: [1, 2], for_s: [1, 2], loss: [0.1, 0.1]}]", "field loss"},
		"no purpose":         {"couriers: 3", "field about"},
		"unknown field":      {"about: \"x\"\ntrafic_s: 5", "f.cue:2:1: field trafic_s: no such field"},
		"no such trouble":    {"about: \"x\"\ntroubles: [{mode: \"flood\", channels: 1, at_s: [1, 2], for_s: [1, 2]}]", "flood"},
		"too many channels":  {"about: \"x\"\ntroubles: [{mode: \"shut\", channels: 99, at_s: [1, 2], for_s: [1, 2]}]", "99 are struck, and there are 13"},
		"too many couriers":  {"about: \"x\"\nrestarts: [{how: \"kill\", couriers: 4, at_s: [1, 2]}]", "4 are struck, and there are 3"},
		"shares":             {"about: \"x\"\nhotels: {a: 0.5, b: 0.4}", "add up to 0.900"},
		"courier's settings": {"about: \"x\"\nsettings: {undeliverable: max_letters: -1}", "undeliverable.max_letters"},
		"class of no kind":   {"about: \"x\"\nchannels: {deputy: count: 2}", "no channels are of kind \"principal\""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.cue", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("got %v, want %s", err, c.want)
			}
		})
	}
}

// What a scenario gives takes the defaults' place and does not come on top.
func TestOwnClasses(t *testing.T) {
	s, err := Parse("f", []byte(`about: "x"
hotels: h: 1
classes: a: {allowed: "any", aim_s: 1, deadline_s: 3, worth: 1, late: 0.2, share: 1, service_ms: [20, 40]}
channels: plain: count: 4`))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 1 || len(s.Channels) != 1 || len(s.Hotels) != 1 || s.Channels["plain"].Endpoints != 2 {
		t.Fatalf("%+v", s)
	}
}

// Every scenario that comes with the program is valid, and a seed draws the same day each time,
// another seed another.
func TestScenariosDraw(t *testing.T) {
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil || len(entries) < 6 {
		t.Fatal(entries, err)
	}
	for _, e := range entries {
		text, err := scenarios.Files.ReadFile(e.Name())
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(e.Name(), text)
		if err != nil {
			t.Fatal(err)
		}
		day := func(seed uint64) string {
			d, err := s.Draw(seed)
			if err != nil {
				t.Fatal(err)
			}
			out, err := json.Marshal(d)
			if err != nil {
				t.Fatal(err)
			}
			return string(out)
		}
		if diff := cmp.Diff(day(7), day(7)); diff != "" {
			t.Errorf("%s: %s", e.Name(), diff)
		}
		if day(7) == day(8) {
			t.Errorf("%s: two seeds, one day", e.Name())
		}
	}
}

// Days hold what the scenario says: rates and times in their ranges, troubles for as many channels,
// every class with a channel to go to, and channels that can do what full load brings them.
func TestDrawnWithinRanges(t *testing.T) {
	s, err := Parse("f", []byte(`about: "x"
load: [0.5, 0.7]
troubles: [{mode: "shut", channels: 2, kind: "agent", at_s: [5, 9], for_s: [3, 4]}, {mode: "slow", channels: 1, busiest: true, at_s: [1, 1], for_s: [2, 2]}]
restarts: [{how: "rolling", couriers: 3, at_s: [4, 5]}]`))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		d, err := s.Draw(rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		if r := d.Rate / s.FullRate; r < 0.5 || r > 0.7 {
			t.Fatalf("load %v", r)
		}
		if len(d.Channels) != 13 || len(d.ChannelFaults) != 3 || len(d.Restarts) != 3 || d.CallSlots < 3 || d.MaxMessages < 16 {
			t.Fatalf("%+v", d)
		}
		heaviest, kinds := 0.0, map[int64]string{}
		for _, c := range d.Channels {
			kinds[c.Dest] = c.Kind
			heaviest = math.Max(heaviest, c.Weight)
			if c.Capacity < 1 || len(c.Floors) != 2 || c.Weight <= 0 {
				t.Fatalf("%+v", c)
			}
		}
		for _, x := range d.ChannelFaults[:2] {
			if kinds[x.Dest] != "agent" || x.At < 5*time.Second || x.At > 9*time.Second || x.For < 3*time.Second || x.For > 4*time.Second {
				t.Fatalf("%+v", x)
			}
		}
		if d.Channels[d.ChannelFaults[2].Dest-1].Weight != heaviest {
			t.Fatal("not the busiest")
		}
		for i := 1; i < 3; i++ {
			if d.Restarts[i].At < d.Restarts[i-1].At+d.Restarts[i-1].Down {
				t.Fatal("rolling, and two are down at once")
			}
		}
	})
}
