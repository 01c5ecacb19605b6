package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"text/tabwriter"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/lab/compare"
	"raventrestle/internal/lab/experiment"
	"raventrestle/internal/lab/scenario"
)

// Results are the days of an experiment that have been played, by side.
type Results map[string][]*Day

// RunExperiment plays an experiment's days into a folder, one below it for each side. Days that are
// there are not played again, so that one that was broken off goes on; another experiment's folder is
// refused. Base is the folder that files in the experiment are seen from. What has been played is
// returned beside any error.
func RunExperiment(ctx context.Context, e *experiment.Experiment, base, out string, progress io.Writer, o Options) (Results, error) {
	if err := claim(out, e); err != nil {
		return nil, err
	}
	scenarios := map[string]*scenario.Scenario{}
	for _, name := range e.Scenarios {
		s, err := Find(beside(base, name))
		if err != nil {
			if s, err = Find(name); err != nil {
				return nil, err
			}
		}
		scenarios[name] = s
	}
	results := Results{}
	play := func(plays []experiment.Play, atOnce int) error {
		var jobs []Job
		for _, p := range plays {
			jobs = append(jobs, job(e.Variants[p.Variant], scenarios[p.Scenario], p.Seed, base, filepath.Join(out, p.Variant), o))
		}
		days, err := PlayAll(ctx, jobs, atOnce, progress)
		for i, p := range plays {
			if days[i] != nil {
				results[p.Variant] = append(results[p.Variant], days[i])
			}
		}
		return err
	}
	virtual, real := e.Plays()
	side := e.SideBySide
	if side == 0 {
		side = max(runtime.NumCPU()-1, 1)
	}
	err := play(virtual, runtime.NumCPU())
	if err == nil {
		err = play(real, side)
	}
	return results, err
}

func beside(base, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(base, name)
}

func job(v experiment.Variant, s *scenario.Scenario, seed uint64, base, out string, o Options) Job {
	if v.Courier != "" {
		o.Program = beside(base, v.Courier)
	}
	if len(v.Settings) > 0 {
		other := *s
		other.Settings = v.Settings
		s = &other
	}
	return Job{s, seed, v.Virtual, out, o}
}

// claim writes the experiment into its folder, or holds it against the one that is there.
func claim(out string, e *experiment.Experiment) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	file := filepath.Join(out, "experiment.json")
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		if text, err = json.MarshalIndent(e, "", "  "); err != nil {
			return err
		}
		return os.WriteFile(file, text, 0o644)
	}
	if err != nil {
		return err
	}
	there := &experiment.Experiment{}
	if err := json.Unmarshal(text, there); err != nil {
		return fmt.Errorf("%s is no experiment: %w", file, err)
	}
	a, b := *there, *e
	a.SideBySide, b.SideBySide = 0, 0 // changes no day
	a.About, b.About = "", ""
	if b.Seeds.Count > a.Seeds.Count { // more days of the same kind
		a.Seeds.Count = b.Seeds.Count
	}
	if !cmp.Equal(plain(a), plain(b)) {
		return fmt.Errorf("%s holds another experiment: give this one a folder of its own", out)
	}
	return nil
}

// plain is the experiment as JSON would have it, whatever spaces its settings came with.
func plain(e experiment.Experiment) (x any) {
	text, err := json.Marshal(e)
	if err != nil || json.Unmarshal(text, &x) != nil {
		return nil
	}
	return x
}

// ResultsTable writes a line for each scenario and side, and how each side differs from the one that
// it is held against.
func ResultsTable(out io.Writer, e *experiment.Experiment, r Results) error {
	t := tabwriter.NewWriter(out, 0, 4, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, "| scenario\tside\tdays\tservice\tleast\tmost\tworst 10 s\tundeliverable\tdeferred\tviolations\tvoid\t")
	fmt.Fprintln(t, "|---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t")
	names := map[string]bool{}
	for _, days := range r {
		for _, d := range days {
			names[d.Scenario] = true
		}
	}
	order := slices.Sorted(maps.Keys(names))
	for _, name := range order {
		for _, side := range e.Sides() {
			n, sum, worst, least, most := 0, 0.0, 0.0, math.Inf(1), math.Inf(-1)
			failed, deferred, broken, void := 0, 0, 0, 0
			for _, d := range r[side] {
				switch {
				case d.Scenario != name:
					continue
				case d.Void != "":
					void++
					continue
				}
				f := d.Service.Score
				n, sum, worst, least, most = n+1, sum+f, worst+d.Service.WorstWindow, min(least, f), max(most, f)
				failed, deferred, broken = failed+d.Counts.Undeliverable, deferred+d.Counts.Deferred, broken+len(d.Violations)
			}
			if n == 0 {
				continue
			}
			fmt.Fprintf(t, "| %s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t\n", name, side, n, sum/float64(n), least, most, worst/float64(n),
				failed, deferred, broken, void)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, side := range e.Sides()[1:] {
		for _, name := range append(order, "") {
			word, err := Against(r[e.Against], r[side], name)
			switch {
			case errors.Is(err, compare.ErrFew):
				continue
			case err != nil:
				return err
			}
			where := name
			if name == "" {
				where = "all of them"
			}
			fmt.Fprintf(out, "%s against %s, %s: %s\n", side, e.Against, where, word)
		}
	}
	return nil
}

// Against pairs the days of both sides, of one scenario or of all, and says whether b is better than a.
func Against(a, b []*Day, name string) (string, error) {
	r, err := compare.Of(Pairs(a, b, name))
	if err != nil {
		return "", err
	}
	word := "better"
	switch {
	case r.Noise:
		word = "noise: nothing is shown"
	case r.Mean < 0:
		word = "worse"
	}
	return fmt.Sprintf("%d pairs: %+.4f, 95%% between %+.4f and %+.4f: %s", r.Pairs, r.Mean, r.Low, r.High, word), nil
}

// Pairs are the days that both sides have played and that are not void, of one scenario, or of all
// where name is "".
func Pairs(a, b []*Day, name string) (pairs []compare.Pair) {
	for _, d := range a {
		i := slices.IndexFunc(b, func(o *Day) bool { return o.Scenario == d.Scenario && o.Seed == d.Seed })
		if i < 0 || name != "" && d.Scenario != name || d.Void != "" || b[i].Void != "" {
			continue
		}
		pairs = append(pairs, compare.Pair{Scenario: d.Scenario, Seed: d.Seed, A: d.Service.Score, B: b[i].Service.Score})
	}
	return pairs
}
