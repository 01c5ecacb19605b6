package registry

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestMissingHeartbeatsMakeUnresponsiveThenEvicted(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.advance(3 * heartbeatInterval)
	x.wantState("e", protocol.Ready)
	x.advance(2 * time.Second)
	x.wantState("e", protocol.Unresponsive)
	x.heartbeat(report("e", 2, protocol.Ready))
	x.wantState("e", protocol.Ready)
	x.advance(evictionTimeout + 2*time.Second)
	x.wantState("e", protocol.Departed)
	x.heartbeat(report("e", 3, protocol.Ready))
	x.wantState("e", protocol.Ready)
}

func TestUnresponsiveDrainingEndpointStaysDraining(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Draining))
	x.advance(6 * time.Second)
	x.wantState("e", protocol.Draining)
}

func TestRouterReportsDecideOnUnresponsiveEndpoints(t *testing.T) {
	x := newTestRegistry(t)
	for _, id := range []string{"reached", "unreachable", "alive"} {
		x.heartbeat(report(id, 1, protocol.Ready))
	}
	for range 5 {
		x.advance(heartbeatInterval)
		x.heartbeat(report("alive", 9, protocol.Ready))
	}
	x.step(RouterReport{Unreachable: []string{"unreachable", "alive"}, Reached: []string{"reached"}})
	x.wantState("unreachable", protocol.Departed)
	x.wantState("alive", protocol.Ready)
	x.step(RouterReport{Unreachable: []string{"reached"}})
	x.wantState("reached", protocol.Unresponsive)
	for range 8 {
		x.advance(3 * time.Second)
		x.step(RouterReport{Reached: []string{"reached"}})
	}
	x.wantState("reached", protocol.Unresponsive)
}

// TestStalledInstanceEvictsNobody: a process that did not run received no heartbeats.
func TestStalledInstanceEvictsNobody(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.now = x.now.Add(30 * time.Second)
	x.step()
	x.wantState("e", protocol.Ready)
}
