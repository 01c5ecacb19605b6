package host

import (
	"fmt"
	"testing"
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// BenchmarkHeartbeat measures an unchanged heartbeat at an instance with many endpoints and routers.
func BenchmarkHeartbeat(b *testing.B) {
	const endpoints, routers = 2900, 55
	now := time.Unix(1000, 0)
	desk := NewDesk(registry.Config{
		Origin:    protocol.Origin{Address: "self", Incarnation: 1},
		Heartbeat: time.Second,
	}, now)
	for n := range routers {
		subscribed := distribution.Subscribed{
			Connection: distribution.ConnectionID(n + 1),
			Router:     protocol.Subscribe{Node: fmt.Sprint("r", n)},
		}
		desk.Step(now, News{Hub: []distribution.Input{subscribed}})
	}
	table := make([]protocol.Endpoint, endpoints)
	for n := range table {
		table[n] = protocol.Endpoint{
			ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprintf("10.0.0.1:%d", n),
			Models: []protocol.LoadedModel{{Name: "m", Generation: 1, Adapters: []string{"a1", "a2"}}},
		}
	}
	beat := func(n int) {
		table[n%endpoints].Sequence++
		desk.Step(now, News{Registry: []registry.Input{registry.Heartbeat{RequestID: 1, Endpoint: table[n%endpoints]}}})
	}
	for n := range endpoints {
		beat(n)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		beat(n)
	}
}
