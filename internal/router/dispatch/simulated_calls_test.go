package dispatch

import "time"

// serve advances the endpoints by one tick.
func (w *simulation) serve() {
	for _, s := range w.servers {
		begun, ended := s.tick()
		for _, j := range begun {
			w.begin(j)
		}
		for _, j := range ended {
			w.end(j)
		}
	}
}

func (w *simulation) begin(j *job) {
	c := j.call.client
	if c.call != j.call {
		return
	}
	j.call.begun = true
	c.answerBegan = true
	c.inTime = !w.clock().After(c.request.LatencyTarget)
	w.passToRouter(c, FirstByteReceived{ID: c.request.ID, Endpoint: j.call.server.row.ID, Load: j.call.server.load()})
}

func (w *simulation) end(j *job) {
	c := j.call.client
	if c.call != j.call {
		return
	}
	c.longestGap = time.Duration(j.longestGapMS * float64(time.Millisecond))
	w.finishCall(c, Succeeded, false)
	c.served = true
	if c.kind.gapTarget > 0 && c.longestGap > c.kind.gapTarget {
		c.kind.paused++
	}
	w.close(c)
}

func (w *simulation) passToRouter(c *simulatedClient, input Input) {
	w.inputs[c.router] = append(w.inputs[c.router], input)
}

func (w *simulation) finishCall(c *simulatedClient, result Result, more bool) {
	call := c.call
	c.call = nil
	w.passToRouter(c, AttemptFinished{
		ID: c.request.ID, Endpoint: call.server.row.ID, Result: result, NeedsRetry: more,
		Load: call.server.load(), LongestGap: c.longestGap,
	})
}

// earns returns the value of the attempt's end, as a part of the request's value.
func (c *simulatedClient) earns() float64 {
	switch {
	case c.served && c.inTime && c.request.ClientRetry:
		return 0.65
	case c.served && c.inTime:
		return 1
	case c.served:
		return 0.3
	case c.request.ClientRetry && c.rejectedNow:
		return -0.3
	}
	return 0
}

// weight returns the request's value relative to its kind's.
func (k *requestKind) weight(c *simulatedClient) float64 {
	if k.output == 0 {
		return 1
	}
	return min(0.3+0.7*float64(c.size())/float64(k.prompt+10*k.output), 4)
}

// close counts the end of a request.
func (w *simulation) close(c *simulatedClient) {
	c.endCount++
	c.kind.servedValue += c.kind.weight(c) * c.earns()
	switch {
	case c.served && c.inTime && c.request.ClientRetry:
		c.kind.retried++
	case c.served && c.inTime:
		c.kind.inTime++
	case c.served:
		c.kind.served++
	default:
		c.kind.failed++
	}
}

// endOverdueCalls ends calls past their deadline, and those that hang at crashed endpoints.
func (w *simulation) endOverdueCalls() {
	live := w.live
	w.live = w.live[:0:0]
	for _, call := range live {
		c := call.client
		switch {
		case c.call != call:
			continue
		case call.lost > 0 && w.now >= call.lost:
			w.lose(c)
		case w.clock().After(c.request.Deadline):
			call.server.drop(call)
			w.finishCall(c, Canceled, false)
			w.close(c)
		default:
			w.live = append(w.live, call)
		}
	}
}

// lose breaks a call off after its request was written.
func (w *simulation) lose(c *simulatedClient) {
	more := c.request.Retryable
	w.finishCall(c, ConnectionLost, more)
	if !more {
		w.close(c)
	}
}
