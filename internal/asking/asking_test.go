package asking

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// settings of any deployment that the protocol allows.
func settings(t *rapid.T) Settings {
	return Settings{Pushed: rapid.Bool().Draw(t, "pushed"), Within: time.Duration(rapid.IntRange(2000, 60000).Draw(t, "within")) * time.Millisecond,
		Couriers: rapid.IntRange(1, 400).Draw(t, "couriers"), Slots: rapid.IntRange(1, 40).Draw(t, "slots")}
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

func TestManyHoldNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p := settings(t), Plan{}
		s.Pushed = false
		p.Next(s, None, 0)
		call := p.Next(s, Answered, rapid.Float64Range(0, 1).Draw(t, "chance"))
		if held := time.Duration(s.Couriers) * call.Wait; s.Couriers > s.Slots && held > 0 {
			t.Fatalf("%d couriers hold discovery for %v", s.Couriers, held)
		} else if s.Couriers <= s.Slots && (call.Wait == 0 || call.After > 200*time.Millisecond) {
			t.Fatalf("few couriers: no watch that goes on: %+v", call)
		}
		if call.Wait == 0 && 2*call.After > s.Within {
			t.Fatalf("asked after %v, no second time within %v", call.After, s.Within)
		}
	})
	// The polls of a fleet are spread over their span, not in step: no tenth of it has over twice its part.
	s, spans := Settings{Within: 10 * time.Second, Couriers: 300, Slots: 5}, [10]int{}
	for i := range s.Couriers {
		p := Plan{}
		call := p.Next(s, Answered, float64(i)/float64(s.Couriers))
		spans[int((call.After-4*time.Second)/(100*time.Millisecond))]++
	}
	for i, n := range spans {
		if n > 2*s.Couriers/len(spans) {
			t.Errorf("%d of %d polls in span %d", n, s.Couriers, i)
		}
	}
}

func TestPushedIsAskedFromTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p := settings(t), Plan{}
		s.Pushed = true
		if call := p.Next(s, None, 0); call.Asked || call.After > 0 || call.Wait == 0 {
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
	s := Settings{Within: 10 * time.Second, Couriers: 3, Slots: 12}
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
