package host

import (
	"fmt"
	"time"

	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

func (w *world) acknowledged(n int, answer registry.Reply) {
	call := w.asked[answer.RequestID]
	delete(w.asked, answer.RequestID)
	if call.state == protocol.Ready {
		return
	}
	if took := w.now.Sub(call.at); took > registry.QuorumConfirmTimeout+worldStep {
		w.fault("%s answered at %d after %v", call.endpoint.id, n, took)
	}
	if answer.Rejected {
		w.refused++
		call.endpoint.beatAt = w.now // it asks another
		if call.state == protocol.Departed {
			w.later(worldStep, 30*time.Millisecond, func() { w.sayLeft(call.endpoint) })
		}
		return
	}
	if w.instances[n].contact.Before(call.at) {
		w.fault("%s acknowledged at %d, without contact with a majority since it called", call.endpoint.id, n)
	}
	if !answer.InForce {
		w.unsettled++
		return
	}
	w.settled++
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

func (w *world) fault(format string, values ...any) {
	w.faults = append(w.faults, w.now.Format("05.000 ")+fmt.Sprintf(format, values...))
}

// agree checks that all instances and routers have what the endpoints are.
func (w *world) agree() {
	truth := make(map[string]protocol.EndpointState)
	for _, e := range w.endpoints {
		if !e.left && !e.crashed {
			truth[e.id] = e.state
		}
	}
	for _, i := range w.instances {
		w.compare(fmt.Sprintf("instance %d", i.number), truth, i.desk.Endpoints(w.now))
	}
	for _, r := range w.routers {
		var table []protocol.Endpoint
		for _, e := range r.table {
			table = append(table, e)
		}
		w.compare(fmt.Sprintf("router %d", r.number), truth, table)
	}
}

func (w *world) compare(who string, truth map[string]protocol.EndpointState, table []protocol.Endpoint) {
	found := make(map[string]bool)
	for _, e := range table {
		found[e.ID] = true
		if state, lives := truth[e.ID]; !lives || state != e.State {
			w.fault("%s has %s as %d, it is %d (lives: %v)", who, e.ID, e.State, state, lives)
		}
	}
	for id, state := range truth {
		if !found[id] {
			w.fault("%s lacks %s, which is %d", who, id, state)
		}
	}
}
