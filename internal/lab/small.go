package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"raventrestle/internal/emulator"
	"raventrestle/internal/lab/reduction"
	"raventrestle/internal/lab/scenario"
	"raventrestle/internal/lab/simulation"
)

// smallVersion goes into a small day's file.
const smallVersion = 1

// Small is a drawn day that breaks a rule, made small, with what it takes to play it again.
type Small struct {
	Version  int              `json:"version"`
	Scenario string           `json:"scenario"`
	Seed     uint64           `json:"seed"`
	Rule     string           `json:"rule"`
	Virtual  bool             `json:"virtual"`
	Steps    []reduction.Step `json:"steps"`
	Day      emulator.Spec    `json:"day"`
}

// ErrNotBroken says that a day that was to be shrunk keeps the rule when it is played again.
var ErrNotBroken = errors.New("played again, the day breaks no such rule")

// ShrinkOptions say how a day is made small.
type ShrinkOptions struct {
	Rule     string                    // by name; the first that the day broke where it is ""
	Plays    int                       // at most
	Tries    int                       // of each smaller day with real processes, which break a rule only sometimes
	Maker    simulation.DeciderFactory // nil for the module as it stands
	Progress io.Writer
}

// Shrink makes the day, which is the scenario's, smaller as long as it breaks the rule.
func Shrink(ctx context.Context, d *Day, s *scenario.Scenario, o ShrinkOptions, run Options) (*Small, error) {
	if len(d.Violations) == 0 {
		return nil, fmt.Errorf("%s, seed %d, broke no rule", d.Scenario, d.Seed)
	}
	spec, err := s.Generate(d.Seed)
	if err != nil {
		return nil, err
	}
	small := &Small{Version: smallVersion, Scenario: d.Scenario, Seed: d.Seed, Rule: o.Rule, Virtual: d.Virtual}
	if small.Rule == "" {
		small.Rule, _, _ = strings.Cut(d.Violations[0], ":")
	}
	breaks := func(day emulator.Spec) (bool, error) {
		for range max(o.Tries, 1) {
			if err := ctx.Err(); err != nil {
				return false, err
			}
			broken, err := small.play(ctx, day, o.Maker, run)
			if err != nil || len(broken) > 0 || small.Virtual {
				return len(broken) > 0, err
			}
		}
		return false, nil
	}
	if still, err := breaks(spec); err != nil {
		return nil, err
	} else if !still {
		return nil, fmt.Errorf("%s, seed %d, %q: %w", d.Scenario, d.Seed, small.Rule, ErrNotBroken)
	}
	n := len(spec.Plan())
	small.Day, small.Steps, err = reduction.Minimize(spec, func(day emulator.Spec) (bool, error) {
		still, err := breaks(day)
		if still {
			fmt.Fprintf(o.Progress, "%d of %d messages, %d troubles, %d restarts, %v\n", len(day.Plan()), n, len(day.ChannelFaults), len(day.Restarts), day.Traffic)
		}
		return still, err
	}, o.Plays)
	return small, err
}

// Play plays the small day once and returns how it broke its rule.
func (s *Small) Play(ctx context.Context, maker simulation.DeciderFactory, run Options) ([]emulator.Violation, error) {
	return s.play(ctx, s.Day, maker, run)
}

func (s *Small) play(ctx context.Context, day emulator.Spec, maker simulation.DeciderFactory, run Options) (broken []emulator.Violation, err error) {
	var all []emulator.Violation
	if s.Virtual {
		r, err := simulation.Play(day, simulation.DefaultDelays, maker)
		if err != nil {
			return nil, err
		}
		all = r.Ledger.Check(r.End)
	} else {
		if day.Dir, err = os.MkdirTemp(run.Dir, "rl"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(day.Dir)
		day.Program, day.Log = run.Program, run.Log
		day.Done = func(*emulator.Emulation) bool { return true }
		w, err := emulator.New(day)
		if err != nil {
			return nil, err
		}
		if err := errors.Join(w.Run(ctx), w.Close()); err != nil {
			return nil, err
		}
		all = w.Recorder.Check(time.Now())
	}
	for _, v := range all {
		if v.Rule == s.Rule {
			broken = append(broken, v)
		}
	}
	return broken, nil
}

// ReadSmall reads a small day's file. One of another version is refused.
func ReadSmall(path string) (*Small, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Small{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s is no small day: %w", path, err)
	}
	if s.Version != smallVersion || s.Rule == "" {
		return nil, fmt.Errorf("%s is no small day of version %d", path, smallVersion)
	}
	return s, nil
}
