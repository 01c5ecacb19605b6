package dissemination

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const busyShare = 0.1 // 6 of 60 endpoints

func run(t testing.TB, c Config) Result {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	if r.InvalidAges > 0 || r.Differences > 0 {
		t.Errorf("%+v: %d ages outside the bounds, %d differences", c, r.InvalidAges, r.Differences)
	}
	return r
}

// A short run of the target: with 10% packet loss, 99% of the facts reach all members within 4 s, and a member sends at
// most 5 KB/s on average.
func TestDisseminationMeetsTarget(t *testing.T) {
	c := Config{Members: 300, Endpoints: 60, BusyShare: busyShare, PacketLoss: 0.1, LoadDuration: 8 * time.Second, TimeAfterLoad: 5 * time.Second, Seed: 1}
	r := run(t, c)
	if d, ok := r.DeliveryQuantile(0.99); !ok || d > 4*time.Second || r.MeanByteRate > 5000 || r.Dropped > 0 || r.Facts < 30 {
		t.Errorf("missed the target:\n%s\n%s", TableHeader, r.TableRow(c))
	}
}

func TestSameConfigGivesSameResult(t *testing.T) {
	c := Config{Members: 8, Endpoints: 10, BusyShare: 0.5, PacketLoss: 0.3, LoadDuration: 5 * time.Second, TimeAfterLoad: 5 * time.Second, Seed: 3}
	if d := cmp.Diff(run(t, c), run(t, c)); d != "" {
		t.Error(d)
	}
}

// After a partition and the end of the load, all members must store the same facts.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Members: rapid.IntRange(2, 9).Draw(t, "members"), Endpoints: rapid.IntRange(1, 12).Draw(t, "endpoints"),
			BusyShare: rapid.Float64Range(0, 1).Draw(t, "busy"), PacketLoss: rapid.Float64Range(0, 0.4).Draw(t, "loss"),
			Seed: rapid.Uint64().Draw(t, "seed"), LoadDuration: 12 * time.Second, PartitionStart: 2 * time.Second, PartitionDuration: 10 * time.Second,
			TimeAfterLoad: 3 * time.Minute, TTL: 10 * time.Minute,
		}
		r, err := Run(c)
		if err != nil {
			t.Fatal(err)
		}
		if r.ConvergenceTime < 0 || r.Differences > 0 || r.InvalidAges > 0 || r.Incomplete > 0 {
			t.Errorf("%+v: converged after %v, %d differences, %d invalid ages, %d incomplete facts", c, r.ConvergenceTime, r.Differences, r.InvalidAges, r.Incomplete)
		}
	})
}

func TestCoordinatorPartitionDelaysFacts(t *testing.T) {
	c := Config{
		Members: 32, Endpoints: 60, BusyShare: busyShare, PacketLoss: 0.1, LoadDuration: 15 * time.Second, TimeAfterLoad: 10 * time.Second, Coordinator: true,
		PartitionStart: 5 * time.Second, PartitionDuration: 5 * time.Second, Seed: 1,
	}
	r := run(t, c)
	if d, ok := r.DeliveryQuantile(1); !ok || d < 5*time.Second || r.CoordinatorByteRate < 5*r.MeanByteRate {
		t.Errorf("a coordinator partitioned for 5 s must delay the facts of that time and must send the most:\n%s\n%s coordinator %d B/s", TableHeader, r.TableRow(c), r.CoordinatorByteRate)
	}
}

// TestPrintResultTable prints the tables of docs/results/together.md. It only runs if RAVENTRESTLE_SPREAD is set to the
// duration of the load, such as 60s.
func TestPrintResultTable(t *testing.T) {
	loadDuration, err := time.ParseDuration(os.Getenv("RAVENTRESTLE_SPREAD"))
	if err != nil {
		t.Skip("RAVENTRESTLE_SPREAD is not set to a duration such as 60s")
	}
	base := Config{Endpoints: 60, BusyShare: busyShare, LoadDuration: loadDuration, TimeAfterLoad: 35 * time.Second, Seed: 1}
	type namedConfig struct {
		title string
		Config
	}
	var configs []namedConfig
	add := func(title string, change func(*Config)) {
		c := base
		change(&c)
		configs = append(configs, namedConfig{title, c})
	}
	for _, loss := range []float64{0, 0.1, 0.3} {
		for _, n := range []int{2, 8, 32, 100, 300} {
			add("gossip", func(c *Config) { c.Members, c.PacketLoss = n, loss })
		}
	}
	for _, n := range []int{2, 8, 32, 100, 300} {
		add("cut", func(c *Config) {
			c.Members, c.PacketLoss, c.TTL, c.LoadDuration = n, 0.1, time.Hour, 20*time.Second
			c.PartitionStart, c.PartitionDuration, c.TimeAfterLoad = 10*time.Second, 10*time.Second, 4*time.Minute
		})
		add("coordinator", func(c *Config) {
			c.Members, c.PacketLoss, c.Coordinator, c.PartitionStart, c.PartitionDuration = n, 0.1, true, loadDuration/2, 5*time.Second
		})
	}
	for _, share := range []float64{1. / 60, 0.05, 0.2, 1. / 3, 1} {
		add("load", func(c *Config) { c.Members, c.PacketLoss, c.BusyShare = 300, 0.1, share })
	}
	for _, maxSends := range []int{4, 8, 12} {
		add("passes", func(c *Config) { c.Members, c.PacketLoss, c.MaxSends = 300, 0.1, maxSends })
	}
	for seed := range uint64(3) {
		add("seed", func(c *Config) { c.Members, c.PacketLoss, c.Seed = 300, 0.1, seed+2 })
		add("seed", func(c *Config) { c.Members, c.PacketLoss, c.Seed, c.BusyShare = 300, 0.1, seed+1, 1./15 })
	}
	rows := make([]string, len(configs))
	t.Run("rows", func(t *testing.T) {
		for i, config := range configs {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				r := run(t, config.Config)
				rows[i] = fmt.Sprintf("| %s %s hub %d B/s, equal after %.1f s, busy %.2f, passes %d", config.title, r.TableRow(config.Config), r.CoordinatorByteRate, r.ConvergenceTime.Seconds(),
					config.BusyShare, config.MaxSends)
			})
		}
	})
	fmt.Println("| run " + TableHeader)
	for _, r := range rows {
		fmt.Println(r)
	}
}
