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

// An error of Parse names the field or the line with the fault, in one line of text.
func TestParseErrorsNameThePosition(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"fault at unknown site": {"about: \"x\"\nfaults: links: [{between: \"site:attic <-> others\", at_s: [1, 2], for_s: [1, 2], cut: true}]", "links.0.between"},
		"loss over TCP":         {"about: \"x\"\nfaults: links: [{between: \"courier -> discovery\", at_s: [1, 2], for_s: [1, 2], loss: [0.1, 0.1]}]", "field loss"},
		"no description":        {"couriers: 3", "field about"},
		"unknown field":         {"about: \"x\"\ntrafic_s: 5", "f.cue:2:1: field trafic_s: no such field"},
		"unknown fault mode":    {"about: \"x\"\ntroubles: [{mode: \"flood\", channels: 1, at_s: [1, 2], for_s: [1, 2]}]", "flood"},
		"too many channels":     {"about: \"x\"\ntroubles: [{mode: \"shut\", channels: 99, at_s: [1, 2], for_s: [1, 2]}]", "99 channels are affected, but there are only 13"},
		"too many couriers":     {"about: \"x\"\nrestarts: [{how: \"kill\", couriers: 4, at_s: [1, 2]}]", "4 couriers are affected, but there are only 3"},
		"shares below 1":        {"about: \"x\"\nhotels: {a: 0.5, b: 0.4}", "add up to 0.900"},
		"courier settings":      {"about: \"x\"\nsettings: {undeliverable: max_letters: -1}", "undeliverable.max_letters"},
		"unknown channel kind":  {"about: \"x\"\nchannels: {deputy: count: 2}", "no channels are of kind \"principal\""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.cue", []byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("got %v, want %s", err, test.want)
			}
		})
	}
}

// The classes, channels and tenants (hotels) of a scenario replace the defaults. They are not added to them.
func TestGivenMapsReplaceDefaults(t *testing.T) {
	s, err := Parse("f", []byte(`about: "x"
hotels: h: 1
classes: a: {allowed: "any", aim_s: 1, deadline_s: 3, worth: 1, late: 0.2, share: 1, service_ms: [20, 40]}
channels: plain: count: 4`))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 1 || len(s.Channels) != 1 || len(s.Tenants) != 1 || s.Channels["plain"].Endpoints != 2 {
		t.Fatalf("%+v", s)
	}
}

// Every built-in scenario is valid. The same seed generates the same run each time, and different seeds generate different
// runs.
func TestBuiltInScenariosAreValidAndReproducible(t *testing.T) {
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil || len(entries) < 6 {
		t.Fatal(entries, err)
	}
	for _, entry := range entries {
		text, err := scenarios.Files.ReadFile(entry.Name())
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(entry.Name(), text)
		if err != nil {
			t.Fatal(err)
		}
		specJSON := func(seed uint64) string {
			spec, err := s.Generate(seed)
			if err != nil {
				t.Fatal(err)
			}
			encoded, err := json.Marshal(spec)
			if err != nil {
				t.Fatal(err)
			}
			return string(encoded)
		}
		if diff := cmp.Diff(specJSON(7), specJSON(7)); diff != "" {
			t.Errorf("%s: %s", entry.Name(), diff)
		}
		if specJSON(7) == specJSON(8) {
			t.Errorf("%s: two seeds gave the same run", entry.Name())
		}
	}
}

// Generated runs match the scenario: the load and the times are within their ranges, faults affect the given number and
// kind of channels, every channel has capacity and a weight, and a rolling restart stops one courier at a time.
func TestGeneratedRunsRespectScenario(t *testing.T) {
	s, err := Parse("f", []byte(`about: "x"
load: [0.5, 0.7]
troubles: [{mode: "shut", channels: 2, kind: "agent", at_s: [5, 9], for_s: [3, 4]}, {mode: "slow", channels: 1, busiest: true, at_s: [1, 1], for_s: [2, 2]}]
restarts: [{how: "rolling", couriers: 3, at_s: [4, 5]}]`))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		spec, err := s.Generate(rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		if load := spec.Rate / s.FullRate; load < 0.5 || load > 0.7 {
			t.Fatalf("load %v", load)
		}
		if len(spec.Channels) != 13 || len(spec.ChannelFaults) != 3 || len(spec.Restarts) != 3 || spec.CallSlots < 3 || spec.MaxMessages < 16 {
			t.Fatalf("%+v", spec)
		}
		maxWeight, kindByDest := 0.0, map[int64]string{}
		for _, channel := range spec.Channels {
			kindByDest[channel.Dest] = channel.Kind
			maxWeight = math.Max(maxWeight, channel.Weight)
			if channel.Capacity < 1 || len(channel.Floors) != 2 || channel.Weight <= 0 {
				t.Fatalf("%+v", channel)
			}
		}
		for _, fault := range spec.ChannelFaults[:2] {
			if kindByDest[fault.Dest] != "agent" || fault.At < 5*time.Second || fault.At > 9*time.Second || fault.For < 3*time.Second || fault.For > 4*time.Second {
				t.Fatalf("%+v", fault)
			}
		}
		if spec.Channels[spec.ChannelFaults[2].Dest-1].Weight != maxWeight {
			t.Fatal("the fault does not affect the busiest channel")
		}
		for i := 1; i < 3; i++ {
			if spec.Restarts[i].At < spec.Restarts[i-1].At+spec.Restarts[i-1].Down {
				t.Fatal("a rolling restart has two couriers down at the same time")
			}
		}
	})
}
