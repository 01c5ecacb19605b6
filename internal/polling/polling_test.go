package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSettings draws any settings that the protocol allows.
func drawSettings(t *rapid.T) Settings {
	return Settings{Pushed: rapid.Bool().Draw(t, "pushed"), ListKnown: rapid.Bool().Draw(t, "known")}
}

func TestTimedOutCallIsRepeatedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p, chance := drawSettings(t), Planner{}, rapid.Float64Range(0, 1)
		call := p.Next(s, NoCall, 0)
		for range rapid.IntRange(0, 5).Draw(t, "answered") {
			call = p.Next(s, Answered, chance.Draw(t, "chance"))
		}
		informed := max(InformedAfterTimeout, call.Wait+InformedAfterWait)
		if call.Wait == 0 {
			informed = InformedAfterTimeout
		}
		next := p.Next(s, TimedOut, chance.Draw(t, "chance"))
		if next.OnRequest || next.Wait > 0 {
			t.Fatalf("after a timeout: %+v", next)
		}
		// The answer to a poll arrives within its timeout; half a second more allows for a busy machine.
		if answered := call.Timeout + next.Delay + 500*time.Millisecond; answered > informed {
			t.Fatalf("%+v, timed out, then %+v: answered after %v, platform assumes an informed courier after %v", call, next, answered, informed)
		}
	})
}

func TestPushedListIsRequestedFromTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p := drawSettings(t), Planner{}
		s.Pushed = true
		if call := p.Next(s, NoCall, 0); call.OnRequest || call.Delay > 0 || (call.Wait > 0) != s.ListKnown {
			t.Fatalf("first call: %+v", call)
		}
		for _, r := range rapid.SliceOf(rapid.SampledFrom([]Result{Answered, TimedOut, Failed})).Draw(t, "results") {
			if call := p.Next(s, r, rapid.Float64Range(0, 1).Draw(t, "chance")); call.OnRequest || call.Delay > maxBackoff {
				t.Fatalf("after %v: %+v", r, call)
			}
		}
	})
}

// If lists are not pushed, the call after a failure waits for the module's request. So does the call after a second
// consecutive timeout.
func TestCallsAfterFailuresWaitForTheModule(t *testing.T) {
	s := Settings{ListKnown: true}
	for name, results := range map[string][]Result{"failed": {Failed}, "timed out twice": {TimedOut, TimedOut}, "timed out, then failed": {TimedOut, Failed}} {
		p, call := Planner{}, Call{}
		for _, r := range results {
			call = p.Next(s, r, 0)
		}
		if !call.OnRequest {
			t.Errorf("%s: %+v", name, call)
		}
	}
	p := Planner{}
	if call := p.Next(s, NoCall, 0); !call.OnRequest {
		t.Errorf("first call: %+v", call)
	}
}
