package quota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

const (
	holderCount = 15
	// requestsPerStep is how many requests for credit each holder receives in 10 ms if every client request needs one: 14,000 a
	// second at all holders together.
	requestsPerStep = 14000 / holderCount / 100
)

// BenchmarkStepAtSize measures one of 100 steps a second at one of 15 holders, which receives its part of the routers' requests
// for credit, one for each client request. A record is written at once. The time includes drawing the requests.
func BenchmarkStepAtSize(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	configuration := sizetest.Configuration()
	names := make([]string, holderCount)
	owners := make([]string, shares.Count)
	for i := range names {
		names[i] = sizetest.RouterName(i)
	}
	for i := range owners {
		owners[i] = names[i%holderCount]
	}
	table, _ := shares.Table{}.Assign(shares.Assignment{Sequence: 1, Holders: names[:1], Owners: owners})
	now := testStart
	h := New(Config{Identity: names[0], Address: names[0], OvershootFraction: 0.1, OvershootSlack: 11000}, now, PersistedState{DiskEmpty: true})
	id := uint64(0)
	step := func() {
		now = now.Add(10 * time.Millisecond)
		in := Input{Configuration: configuration, Table: table, ConfirmedAt: now}
		for range requestsPerStep {
			id++
			tenant := configuration.Tenants[int(random.Float64()*random.Float64()*float64(len(configuration.Tenants)))].Name
			in.Events = append(in.Events, RouterRequestReceived{Connection: "r", Request: &protocol.CreditRequest{
				ID: id, Tenant: tenant, Amount: 1400, Waiting: 1400, Minimum: 1400,
			}})
		}
		out := h.Step(now, in)
		if out.Record != nil {
			h.Step(now, Input{Configuration: configuration, Table: table, ConfirmedAt: now, Events: []Event{
				RecordWritten{Sequence: out.Record.Sequence},
			}})
		}
	}
	for range 1000 {
		step()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}

// BenchmarkStepWithIdleTenants measures a step of a holder with 10,000 tenants, none of which has requested credit.
func BenchmarkStepWithIdleTenants(b *testing.B) {
	const idleTenants = 10000
	limits := make([]configuration.Tenant, idleTenants)
	for i := range limits {
		limits[i] = configuration.Tenant{Name: "idle-" + strconv.Itoa(i), RatePerSecond: 1000, Burst: 1000}
	}
	now := testStart
	h := New(Config{Identity: "a", Address: "a", OvershootFraction: 0.1}, now, PersistedState{DiskEmpty: true})
	in := Input{Configuration: &configuration.Configuration{Tenants: limits}, Table: tableOf("a")}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		in.ConfirmedAt = now
		h.Step(now, in)
	}
}
