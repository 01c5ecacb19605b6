package dispatch

import "time"

// serve advances the endpoints by one tick.
func (w *simulation) serve() {
	for _, s := range w.servers {
		begun, ended := s.tick()
		for _, j := range begun {
			w.beginAnswer(j)
		}
		for _, j := range ended {
			w.endJob(j)
		}
	}
}

func (w *simulation) beginAnswer(j *job) {
	c := j.call.client
	if c.call != j.call {
		return
	}
	j.call.begun = true
	c.answerBegan = true
	c.inTime = !w.clock().After(c.request.LatencyTarget)
	w.passToRouter(c, FirstByteReceived{ID: c.request.ID, Endpoint: j.call.server.row.ID, Load: j.call.server.advertisedLoad()})
}

func (w *simulation) endJob(j *job) {
	c := j.call.client
	if c.call != j.call {
		return
	}
	c.longestGap = time.Duration(j.longestGapMS * float64(time.Millisecond))
	w.finishCall(c, Succeeded, false)
	c.served = true
	if c.kind.gapTarget > 0 && c.longestGap > c.kind.gapTarget {
		c.kind.longGaps++
	}
	w.countEnd(c)
}

func (w *simulation) passToRouter(c *simulatedClient, input Input) {
	w.inputs[c.router] = append(w.inputs[c.router], input)
}

func (w *simulation) finishCall(c *simulatedClient, result Result, needsRetry bool) {
	call := c.call
	c.call = nil
	w.passToRouter(c, AttemptFinished{
		ID: c.request.ID, Endpoint: call.server.row.ID, Result: result, NeedsRetry: needsRetry,
		Load: call.server.advertisedLoad(), LongestGap: c.longestGap,
	})
}

// valueFraction returns the value of the attempt's outcome as a fraction of the request's value.
func (c *simulatedClient) valueFraction() float64 {
	switch {
	case c.served && c.inTime && c.request.ClientRetry:
		return 0.65
	case c.served && c.inTime:
		return 1
	case c.served:
		return 0.3
	case c.request.ClientRetry && c.wasRejected:
		return -0.3
	}
	return 0
}

// relativeValue returns the request's value relative to the mean of its kind.
func (k *requestKind) relativeValue(c *simulatedClient) float64 {
	if k.output == 0 {
		return 1
	}
	return min(0.3+0.7*float64(c.size())/float64(k.prompt+10*k.output), 4)
}

// countEnd counts the end of a request.
func (w *simulation) countEnd(c *simulatedClient) {
	c.endCount++
	c.kind.servedValue += c.kind.relativeValue(c) * c.valueFraction()
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

// endOverdueCalls ends calls that are past their deadline or whose connection is due to be lost.
func (w *simulation) endOverdueCalls() {
	live := w.liveCalls
	w.liveCalls = w.liveCalls[:0:0]
	for _, call := range live {
		c := call.client
		switch {
		case c.call != call:
			continue
		case call.lostAt > 0 && w.now >= call.lostAt:
			w.loseConnection(c)
		case w.clock().After(c.request.Deadline):
			call.server.drop(call)
			w.finishCall(c, Canceled, false)
			w.countEnd(c)
		default:
			w.liveCalls = append(w.liveCalls, call)
		}
	}
}

// loseConnection breaks the connection of a call after its request was written.
func (w *simulation) loseConnection(c *simulatedClient) {
	needsRetry := c.request.Retryable
	w.finishCall(c, ConnectionLost, needsRetry)
	if !needsRetry {
		w.countEnd(c)
	}
}
