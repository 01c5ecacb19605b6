package controller

import (
	"fmt"
	"time"

	"raventrestle/internal/protocol"
)

type router struct {
	number     int
	home       int // -1: not connected
	connection uint64
	next       uint64 // sequence expected
	table      map[string]protocol.Endpoint
	complete   bool // its table replaced an earlier one
	retryAt    time.Time
}

func (r *router) disconnect(now time.Time) {
	r.home = -1
	r.retryAt = now.Add(20 * time.Millisecond)
}

// toRouter keeps the order of a connection's messages: each arrives in the step after the one before.
func (w *world) toRouter(n int, message RouterMessage) {
	for _, r := range w.routers {
		if r.home != n || r.connection != message.Connection {
			continue
		}
		update, isUpdate := message.Message.(*protocol.Update)
		if !isUpdate {
			continue
		}
		connection := r.connection
		w.later(worldStep, worldStep+1, func() { w.update(r, connection, update) })
	}
}

func (w *world) update(r *router, connection uint64, update *protocol.Update) {
	if r.home < 0 || r.connection != connection {
		return
	}
	r.next++
	if update.Sequence != r.next {
		w.fault("router %d: update %d where %d was due", r.number, update.Sequence, r.next)
	}
	if update.Snapshot {
		clear(r.table)
		r.complete = true
	}
	for _, e := range update.Endpoints {
		if e.State == protocol.Departed {
			delete(r.table, e.ID)
			continue
		}
		r.table[e.ID] = e
	}
	home := r.home
	w.later(worldStep, 3*worldStep, func() {
		if r.home == home && r.connection == connection {
			confirm := &protocol.UpdateAck{Sequence: update.Sequence}
			w.step(home, MessageReceived{Connection: connection, Message: confirm})
		}
	})
}

func (w *world) subscribe() {
	for _, r := range w.routers {
		if r.home >= 0 || w.now.Before(r.retryAt) {
			continue
		}
		w.next++
		r.home = w.random.IntN(len(w.instances))
		r.connection, r.next = w.next, 0
		router := &protocol.Subscribe{Node: fmt.Sprintf("r%d", r.number), Incarnation: 1}
		w.step(r.home, MessageReceived{Connection: r.connection, Message: router})
	}
}

// move has a router leave its instance for another.
func (w *world) move(number int) {
	r := w.routers[number%len(w.routers)]
	if r.home < 0 {
		return
	}
	home, connection := r.home, r.connection
	r.disconnect(w.now)
	w.step(home, ConnectionClosed{Connection: connection})
}
