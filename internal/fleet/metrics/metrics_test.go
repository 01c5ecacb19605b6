package metrics

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"raventrestle/internal/fleet/members"
)

func TestCollectorCountsDrops(t *testing.T) {
	g, err := members.New(members.Config{Name: "a", Epoch: 1, Bind: netip.MustParseAddrPort("127.0.0.1:0")}, nil, rand.New(rand.NewPCG(1, 2)), slog.Default())
	if err != nil {
		t.Fatal(err)
	}
	g.Counters.Dropped[members.TooManyMembers].Add(3)
	reg := prometheus.NewPedanticRegistry()
	if err := reg.Register(Collector(g)); err != nil {
		t.Fatal(err)
	}
	all, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		for _, m := range f.Metric {
			if f.GetName() == "raventrestle_fleet_dropped_total" && m.Label[0].GetValue() == "full" && m.Counter.GetValue() == 3 {
				return
			}
		}
	}
	t.Fatal("no series with the count of dropped input")
}
