package experiment

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const good = `about: "x"
scenarios: ["calm", "kills"]
seeds: count: 2
variants: {new: {}, alone: {virtual: true}, old: {courier: "old/raventrestle"}}
against: "old"
`

func TestParse(t *testing.T) {
	for name, c := range map[string]struct{ text, wrong string }{
		"good":             {good, ""},
		"no such side":     {good + "x: 1", "no such field"},
		"against nobody":   {strings.Replace(good, `"old"`, `"older"`, 1), `no variant is called "older" (there are: alone, new, old)`},
		"twice":            {strings.Replace(good, `"kills"`, `"calm"`, 1), `"calm" is there twice`},
		"virtual, program": {strings.Replace(good, "virtual: true", `virtual: true, courier: "x"`, 1), "no courier's program"},
		"bad settings":     {strings.Replace(good, "new: {}", "new: settings: undeliverable: keeep: true", 1), "keeep"},
		"no seeds":         {strings.Replace(good, "count: 2", "count: 0", 1), "seeds.count"},
	} {
		e, err := Parse("x.cue", []byte(c.text))
		if c.wrong == "" && err == nil {
			if diff := cmp.Diff([]string{"old", "alone", "new"}, e.Sides()); diff != "" {
				t.Error(diff)
			}
			continue
		}
		if err == nil || c.wrong == "" || !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%s: %v, want %q", name, err, c.wrong)
		}
	}
}

// Every side plays every day once, sides in turn.
func TestPlays(t *testing.T) {
	e, err := Parse("x.cue", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	virtual, real := e.Plays()
	wantVirtual := []Play{{"alone", "calm", 1}, {"alone", "calm", 2}, {"alone", "kills", 1}, {"alone", "kills", 2}}
	wantReal := []Play{
		{"old", "calm", 1},
		{"new", "calm", 1},
		{"old", "calm", 2},
		{"new", "calm", 2},
		{"old", "kills", 1},
		{"new", "kills", 1},
		{"old", "kills", 2},
		{"new", "kills", 2},
	}
	if diff := cmp.Diff(wantVirtual, virtual) + cmp.Diff(wantReal, real); diff != "" {
		t.Error(diff)
	}
}

func TestLeft(t *testing.T) {
	if Left(0, 9, time.Hour) != 0 || Left(4, 8, time.Minute) != 2*time.Minute || Left(4, 0, time.Minute) != 0 {
		t.Error("wrong")
	}
}
