package placer

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// policy decides on the world's orders. It is the Placer, or a baseline to compare the Placer with.
type policy interface {
	Step(now time.Time, in Input) Output
}

// stepPolicy steps the policy every 100 ms and when an answer has arrived. Without a leader, answers and reports are lost.
func (w *world) stepPolicy() {
	if w.now < w.leaderlessUntil {
		w.results, w.inspections, w.reports = nil, nil, nil
		return
	}
	if w.policy == nil {
		w.policy = w.newPolicy(time.Second)
		w.configurationDue = true
	}
	if w.now%(100*time.Millisecond) != 0 && len(w.results)+len(w.inspections) == 0 {
		return
	}
	in := Input{Reports: w.reports, Results: w.results, Inspections: w.inspections}
	w.reports, w.results, w.inspections = nil, nil, nil
	if w.configurationDue {
		in.Configuration = w.shape.configuration()
		w.configurationDue = false
	}
	for id, registration := range w.table {
		switch sinceHeartbeat := w.now - w.heartbeatAt[id]; {
		case sinceHeartbeat > 6*time.Second:
			delete(w.table, id)
			continue
		case sinceHeartbeat > 2500*time.Millisecond:
			registration.State = protocol.Unresponsive
		}
		in.Endpoints = append(in.Endpoints, registration)
	}
	slices.SortFunc(in.Endpoints, func(a, b protocol.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	leader := w.policy
	out := leader.Step(w.epoch.Add(w.now), in)
	for _, order := range out.Orders {
		w.sendOrder(leader, order)
	}
	for _, id := range out.Inspect {
		w.inspect(leader, id)
	}
}

// inspect answers an inspection with a report that is some ticks old.
func (w *world) inspect(leader policy, id string) {
	w.outcomes.inspections++
	w.after(5*time.Millisecond, func() {
		answer := Inspection{Endpoint: id, Failed: true}
		for _, e := range w.endpoints {
			if e.id == id && e.up && len(e.reports) > 0 {
				answer = e.reports[max(0, len(e.reports)-6)]
			}
		}
		w.after(5*time.Millisecond, func() {
			if w.policy == leader {
				w.inspections = append(w.inspections, answer)
			}
		})
	})
}

// sendOrder delivers an order to its endpoint and returns the answer. Some orders and answers are lost or late.
func (w *world) sendOrder(leader policy, order Order) {
	w.outcomes.orders++
	disturbed := w.faults.orderLosses && w.random.IntN(33) == 0
	delay := 3 * time.Millisecond
	if disturbed && w.random.IntN(3) == 0 {
		delay = time.Duration(w.random.IntN(900)) * time.Millisecond
	}
	dropped := disturbed && w.random.IntN(2) == 0
	w.after(delay, func() {
		outcome := Unknown
		if !dropped {
			outcome = w.receiveOrder(order)
		}
		answerDelay := 3 * time.Millisecond
		if disturbed {
			outcome, answerDelay = Unknown, time.Second
		}
		w.after(answerDelay, func() {
			if w.policy == leader {
				w.results = append(w.results, Result{ID: order.ID, Outcome: outcome})
			}
		})
	})
}
