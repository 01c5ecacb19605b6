package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// The files in testdata/golden were written by build 73ca247, before its names were changed: all grants for fixed
// sequences of inputs, with the full precision of their numbers. Today's allocator has to decide the same. The files
// are never written by a test.

// goldenCase is one sequence of inputs, drawn from its seed alone.
type goldenCase struct {
	name        string
	seed        uint64
	routers     int
	credits     bool // routers report their shortfall and the credit they have left
	observes    int  // steps before the allocator may grant
	pressing    bool // demand is far above the limits
	unreachable bool // one router is out of reach for a while, another ends
	restart     int  // the step in which the first router starts again; 0: never
	length      int  // steps
	configure   bool // limits, tenants and the number of routers change on the way
	options     Config
}

var goldenCases = []goldenCase{
	{
		name: "pushed", seed: 1, routers: 2, length: 440,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 11000, IdleBefore: time.Minute},
	},
	{
		name: "credits", seed: 2, routers: 2, length: 440, credits: true,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 11000, IdleBefore: time.Minute},
	},
	{
		name: "takeover-pressing", seed: 3, routers: 2, length: 440, credits: true, pressing: true, observes: 50,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 9000, IdleBefore: time.Second},
	},
	{
		name: "takeover-idle", seed: 4, routers: 2, length: 440, credits: true, observes: 50,
		options: Config{OvershootFraction: 0.05, OvershootSlack: 3000, IdleBefore: 500 * time.Millisecond, DeliveryTimeout: time.Second, Window: 6 * time.Second},
	},
	{
		name: "lost-router", seed: 5, routers: 2, length: 1050, restart: 400, credits: true, unreachable: true,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 11000, IdleBefore: time.Minute},
	},
	{
		name: "reconfigured", seed: 6, routers: 2, length: 440, credits: true, configure: true,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 11000, IdleBefore: time.Minute},
	},
	{
		name: "takeover-late", seed: 9, routers: 2, length: 440, credits: true, pressing: true, observes: 250,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 11000, IdleBefore: time.Second},
	},
	{
		name: "many-routers", seed: 7, routers: 7, length: 440, restart: 170, credits: true, unreachable: true, configure: true, observes: 30,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 20000, IdleBefore: 800 * time.Millisecond},
	},
	{
		name: "many-routers-pushed", seed: 8, routers: 5, length: 440, restart: 170, unreachable: true,
		options: Config{OvershootFraction: 0.2, OvershootSlack: 5000, IdleBefore: 2 * time.Second},
	},
}

const goldenStepTime = 50 * time.Millisecond

// goldenPlay generates the inputs of a case, step by step.
type goldenPlay struct {
	goldenCase
	random    *rand.Rand
	step      int
	now       time.Time
	ids       []Router
	sequences []uint64
	confirms  map[int][]Confirmation // by the step in which they arrive
	rates     []float64
}

func (g *goldenPlay) tenants(change int) *configuration.Configuration {
	c := &configuration.Configuration{Generation: int64(change + 1)}
	for i, rate := range g.rates {
		switch {
		case change == 1 && i == 0:
			rate *= 1.7
		case change == 1 && i == 1, change == 2 && i == 2:
			continue // removed
		}
		c.Tenants = append(c.Tenants, configuration.Tenant{
			Name: fmt.Sprintf("t%d", i), Unit: configuration.UnitTokens,
			RatePerSecond: rate, Burst: rate * 0.8,
		})
	}
	c.Tenants = append(c.Tenants, configuration.Tenant{Name: "unlimited"})
	return c
}

