package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/goldentest"
)

// goldenScenario is a seeded sequence of inputs. Random choices depend only on the seed and on the decider's outputs.
type goldenScenario struct {
	name    string
	seed    uint64
	config  Config
	load    float64 // factor of the arrival rate
	faults  float64 // endpoint faults per second
	loads   float64 // orders to load or unload a model per second
	credit  bool    // credit requests are answered
	quota   float64 // factor of the tenants' limits
	length  time.Duration
	closing time.Duration // when the shutdown begins, 0: never
	partial bool          // after the shutdown has begun, every request is still admitted
	changes bool          // configuration and number of routers change during the run
	outage  time.Duration // when nearly all endpoints fail for a while, 0: never
	stale   float64       // models per second that endpoints lose without an update of the table
	rest    time.Duration // duration without arrivals, from restAfter on
}

// restAfter is when the time without arrivals begins.
const restAfter = 3 * time.Second

func goldenScenarios() []goldenScenario {
	normal := Config{
		Node: "r1", Incarnation: 7, Zone: "z1", Seed: 11, Slots: 80, RouterCount: 3, RetryBudgetRatio: 0.2, RetryBudgetSlack: 56,
		QuotaOvershootFraction: 0.1, QuotaOvershootSlack: 1100,
	}
	narrow := normal
	narrow.Slots, narrow.Seed, narrow.RetryBudgetSlack, narrow.RetryBudgetRatio = 9, 12, 4, 0.05
	other := Config{
		Node: "r2", Seed: 13, RetryBudgetRatio: 0.1, RetryBudgetSlack: 10, RetryBudgetWindow: 3 * time.Second,
		QuotaWindow: 2 * time.Second, QuotaOvershootFraction: 0.05, QuotaOvershootSlack: 300, MonitorPeriod: 100 * time.Millisecond,
		ReportInterval: 200 * time.Millisecond,
	}
	return []goldenScenario{
		{name: "quiet", seed: 1, config: normal, load: 0.4, loads: 0.3, credit: true, quota: 1, length: 12 * time.Second},
		{
			name: "faults", seed: 2, config: normal, load: 0.8, faults: 2, loads: 0.5, credit: true, quota: 2,
			length: 9 * time.Second, outage: 4 * time.Second,
		},
		{
			name: "overload", seed: 3, config: normal, load: 2.6, faults: 0.2, loads: 0.5, credit: true, quota: 5,
			length: 4 * time.Second,
		},
		{
			name: "stale-tables", seed: 13, config: normal, load: 0.8, faults: 0.2, loads: 1, credit: true, quota: 2,
			length: 8 * time.Second, stale: 3,
		},
		{name: "rest", seed: 14, config: normal, load: 0.6, faults: 0.3, loads: 0.3, quota: 2, length: 136 * time.Second, rest: 130 * time.Second},
		{
			name: "shutdown-early", seed: 15, config: normal, load: 0.8, loads: 0.5, credit: true, quota: 2,
			length: 3 * time.Second, closing: 20 * time.Millisecond,
		},
		{
			name: "few-slots", seed: 4, config: narrow, load: 1, faults: 1, loads: 0.4, credit: true, quota: 2,
			length: 6 * time.Second,
		},
		{
			name: "loads", seed: 5, config: normal, load: 0.7, faults: 0.5, loads: 4, credit: true, quota: 2,
			length: 9 * time.Second,
		},
		{
			name: "quota", seed: 6, config: normal, load: 1, loads: 0.2, credit: true, quota: 0.25, length: 7 * time.Second,
			changes: true,
		},
		{name: "ungranted", seed: 7, config: other, load: 0.8, faults: 0.6, loads: 0.5, quota: 0.5, length: 9 * time.Second, changes: true},
		{
			name: "shutdown", seed: 8, config: normal, load: 1.6, faults: 0.6, loads: 0.5, credit: true, quota: 2,
			length: 6 * time.Second, closing: 3 * time.Second,
		},
		{
			name: "shutdown-partial", seed: 9, config: other, load: 1.5, faults: 1, loads: 1, credit: true, quota: 1,
			length: 6 * time.Second, closing: 4 * time.Second, partial: true,
		},
		{
			name: "changes", seed: 10, config: other, load: 0.7, faults: 1.5, loads: 1.5, credit: true, quota: 1,
			length: 15 * time.Second, changes: true, outage: 7 * time.Second,
		},
	}
}

// goldenConfiguration returns the configuration after the given number of changes.
func goldenConfiguration(quota float64, changes int) *configuration.Configuration {
	c := &configuration.Configuration{
		Generation: int64(changes + 1),
		Services: []configuration.Service{
			{Name: "lm", MaxConnections: 90, Engine: &configuration.Engine{
				Slots: 12, KVTokens: 24000, TokensPerEvent: 2,
				Models: []configuration.Model{
					{Name: "m", LoadTimeSeconds: 0.9, AdapterCount: 3},
					{Name: "n", LoadTimeSeconds: 1.4},
					{Name: "rare", LoadTimeSeconds: 0.5, AdapterCount: 1},
				},
				WeightMemoryMB: 100, AdapterSlots: 8,
			}},
			{Name: "app", MaxConnections: 60},
			{Name: "bare"},
		},
		Tenants: []configuration.Tenant{
			{Name: "t", Unit: configuration.UnitTokens, RatePerSecond: 9000 * quota, Burst: 9000 * quota},
			{Name: "u", Unit: configuration.UnitTokens, RatePerSecond: 3700 * quota, Burst: 1900 * quota},
			{Name: "open"},
		},
	}
	switch changes {
	case 1:
		c.Services[0].MaxConnections = 24
		c.Services[1].MaxConnections = 0
		c.Services[0].Engine.Models[0].LoadTimeSeconds = 0
		c.Tenants[0].RatePerSecond *= 0.6
		c.Tenants = append(c.Tenants[:1:1], c.Tenants[2])
	case 2:
		c.Services = c.Services[:2]
		c.Services[0].Engine.KVTokens = 0
		c.Services[0].Engine.Slots = 7
		c.Tenants[1].Burst *= 1.9
	}
	return c
}

// TestDecisionsAreAsRecorded runs seeded sequences of inputs and compares all decisions and estimates of the decider
// with the records in testdata/golden. The records were written by the code that docs/results/leader-loss.md
// describes, in which routers request credit, but for the differences that docs/results/decisions.md lists. A
// difference is a change of behaviour. The records may be written again only if the change is intended.
func TestDecisionsAreAsRecorded(t *testing.T) {
	for _, s := range goldenScenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			goldentest.CompareLines(t, s.name, newGoldenRun(s).run())
		})
	}
}
