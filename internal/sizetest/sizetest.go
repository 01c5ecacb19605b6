// Package sizetest makes configurations, endpoint tables and reports of the size that the system is designed for, as input
// of benchmarks. docs/CAPACITY.md gives the plan, and what is assumed where the plan says nothing. The content is the same
// on each call.
package sizetest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// The sizes of the operators' plan.
const (
	Routers           = 830
	Endpoints         = 2900
	Models            = 1100
	Adapters          = 2200
	Zones             = 12
	Instances         = 15 // control instances
	RequestsPerSecond = 14000
	HeartbeatInterval = 1200 * time.Millisecond
	ReportsPerSecond  = 2 // by one router, while it has requests
	ChangesPerDay     = 14000
)

// Sizes that the plan leaves open.
const (
	Services          = 10 // with an engine
	Routes            = 300
	Tenants           = 200
	ModelsPerEndpoint = 3  // in its memory
	RowsPerReport     = 10 // models and adapters in one report
)

const (
	seed             = 830
	adaptersPerModel = 20
)

// Configuration returns one version.
func Configuration() *configuration.Configuration {
	c := &configuration.Configuration{
		Generation: 1,
		Limits: configuration.Limits{
			MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000,
			IdleTimeoutMS: 15000,
		},
	}
	for i := range Services {
		c.Services = append(c.Services, service(i))
	}
	for i := range Routes {
		c.Routes = append(c.Routes, configuration.Route{
			Name: fmt.Sprintf("route-%04d", i), Hostname: fmt.Sprintf("host%02d.example", i%50),
			PathPrefix: fmt.Sprintf("/path%04d/", i), Type: configuration.Streaming, TimeoutMS: 15000,
			LatencyTargetMS: 510, Priority: i % 2, Backend: ServiceName(i % Services), MaxAttempts: 2,
			SessionAffinity: true, Resumable: i%2 == 0, EventGapTargetMS: 250,
		})
	}
	for i := range Tenants {
		c.Tenants = append(c.Tenants, configuration.Tenant{
			Name: TenantName(i), APIKeys: []string{fmt.Sprintf("key-%018d", 2*i), fmt.Sprintf("key-%018d", 2*i+1)},
			Priority: 1, Unit: configuration.UnitTokens, DefaultTokens: 200, RatePerSecond: 30000, Burst: 30000,
		})
	}
	return c
}

func service(number int) configuration.Service {
	engine := &configuration.Engine{
		Slots: 64, KVTokens: 130518, KVBytesPerToken: 163840, LinkMbps: 130000, TokensPerEvent: 2,
		WeightMemoryMB: 180000, AdapterSlots: 8, LoadsPerSecond: 2.8,
	}
	for i := number; i < Models; i += Services {
		model := configuration.Model{Name: ModelName(i), WeightsMB: 58000, LoadTimeSeconds: 4.5, AdapterSizeMB: 66}
		if i < Adapters/adaptersPerModel {
			model.AdapterCount = adaptersPerModel
		}
		engine.Models = append(engine.Models, model)
	}
	return configuration.Service{
		Name: ServiceName(number), HealthCheck: "/healthz", MaxConnections: 370, Protocol: "h1",
		Engine: engine,
	}
}

// ServiceName names a service.
func ServiceName(number int) string { return fmt.Sprintf("service-%02d", number) }

// ModelName names a model; the lower its number, the higher the demand for it.
func ModelName(number int) string { return fmt.Sprintf("model-%06d", number) }

// TenantName names a tenant.
func TenantName(number int) string { return fmt.Sprintf("tenant-%04d", number) }

// EndpointID names an endpoint.
func EndpointID(number int) string { return fmt.Sprintf("i-%08x", number) }

// RouterName names a router.
func RouterName(number int) string {
	return fmt.Sprintf("edge-zone%02d-%d", number%Zones, number/Zones)
}

// Document returns Configuration as the operator sends it.
func Document() []byte {
	text, err := json.Marshal(Configuration())
	if err != nil {
		panic(err) // a struct of plain fields can always be encoded
	}
	return text
}

// EndpointTable returns all endpoints. Each model is at one endpoint or more, and models in demand are at many.
func EndpointTable() []protocol.Endpoint {
	random := rand.New(rand.NewPCG(seed, 0))
	table := make([]protocol.Endpoint, Endpoints)
	for i := range table {
		number := i % Services
		table[i] = protocol.Endpoint{
			ID: EndpointID(i), Service: ServiceName(number), Address: fmt.Sprintf("10.%d.%d.9:8080", i/250, i%250),
			Zone: fmt.Sprintf("zone%02d", i%Zones), SoftwareVersion: "v1", Slots: 64, Sequence: 1,
		}
		loaded := map[int]bool{i % Models: true}
		for len(loaded) < ModelsPerEndpoint {
			loaded[DrawModel(random)/Services*Services+number] = true
		}
		for model := range Models {
			if loaded[model] {
				table[i].Models = append(table[i].Models, protocol.LoadedModel{Name: ModelName(model), Generation: 1})
			}
		}
	}
	return table
}

// DrawModel draws the number of a model by its demand: most requests are for few models.
func DrawModel(random *rand.Rand) int {
	part := random.Float64()
	return int(part * part * part * float64(Models-1))
}

// Report returns one report of a router, which sends ReportsPerSecond of them.
func Report(random *rand.Rand, router int, sequence uint64) protocol.Report {
	report := protocol.Report{
		Node: RouterName(router), Incarnation: uint64(router) + 1, Sequence: sequence,
		Window: time.Second / ReportsPerSecond,
	}
	seen := map[int]bool{}
	for len(seen) < RowsPerReport {
		model := DrawModel(random)
		if seen[model] {
			continue
		}
		seen[model] = true
		report.Models = append(report.Models, protocol.ModelDemand{
			Service: ServiceName(model % Services),
			Model:   ModelName(model), Requests: 1, InFlight: 2, Tokens: 1400, Value: 9,
		})
	}
	return report
}