// connected returns the routers that are connected in this step.
func (g *goldenPlay) connected() []Router {
	var ids []Router
	for i, id := range g.ids {
		away := g.unreachable && i == 1 && g.step >= 130 && g.step < 230
		if away || g.unreachable && i == 2 && g.step >= 200 {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// input draws what is new in this step. What is drawn does not depend on what the allocator granted.
func (g *goldenPlay) input() Input {
	in := Input{ObserveOnly: g.step < g.observes, MinRouterCount: g.routers, Confirmations: g.confirms[g.step]}
	switch {
	case g.step == 0:
		in.Configuration = g.tenants(0)
	case g.configure && g.step == 150:
		in.Configuration = g.tenants(1)
	case g.configure && g.step == 260:
		in.Configuration = g.tenants(2)
	}
	if g.configure && g.step >= 100 && g.step < 200 {
		in.MinRouterCount = 0 // the number of connected routers
	}
	if g.restart > 0 && g.step == g.restart {
		g.ids[0].Incarnation++
		g.sequences[0] = 0
	}
	if !g.configure || g.step != 110 { // at which no router is connected
		in.Routers = g.connected()
	}
	for i := range g.ids {
		if urgent := g.random.IntN(25) == 0; (g.step+3*i)%10 != 0 && !urgent {
			continue
		}
		report := g.report(i)
		in.Reports = append(in.Reports, report)
		if g.random.IntN(12) == 0 {
			in.Reports = append(in.Reports, report) // repeated, must count once
		}
	}
	return in
}

func (g *goldenPlay) report(router int) protocol.Report {
	g.sequences[router]++
	report := protocol.Report{
		Node: g.ids[router].Node, Incarnation: g.ids[router].Incarnation,
		Sequence: g.sequences[router], Window: 500 * time.Millisecond,
	}
	for i, rate := range g.rates {
		demand := rate / float64(g.routers) * 0.5 * 1.6 * g.random.Float64()
		if g.pressing || g.step >= 300 && g.step < 360 && i == 0 {
			demand *= 4
		}
		if i == 1 && g.step >= 240 && g.step < 340 {
			demand = 0 // no demand for a while
		}
		grantedFraction := 0.6 + 0.4*g.random.Float64()
		if g.pressing {
			grantedFraction = 0.2 + 0.4*g.random.Float64()
		}
		row := protocol.TenantDemand{Tenant: fmt.Sprintf("t%d", i), Requested: demand, Admitted: demand * grantedFraction}
		hasShortfall, left := g.random.IntN(3) == 0, g.random.Float64()*2000
		if g.credits && hasShortfall && demand > 0 {
			row.Shortfall = 100 + 3000*g.random.Float64()
		}
		if g.credits {
			row.RemainingCredit = left
		}
		report.Tenants = append(report.Tenants, row)
	}
	report.Tenants = append(report.Tenants, protocol.TenantDemand{Tenant: "unknown", Requested: 5, Admitted: 5})
	return report
}

// goldenDecisions runs a case and returns every grant as a line of text.
func goldenDecisions(c goldenCase) []string {
	g := &goldenPlay{
		goldenCase: c, random: rand.New(rand.NewPCG(c.seed, 73)), now: time.Unix(1_000_000, 0),
		confirms: map[int][]Confirmation{}, rates: []float64{35285, 9100, 2600}, sequences: make([]uint64, c.routers),
	}
	begin := g.now
	for i := range c.routers {
		g.ids = append(g.ids, Router{Node: fmt.Sprintf("r%02d", i), Incarnation: uint64(i) + 1})
	}
	number := func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
	a := New(c.options)
	var lines []string
	for ; g.step < c.length; g.step++ {
		out := a.Step(g.now, g.input())
		lines = append(lines, fmt.Sprintf("%v wake %v grants %d", g.now.Sub(begin), out.WakeAt.Sub(g.now), len(out.Batches)))
		for _, grants := range out.Batches {
			lines = append(lines, fmt.Sprintf("to %s %d batch %d", grants.Node, grants.Incarnation, grants.ID))
			for _, grant := range grants.Grants {
				lines = append(lines, fmt.Sprintf("%s rate %s burst %s for %v credit %s", grant.Tenant, number(grant.RatePerSecond),
					number(grant.Burst), grant.TTL, number(grant.Credit)))
			}
			if late := g.random.IntN(10); late < 9 { // else it is lost
				at := g.step + 1 + late/3
				g.confirms[at] = append(g.confirms[at], Confirmation{Router: grants.Router, BatchID: grants.ID})
			}
		}
		g.now = g.now.Add(goldenStepTime)
	}
	return lines
}

// sameDecision compares two lines. Sums over three routers and more are made in the order of a map, so their last bits
// vary from run to run.
func sameDecision(got, want string, exact bool) bool {
	if got == want || exact {
		return got == want
	}
	left, right := strings.Fields(got), strings.Fields(want)
	if len(left) != len(right) {
		return false
	}
	for i := range left {
		if left[i] == right[i] {
			continue
		}
		x, errX := strconv.ParseFloat(left[i], 64)
		y, errY := strconv.ParseFloat(right[i], 64)
		if errX != nil || errY != nil || math.Abs(x-y) > 1e-9*math.Max(math.Abs(x), math.Abs(y)) {
			return false
		}
	}
	return true
}

func TestGoldenDecisions(t *testing.T) {
	for _, c := range goldenCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			content, err := os.ReadFile(filepath.Join("testdata", "golden", c.name+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			want := strings.Split(strings.TrimSpace(string(content)), "\n")
			got := goldenDecisions(c)
			exact := c.routers <= 2 && runtime.GOARCH == "amd64" // others may fuse a product and a sum
			for at := range min(len(got), len(want)) {
				if !sameDecision(got[at], want[at], exact) {
					t.Fatalf("line %d is %q, want %q", at+1, got[at], want[at])
				}
			}
			if len(got) != len(want) {
				t.Errorf("%d lines, want %d", len(got), len(want))
			}
		})
	}
}

// TestGoldenConstants has every number of the allocator in a list: where the decisions above hardly depend on one, it is
// still the same.
func TestGoldenConstants(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "golden", "constants.tsv"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, constant := range []struct {
		meaning string
		value   any
	}{
		{"window", DefaultWindow},
		{"delivery", DefaultDeliveryTimeout},
		{"credits: grant lasts", creditGrantTTL},
		{"no credits: grant lasts", rateGrantTTL},
		{"renewed after this part", renewFraction},
		{"report lag", reportLag},
		{"idle after", idleTimeout},
		{"demand averaged over", demandTimeConstant},
		{"span of the record", recordInterval},
		{"resent after this change", resendFraction},
		{"credits: rate of demand", creditRateFactor},
		{"no credits: rate of demand", rateDemandFactor},
		{"stock of demand", creditReserveWindow},
		{"stock is low below", lowReserveFraction},
		{"least stock in lacks", minReserveShortfalls},
		{"weight of a new lack", shortfallSmoothing},
		{"out of reach until ended", unreachableTimeout},
		{"stocks of what may be lent", maxReserveFraction},
		{"reserve", withheldFraction},
		{"depth of what is beyond", depthFraction},
		{"evenly divided depth", evenDepthFraction},
		{"between two grants", minSendInterval},
		{"wakes", wakeInterval},
		{"assumed spent before", assumedSpendingFactor},
		{"gathered at least", minObservationTime},
		{"pressing above", pressingDemandFactor},
		{"pressing, lacks on top", pressingShortfalls},
	} {
		fmt.Fprintf(&got, "%s\t%v\n", constant.meaning, constant.value)
	}
	if got.String() != string(content) {
		t.Errorf("the constants are\n%s, want\n%s", got.String(), content)
	}
}
