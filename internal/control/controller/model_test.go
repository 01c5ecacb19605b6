package controller

import (
	"fmt"
	"time"

	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// acknowledged checks an answer to an endpoint by what the routers have.
func (w *world) acknowledged(n int, answer Answer) {
	ticket := answer.Caller.(uint64)
	call, waits := w.calls[ticket]
	if !waits {
		w.fault("call %d is answered at %d, but doesn't wait", ticket, n)
		return
	}
	delete(w.calls, ticket)
	if call.state == protocol.Ready {
		return
	}
	if waited := w.now.Sub(call.at); waited > registry.QuorumConfirmTimeout+worldStep {
		w.fault("%s answered at %d after %v", call.endpoint.id, n, waited)
	}
	if answer.Result.Rejected {
		w.rejected++
		call.endpoint.heartbeatAt = w.now // it calls another instance
		if call.state == protocol.Departed {
			w.later(worldStep, 30*time.Millisecond, func() { w.sendDeregistration(call.endpoint) })
		}
		return
	}
	if w.instances[n].contact.Before(call.at) {
		w.fault("%s acknowledged at %d, without contact with a majority since it called", call.endpoint.id, n)
	}
	if !answer.Result.InForce {
		w.notInForce++
		return
	}
	w.inForce++
	reach := map[int]bool{n: true}
	for _, address := range w.instances[n].reach {
		for _, other := range w.instances {
			if other.address == address {
				reach[other.number] = w.connected(n, other.number)
			}
		}
	}
	for _, r := range w.routers {
		if r.home < 0 || !reach[r.home] || r.next == 0 {
			continue // not connected, or its subscription has not been answered yet
		}
		if shown, present := r.table[call.endpoint.id]; present && shown.State != protocol.Draining {
			w.fault("%s acknowledged as %d at %d, but router %d at %d has it as %d",
				call.endpoint.id, call.state, n, r.number, r.home, shown.State)
		}
	}
}

// fault notes a broken rule.
func (w *world) fault(format string, values ...any) {
	w.faults = append(w.faults, w.now.Format("05.000 ")+fmt.Sprintf(format, values...))
}

// agree checks that all instances and routers have the endpoints as they are.
func (w *world) agree() {
	want := make(map[string]protocol.EndpointState)
	for _, e := range w.endpoints {
		if !e.left && !e.crashed {
			want[e.id] = e.state
		}
	}
	for _, i := range w.instances {
		w.compare(fmt.Sprintf("instance %d", i.number), want, i.controller.Endpoints(w.now))
	}
	for _, r := range w.routers {
		var table []protocol.Endpoint
		for _, e := range r.table {
			table = append(table, e)
		}
		w.compare(fmt.Sprintf("router %d", r.number), want, table)
	}
}

// compare checks one table by the state of the endpoints that exist.
func (w *world) compare(who string, want map[string]protocol.EndpointState, table []protocol.Endpoint) {
	found := make(map[string]bool)
	for _, e := range table {
		found[e.ID] = true
		if state, exists := want[e.ID]; !exists || state != e.State {
			w.fault("%s has %s as %d, want %d (exists: %v)", who, e.ID, e.State, state, exists)
		}
	}
	for id, state := range want {
		if !found[id] {
			w.fault("%s lacks %s, want it as %d", who, id, state)
		}
	}
}
