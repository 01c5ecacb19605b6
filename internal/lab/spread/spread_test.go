package spread

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const busy = 0.1 // 6 of 60 endpoints

func play(t testing.TB, c Config) Result {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	if r.AgeWrong > 0 || r.Differ > 0 {
		t.Errorf("%+v: %d ages outside their bound, %d differences", c, r.AgeWrong, r.Differ)
	}
	return r
}

// The aim, in a short form: a fact at all others in 4 s at 10% loss, 5 KB/s a member.
func TestSpread(t *testing.T) {
	c := Config{Members: 300, Endpoints: 60, Busy: busy, Loss: 0.1, Tell: 8 * time.Second, After: 5 * time.Second, Seed: 1}
	r := play(t, c)
	if d, ok := r.At(0.99); !ok || d > 4*time.Second || r.Mean > 5000 || r.Dropped > 0 || r.Told < 30 {
		t.Errorf("missed the aim:\n%s\n%s", Header, r.Row(c))
	}
}

func TestSameRun(t *testing.T) {
	c := Config{Members: 8, Endpoints: 10, Busy: 0.5, Loss: 0.3, Tell: 5 * time.Second, After: 5 * time.Second, Seed: 3}
	if d := cmp.Diff(play(t, c), play(t, c)); d != "" {
		t.Error(d)
	}
}

// After any run with a cut, once telling has stopped, all hold the same.
func TestSameEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Members: rapid.IntRange(2, 9).Draw(t, "members"), Endpoints: rapid.IntRange(1, 12).Draw(t, "endpoints"),
			Busy: rapid.Float64Range(0, 1).Draw(t, "busy"), Loss: rapid.Float64Range(0, 0.4).Draw(t, "loss"),
			Seed: rapid.Uint64().Draw(t, "seed"), Tell: 12 * time.Second, CutAt: 2 * time.Second, CutFor: 10 * time.Second,
			After: 3 * time.Minute, TTL: 10 * time.Minute,
		}
		r, err := Run(c)
		if err != nil {
			t.Fatal(err)
		}
		if r.Equal < 0 || r.Differ > 0 || r.AgeWrong > 0 || r.Missed > 0 {
			t.Errorf("%+v: equal after %v, %d differences, %d ages wrong, %d missed", c, r.Equal, r.Differ, r.AgeWrong, r.Missed)
		}
	})
}

func TestCoordinator(t *testing.T) {
	c := Config{
		Members: 32, Endpoints: 60, Busy: busy, Loss: 0.1, Tell: 15 * time.Second, After: 10 * time.Second, Coordinator: true,
		CutAt: 5 * time.Second, CutFor: 5 * time.Second, Seed: 1,
	}
	r := play(t, c)
	if d, ok := r.At(1); !ok || d < 5*time.Second || r.Hub < 5*r.Mean {
		t.Errorf("a coordinator cut off for 5 s delays what is told meanwhile, and sends the most:\n%s\n%s hub %d", Header, r.Row(c), r.Hub)
	}
}

// TestTable prints the tables of docs/results/together.md, with RAVENTRESTLE_SPREAD set to the number of seconds of telling.
func TestTable(t *testing.T) {
	tell, err := time.ParseDuration(os.Getenv("RAVENTRESTLE_SPREAD"))
	if err != nil {
		t.Skip("RAVENTRESTLE_SPREAD is no duration, such as 60s")
	}
	base := Config{Endpoints: 60, Busy: busy, Tell: tell, After: 35 * time.Second, Seed: 1}
	type line struct {
		title string
		Config
	}
	var lines []line
	add := func(title string, change func(*Config)) {
		c := base
		change(&c)
		lines = append(lines, line{title, c})
	}
	for _, loss := range []float64{0, 0.1, 0.3} {
		for _, n := range []int{2, 8, 32, 100, 300} {
			add("gossip", func(c *Config) { c.Members, c.Loss = n, loss })
		}
	}
	for _, n := range []int{2, 8, 32, 100, 300} {
		add("cut", func(c *Config) {
			c.Members, c.Loss, c.TTL, c.Tell = n, 0.1, time.Hour, 20*time.Second
			c.CutAt, c.CutFor, c.After = 10*time.Second, 10*time.Second, 4*time.Minute
		})
		add("coordinator", func(c *Config) {
			c.Members, c.Loss, c.Coordinator, c.CutAt, c.CutFor = n, 0.1, true, tell/2, 5*time.Second
		})
	}
	for _, share := range []float64{1. / 60, 0.05, 0.2, 1. / 3, 1} {
		add("load", func(c *Config) { c.Members, c.Loss, c.Busy = 300, 0.1, share })
	}
	for _, passes := range []int{4, 8, 12} {
		add("passes", func(c *Config) { c.Members, c.Loss, c.Passes = 300, 0.1, passes })
	}
	for seed := range uint64(3) {
		add("seed", func(c *Config) { c.Members, c.Loss, c.Seed = 300, 0.1, seed+2 })
		add("seed", func(c *Config) { c.Members, c.Loss, c.Seed, c.Busy = 300, 0.1, seed+1, 1./15 })
	}
	rows := make([]string, len(lines))
	t.Run("rows", func(t *testing.T) {
		for i, l := range lines {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				r := play(t, l.Config)
				rows[i] = fmt.Sprintf("| %s %s hub %d B/s, equal after %.1f s, busy %.2f, passes %d", l.title, r.Row(l.Config), r.Hub, r.Equal.Seconds(),
					l.Busy, l.Passes)
			})
		}
	})
	fmt.Println("| run " + Header)
	for _, r := range rows {
		fmt.Println(r)
	}
}
