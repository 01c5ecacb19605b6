package dispatch

import (
	"slices"
	"sort"
	"time"

	"raventrestle/internal/protocol"
)

// Execution of the routers' outputs in the simulation, and checks of the invariants.

// step steps one router if it has inputs or its wake time has come.
func (w *simulation) step(i int) {
	d := w.routers[i]
	wake := d.NextWake()
	if len(w.inputs[i]) == 0 && (wake.IsZero() || wake.After(w.clock())) {
		return
	}
	inputs := w.inputs[i]
	w.inputs[i] = nil
	for _, o := range d.Step(w.clock(), inputs) {
		w.carryOut(i, o)
	}
	w.checkOrder(d)
}

func (w *simulation) carryOut(i int, o Output) {
	switch o := o.(type) {
	case Send:
		w.send(w.clients[i][o.ID], o)
	case Reject:
		if w.clients[i][o.ID].canceled {
			w.t.Fatalf("request %d rejected after its client disconnected, want no output", o.ID)
		}
		w.reject(w.clients[i][o.ID], o)
	case RequestCredit:
		w.answerCredit(i, o.Request)
	case Report:
		if w.orderedLoads != nil {
			w.placeOnDemand(o.Report)
		}
	case Abandon:
		c := w.clients[i][o.ID]
		if !c.request.Retryable || c.call == nil || c.call.begun {
			w.t.Fatalf("abandoned %+v, want only retryable requests without an answer", c.request)
		}
		c.call.server.drop(c.call)
		w.finishCall(c, ConnectionLost, true)
	}
}

func (w *simulation) serverOf(id string) *simulatedEndpoint {
	index := slices.IndexFunc(w.servers, func(s *simulatedEndpoint) bool { return s.row.ID == id })
	if index < 0 {
		w.t.Fatalf("sent to %s, want an endpoint that exists", id)
	}
	return w.servers[index]
}

func (w *simulation) send(c *simulatedClient, o Send) {
	s := w.serverOf(o.Endpoint)
	if s.drainNotifiedAt > 0 && s.drainNotifiedAt < w.now {
		w.t.Fatalf("sent to %s after it began to drain, want another endpoint", o.Endpoint)
	}
	if c.endCount > 0 || c.call != nil {
		w.t.Fatalf("request %d sent after its end or while in flight, want one attempt at a time", o.ID)
	}
	if len(c.executedOn) > 0 && !c.request.Retryable {
		w.t.Fatalf("request %d sent again after it may have executed, want it rejected", o.ID)
	}
	if len(c.executedOn) >= c.request.MaxEndpoints {
		w.t.Fatalf("request %d sent to another endpoint, want %d at most", o.ID, c.request.MaxEndpoints)
	}
	c.call = &simulatedCall{client: c, server: s}
	w.liveCalls = append(w.liveCalls, c.call)
	key := uint64(0)
	for _, p := range c.request.PromptParts {
		key = key*1000 + p.Hash
		c.call.prefixes = append(c.call.prefixes, promptPrefix{key, float64(p.Tokens)})
	}
	w.deliver(c, s, o.Priority)
}

// deliver makes the call arrive at its endpoint.
func (w *simulation) deliver(c *simulatedClient, s *simulatedEndpoint, priority int) {
	if w.disconnected[c.router] {
		c.executedOn[s.row.ID] = true
		c.deliveries++
		c.call.lostAt = w.now + 3*time.Second
		return
	}
	if s.condition == crashed || s.departed {
		w.finishCall(c, NotSent, true)
		return
	}
	if c.deliveries++; c.deliveries > 1 {
		w.retryTimes[c.request.Service] = append(w.retryTimes[c.request.Service], w.now)
	}
	switch {
	case s.condition == hung:
		c.executedOn[s.row.ID] = true
		c.call.lostAt = w.now + 3*time.Second
	case !s.serves(c.request.Model, c.request.Adapter):
		w.finishCall(c, Misdirected, true)
	case !s.accept(c.call, priority, w.now, w.rng):
		w.finishCall(c, Rejected, true)
	default:
		c.executedOn[s.row.ID] = true
		if c.deliveries == 1 {
			w.spent[c.request.Tenant] = append(w.spent[c.request.Tenant], spending{w.now, c.request.Charge})
		}
		if w.rng.Float64() < s.resetProbability {
			c.call.lostAt = w.now + 10*time.Millisecond
		}
	}
}

