package controller

import (
	"fmt"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// BenchmarkHeartbeat measures an unchanged heartbeat at an instance with many endpoints and routers.
func BenchmarkHeartbeat(b *testing.B) {
	const endpoints, routers = 2900, 55
	now := time.Unix(1000, 0)
	c := newTestController(now)
	for n := range routers {
		subscribe := &protocol.Subscribe{Node: fmt.Sprint("r", n)}
		c.Step(now, Input{Events: []Event{MessageReceived{Connection: n, Message: subscribe}}})
	}
	table := make([]protocol.Endpoint, endpoints)
	for n := range table {
		table[n] = protocol.Endpoint{
			ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprintf("10.0.0.1:%d", n),
			Models: []protocol.LoadedModel{{Name: "m", Generation: 1, Adapters: []string{"a1", "a2"}}},
		}
	}
	heartbeat := func(n int) {
		table[n%endpoints].Sequence++
		c.Step(now, Input{Events: []Event{HeartbeatReceived{Caller: n, Endpoint: table[n%endpoints]}}})
	}
	for n := range endpoints {
		heartbeat(n)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		heartbeat(n)
	}
}
