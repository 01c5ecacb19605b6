package systemsim

import (
	"fmt"
	"time"

	"raventrestle/internal/protocol"
)

// endpoint is a model server as the control plane sees it.
type endpoint struct {
	client
	id          string
	sequence    uint64
	state       protocol.EndpointState
	ended       bool // it sends no heartbeats any more
	attempts    int  // since the newest accepted call
	endingSince time.Duration
	since       time.Duration     // when it was started
	newestReady protocol.Endpoint // its newest heartbeat in state ready
}

func (w *World) addEndpoint() {
	number := len(w.endpoints)
	e := &endpoint{
		client: newClient(w, fmt.Sprintf("10.%d.2.%d:8080", number%zones, number), number%zones),
		id:     fmt.Sprintf("e%d", number),
		since:  w.Now(),
	}
	w.endpoints = append(w.endpoints, e)
	w.clients = append(w.clients, &e.client)
	w.After(w.between(0, heartbeatInterval), e.sendHeartbeat)
	w.After(w.between(4*time.Second, 25*time.Second), e.end)
}

// sendHeartbeat sends the endpoint's state, with attempts at other instances until one accepts it.
func (e *endpoint) sendHeartbeat() {
	if e.ended {
		return
	}
	w := e.world
	e.sequence++
	reported := protocol.Endpoint{
		ID: e.id, Service: "s", Address: e.address, Zone: zoneName(e.zone), State: e.state,
		Sequence: e.sequence, Slots: 4,
	}
	if reported.State == protocol.Ready {
		e.newestReady = reported
	}
	if w.oneIn(lateHeartbeatRatio) {
		e.sendLate(reported, w.between(minLateness, maxLateness))
	}
	to := e.target(e.attempts)
	e.attempts++
	ask := func(answer func(any)) { to.heartbeat(reported, answer) }
	w.network.call(&e.process, &to.process, callTimeout, ask, func(result any) {
		accepted, _ := result.(bool)
		switch {
		case e.ended:
		case accepted && reported.State == protocol.Draining:
			e.acknowledged()
		case accepted:
			e.attempts = 0
			if e.state == protocol.Draining {
				e.sendHeartbeat()
				return
			}
			w.After(heartbeatInterval, e.sendHeartbeat)
		default:
			w.After(w.between(minRetryBackoff, maxRetryBackoff), e.sendHeartbeat)
		}
	})
}

// sendLate has a copy of a heartbeat arrive later at any instance, whatever has become of the endpoint.
func (e *endpoint) sendLate(reported protocol.Endpoint, lateness time.Duration) {
	w := e.world
	w.After(lateness, func() {
		to := e.target(1)
		ask := func(answer func(any)) { to.heartbeat(reported, answer) }
		w.network.call(&e.process, &to.process, callTimeout, ask, func(any) {})
	})
}

// end ends the endpoint: it drains, or deregisters at once, or crashes. Another one takes its place.
func (e *endpoint) end() {
	w := e.world
	if w.finishing {
		return
	}
	e.endingSince = w.Now()
	w.After(w.between(0, 2*time.Second), w.addEndpoint)
	switch w.random.IntN(8) {
	case 0:
		e.ended = true
		w.tracef("%s crashes", e.id)
	case 1, 2:
		e.ended = true
		e.deregister()
	default:
		w.tracef("%s drains", e.id)
		e.state = protocol.Draining
		e.attempts = 0
		e.sendHeartbeat()
		w.After(drainTimeout, func() {
			if !e.ended {
				e.ended = true
				e.deregister()
			}
		})
	}
}

// acknowledged takes in that the drain is acknowledged: the endpoint goes on for a while and then deregisters.
func (e *endpoint) acknowledged() {
	w := e.world
	e.ended = true
	w.recordDrain(e)
	w.After(w.between(drainBound, drainBound+2*time.Second), e.deregister)
}

// deregister has the endpoint removed, with attempts until an instance acknowledges that.
func (e *endpoint) deregister() {
	w := e.world
	to := e.target(e.attempts)
	e.attempts++
	if w.oneIn(lateAtEndRatio) {
		e.sendLate(e.newestReady, w.between(0, maxLateness))
	}
	ask := func(answer func(any)) { to.deregister(e.id, answer) }
	w.network.call(&e.process, &to.process, callTimeout, ask, func(result any) {
		accepted, _ := result.(bool)
		switch {
		case accepted:
			w.recordDrain(e)
		case w.Now()-e.endingSince < 2*drainTimeout:
			w.After(w.between(minRetryBackoff, maxRetryBackoff), e.deregister)
		}
	})
}
