package controller

import (
	"fmt"
	"time"

	"raventrestle/internal/protocol"
)

type endpoint struct {
	id          string
	address     string
	sequence    uint64
	state       protocol.EndpointState
	left        bool
	crashed     bool
	heartbeatAt time.Time
	load        int
}

// call is an endpoint's call at an instance.
type call struct {
	at       time.Time
	endpoint *endpoint
	instance int
	state    protocol.EndpointState
}

func (w *world) addEndpoint(address string) *endpoint {
	e := &endpoint{id: fmt.Sprintf("e%d", len(w.endpoints)), address: address, heartbeatAt: w.now}
	w.endpoints = append(w.endpoints, e)
	return e
}

// sendHeartbeats has endpoints call when their interval is over; some calls arrive very late.
func (w *world) sendHeartbeats() {
	for _, e := range w.endpoints {
		if e.crashed || e.left || w.now.Before(e.heartbeatAt) {
			continue
		}
		e.heartbeatAt = w.now.Add(worldHeartbeat)
		w.call(e)
	}
}

func (w *world) call(e *endpoint) {
	e.sequence++
	reported := protocol.Endpoint{
		ID: e.id, Service: "s", Address: e.address, State: e.state, Sequence: e.sequence,
		Slots: e.load,
	}
	maxDelay := 30 * time.Millisecond
	if !w.calm && w.random.IntN(10) == 0 {
		maxDelay = 3 * time.Second
	}
	w.later(worldStep, maxDelay, func() {
		w.tickets++
		n := w.random.IntN(len(w.instances))
		w.calls[w.tickets] = call{at: w.now, endpoint: e, instance: n, state: reported.State}
		w.step(n, HeartbeatReceived{Caller: w.tickets, Endpoint: reported})
	})
}

func (w *world) drain(e *endpoint) {
	if e.left || e.crashed || e.state == protocol.Draining {
		return
	}
	e.state = protocol.Draining
	w.call(e)
}

func (w *world) leave(e *endpoint) {
	if e.left || e.crashed {
		return
	}
	e.left = true
	w.later(worldStep, 30*time.Millisecond, func() { w.sendDeregistration(e) })
}

func (w *world) sendDeregistration(e *endpoint) {
	w.tickets++
	n := w.random.IntN(len(w.instances))
	w.calls[w.tickets] = call{at: w.now, endpoint: e, instance: n, state: protocol.Departed}
	w.step(n, DeregistrationReceived{Caller: w.tickets, ID: e.id})
}
