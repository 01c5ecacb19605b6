package lab

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"raventrestle"
	"raventrestle/internal/lab/simulation"
)

// repeater is the module with a fault: what may have run and is given up is sent once more instead.
type repeater struct{ simulation.Decider }

func (r repeater) Step(now time.Duration, in []raventrestle.Event) []raventrestle.Action {
	out := r.Decider.Step(now, in)
	for i, a := range out {
		f, failed := a.(raventrestle.Fail)
		if !failed {
			continue
		}
		for _, e := range in {
			if o, ok := e.(raventrestle.Outcome); ok && o.ID == f.ID {
				out[i] = raventrestle.Send{ID: f.ID, Target: o.Target, Timeout: time.Second}
			}
		}
	}
	return out
}

// A fault that shows in a day of some thousand messages is shrunk to a handful, which still breaks the
// rule when it is read from its file and played again; the module as it stands keeps the rule there.
func TestShrink(t *testing.T) {
	maker := func(n int, set raventrestle.Settings, seed uint64) (simulation.Decider, error) {
		inner, err := simulation.NewModule(n, set, seed)
		return repeater{inner}, err
	}
	s, err := Find("storm")
	if err != nil {
		t.Fatal(err)
	}
	s.TrafficDuration, s.CompletionTimeout = 30, 5
	d, err := PlayVirtual(s, 1, "", maker)
	if err != nil {
		t.Fatal(err)
	}
	o := ShrinkOptions{Rule: "allowance", Plays: 400, Maker: maker, Progress: io.Discard}
	small, err := Shrink(t.Context(), d, s, o, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(small.Day.Plan()); n > 20 || len(small.Day.ChannelFaults) > 3 {
		t.Errorf("%d of %d messages and %d troubles are left", n, d.Asked, len(small.Day.ChannelFaults))
	}
	text, err := json.Marshal(small)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "small.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := ReadSmall(file)
	if err != nil {
		t.Fatal(err)
	}
	if broken, err := again.Play(t.Context(), maker, Options{}); err != nil || len(broken) == 0 {
		t.Errorf("read from its file it breaks nothing: %v", err)
	}
	if broken, err := again.Play(t.Context(), nil, Options{}); err != nil || len(broken) > 0 {
		t.Errorf("the module as it stands breaks it too: %v %v", broken, err)
	}
	o.Maker = nil
	if _, err := Shrink(t.Context(), d, s, o, Options{}); !errors.Is(err, ErrNotBroken) {
		t.Errorf("a day that breaks nothing: %v", err)
	}
}
