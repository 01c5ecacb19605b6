package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

// newLargeDecider returns a router's decider at the size to design for: 2,900 endpoints, 1,100 models and 830
// routers.
func newLargeDecider() (*Decider, time.Time, []string) {
	const endpoints, models = 2900, 1100
	engine := &configuration.Engine{Slots: 64, KVTokens: 130000}
	config := &configuration.Configuration{
		Generation: 1,
		Services:   []configuration.Service{{Name: "lm", MaxConnections: 370, Engine: engine}},
	}
	names := make([]string, models)
	for i := range names {
		names[i] = fmt.Sprint("m", i)
		engine.Models = append(engine.Models, configuration.Model{Name: names[i], LoadTimeSeconds: 5})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var table []protocol.Endpoint
	for i := range endpoints {
		first := min(rng.IntN(models), rng.IntN(models), rng.IntN(models))
		table = append(table, modelEndpoint(fmt.Sprint("e", i), 1, names[first], names[i%models]))
	}
	d := New(Config{Seed: 1, Zone: "z", RouterCount: 830, RetryBudgetRatio: 0.2, RetryBudgetSlack: 56})
	now := time.Now()
	d.Step(now, []Input{ViewChanged{Configuration: config, Full: true, Endpoints: table, RouterCount: 830}})
	return d, now, names
}

// BenchmarkRequestAtSize sends requests, with about 50 in flight.
func BenchmarkRequestAtSize(b *testing.B) {
	d, now, names := newLargeDecider()
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	type call struct {
		id       RequestID
		endpoint string
	}
	var inFlight []call
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(50 * time.Millisecond)
		model := names[min(rng.IntN(len(names)), rng.IntN(len(names)), rng.IntN(len(names)))]
		r := Request{
			ID: RequestID(i + 1), Service: "lm", Model: model, PromptTokens: 1000, OutputTokens: 100,
			Retryable: true, MaxEndpoints: 2, LatencyTarget: now.Add(500 * time.Millisecond), Deadline: now.Add(15 * time.Second),
			PromptParts: []PromptPart{{Hash: uint64(rng.IntN(3)), Tokens: 200}, {Hash: uint64(rng.IntN(100)), Tokens: 100}},
		}
		for _, o := range d.Step(now, []Input{RequestArrived{r}}) {
			if o, ok := o.(Send); ok {
				inFlight = append(inFlight, call{o.ID, o.Endpoint})
			}
		}
		if len(inFlight) > 50 {
			d.Step(now, []Input{FirstByteReceived{ID: inFlight[40].id, Endpoint: inFlight[40].endpoint}})
			d.Step(now, []Input{AttemptFinished{ID: inFlight[0].id, Endpoint: inFlight[0].endpoint}})
			inFlight = inFlight[1:]
		}
	}
}

// BenchmarkTableAtSize applies an update of one endpoint.
func BenchmarkTableAtSize(b *testing.B) {
	d, now, names := newLargeDecider()
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		row := modelEndpoint(fmt.Sprint("e", i%2900), uint64(i+2), names[i%len(names)], names[(i+1)%len(names)])
		d.Step(now, []Input{ViewChanged{Endpoints: []protocol.Endpoint{row}}})
	}
}

// BenchmarkConfigurationAtSize applies a new configuration and a complete table, as after a switch to another control
// instance.
func BenchmarkConfigurationAtSize(b *testing.B) {
	d := New(Config{Seed: 1, Zone: "zone01", RouterCount: sizetest.Routers, RetryBudgetRatio: 0.2, RetryBudgetSlack: 56})
	now := time.Now()
	config, table := sizetest.Configuration(), sizetest.EndpointTable()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		next := *config
		d.Step(now, []Input{ViewChanged{Configuration: &next, Full: true, Endpoints: table, RouterCount: sizetest.Routers}})
	}
}

// BenchmarkMemoryAtSize measures the heap size of a router's tables.
func BenchmarkMemoryAtSize(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := New(Config{Seed: 1, Zone: "zone01", RouterCount: sizetest.Routers, RetryBudgetRatio: 0.2, RetryBudgetSlack: 56})
		d.Step(time.Now(), []Input{ViewChanged{
			Configuration: sizetest.Configuration(), Full: true,
			Endpoints: sizetest.EndpointTable(), RouterCount: sizetest.Routers,
		}})
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(d)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
}

// BenchmarkChargeNewRequest measures the quota's part of the decision about a request while enough credit is
// available.
func BenchmarkChargeNewRequest(b *testing.B) {
	d := New(Config{QuotaOvershootFraction: 0.1, QuotaOvershootSlack: 11000})
	d.configureTenants(testConfiguration().Tenants)
	t := d.tenants["t"]
	r := &request{Request: Request{Tenant: "t", Charge: 1400}}
	b.ReportAllocs()
	for b.Loop() {
		t.credits = append(t.credits[:0], credit{amount: 1e9, expiresAt: time.Hour})
		if !d.chargeNewRequest(r) {
			b.Fatal("not charged, want enough credit available")
		}
		d.emitCreditRequests()
	}
}
