package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// settings of any deployment that the protocol allows.
func settings(t *rapid.T) Settings {
	return Settings{Pushed: rapid.Bool().Draw(t, "pushed"), Known: rapid.Bool().Draw(t, "known")}
}

func TestSilenceIsAskedAgainInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p, chance := settings(t), Plan{}, rapid.Float64Range(0, 1)
		call := p.Next(s, None, 0)
		for range rapid.IntRange(0, 5).Draw(t, "answered") {
			call = p.Next(s, Answered, chance.Draw(t, "chance"))
		}
		told := max(Told, call.Wait+ToldAfterWait)
		if call.Wait == 0 {
			told = Told
		}
		next := p.Next(s, Silent, chance.Draw(t, "chance"))
		if next.Asked || next.Wait > 0 {
			t.Fatalf("after silence: %+v", next)
		}
		// The answer to a poll comes within the time of one; half a second is for a busy machine.
		if at := call.Limit + next.After + 500*time.Millisecond; at > told {
			t.Fatalf("%+v, silent, then %+v: %v, counted as told after %v", call, next, at, told)
		}
	})
}

func TestPushedIsAskedFromTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p := settings(t), Plan{}
		s.Pushed = true
		if call := p.Next(s, None, 0); call.Asked || call.After > 0 || (call.Wait > 0) != s.Known {
			t.Fatalf("a new life's first call: %+v", call)
		}
		for _, r := range rapid.SliceOf(rapid.SampledFrom([]Result{Answered, Silent, Failed})).Draw(t, "results") {
			if call := p.Next(s, r, rapid.Float64Range(0, 1).Draw(t, "chance")); call.Asked || call.After > latest {
				t.Fatalf("after %v: %+v", r, call)
			}
		}
	})
}

// Where the module asks, it spaces what follows a failure; a second silence in a row is one.
func TestTheModuleSpacesFailures(t *testing.T) {
	s := Settings{Known: true}
	for name, results := range map[string][]Result{"failed": {Failed}, "silent twice": {Silent, Silent}, "silent, then failed": {Silent, Failed}} {
		p, call := Plan{}, Call{}
		for _, r := range results {
			call = p.Next(s, r, 0)
		}
		if !call.Asked {
			t.Errorf("%s: %+v", name, call)
		}
	}
	p := Plan{}
	if call := p.Next(s, None, 0); !call.Asked {
		t.Errorf("a new life: %+v", call)
	}
}