// answerCredit answers a credit request after a short delay; one answer in 30 is lost.
func (w *simulation) answerCredit(router int, request protocol.CreditRequest) {
	if w.creditUnanswered || w.rng.IntN(30) == 0 {
		return
	}
	grant := w.issuer.answer(w.now, w.routers[router].config, w.config.Tenants, request)
	delay := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
	w.delayedCredit = append(w.delayedCredit, delayedCredit{w.now + delay, router, grant})
}

func (w *simulation) reject(c *simulatedClient, o Reject) {
	if c.endCount > 0 || c.call != nil {
		w.t.Fatalf("request %d rejected after its end or while in flight, want one end", o.ID)
	}
	if o.Reason == TargetUnreachable && len(c.executedOn) == 0 && w.halfFree(&c.request) {
		w.rejectedWhileHalfFree++
	}
	c.kind.rejected++
	c.wasRejected = true
	c.reason = o.Reason
	c.rejectedAt, c.retryAfter = w.now, o.RetryAfter
	if c.request.ClientRetry {
		c.kind.rejectedTwice++
	}
	if len(c.executedOn) == 0 && !c.lastAttempt && o.RetryAfter > 0 {
		c.endCount++
		c.retried = true
		remaining := c.request.Deadline.Sub(w.clock())
		w.returningClients = append(w.returningClients, returningClient{w.now + min(o.RetryAfter, remaining/3), c})
		return
	}
	w.countEnd(c)
}

// halfFree reports whether less than half of the slots are in use at the endpoints that can serve the request, and no
// request waits there.
func (w *simulation) halfFree(r *Request) bool {
	used, slots := 0, 0
	for _, s := range w.servers {
		if s.engine != (r.Model != "") || !s.serves(r.Model, r.Adapter) || s.condition != healthy || s.row.State != protocol.Ready {
			continue
		}
		if len(s.queue) > 0 {
			return false
		}
		used += len(s.running)
		slots += s.row.Slots
	}
	return slots > 0 && 2*used < slots
}

// checkOrder checks that after a step no request that can be sent is left while slots are free.
func (w *simulation) checkOrder(d *Decider) {
	if e, found := d.schedule.Next(d.offerFlow); found {
		w.t.Fatalf("%s has a queued request that can be sent, want it sent", e.id)
	}
	if d.schedule.BusySlots > d.schedule.Slots {
		w.t.Fatalf("%d slots in use, want %d at most", d.schedule.BusySlots, d.schedule.Slots)
	}
}

// checkWindows checks the retry budget and the quotas, over all routers, in every window.
func (w *simulation) checkWindows() {
	for service, list := range w.retryTimes {
		arrivals := w.requestTimes[service]
		for i, from := range list {
			n := sort.Search(len(list), func(j int) bool { return list[j] > from+DefaultRetryBudgetWindow }) - i
			allowed := 0.2*float64(w.maxRequests(arrivals, from)) + 56
			if float64(n) > allowed {
				w.t.Fatalf("%s: %d retries from %v on, want %v at most", service, n, from, allowed)
			}
		}
	}
	for _, t := range w.config.Tenants {
		list := w.spent[t.Name]
		allowed := (t.RatePerSecond*DefaultQuotaWindow.Seconds()+t.Burst)*1.1 + 11000
		sum := 0.0
		for i, j := 0, 0; i < len(list); i++ {
			sum += list[i].charge
			for list[j].at < list[i].at-DefaultQuotaWindow {
				sum -= list[j].charge
				j++
			}
			if sum > allowed {
				w.t.Fatalf("tenant %s spent %v, want %v at most, until %v", t.Name, sum, allowed, list[i].at)
			}
		}
	}
}

// maxRequests returns the largest number of requests in the window that begins at the given time, the window before
// it, and the window that begins half a window earlier.
func (w *simulation) maxRequests(arrivals []time.Duration, from time.Duration) int {
	count := 0
	for _, back := range []time.Duration{0, DefaultRetryBudgetWindow / 2, DefaultRetryBudgetWindow} {
		low := sort.Search(len(arrivals), func(i int) bool { return arrivals[i] >= from-back })
		high := sort.Search(len(arrivals), func(i int) bool { return arrivals[i] > from-back+DefaultRetryBudgetWindow })
		count = max(count, high-low)
	}
	return count
}
