package dispatch

// Backlog: calls of this router at an endpoint that have no first byte yet.

// pastTargetSmoothing is the weight of a new observation in a service's pastTargetFraction.
const pastTargetSmoothing = 0.05

// backlog counts calls without a first byte, and the tokens of their prefill.
type backlog struct{ calls, tokens int }

func (b *backlog) add(calls, tokens int) {
	b.calls += calls
	b.tokens += tokens
}

// addBacklog counts a call that is sent.
func (d *Decider) addBacklog(e *endpoint, r *request) {
	e.awaitingFirstByte = append(e.awaitingFirstByte, r)
	e.backlog.add(1, r.prefillTokens)
	fraction := 0.0
	if r.pastTarget {
		e.pastTargetBacklog.add(1, r.prefillTokens)
		fraction = 1
	}
	s := r.group.service
	if current := float64(e.pastTargetBacklog.calls) / float64(e.backlog.calls); current > fraction {
		fraction = current
	}
	s.pastTargetFraction += (fraction - s.pastTargetFraction) * pastTargetSmoothing
}

// removeBacklog takes off a call that is answered or over.
func (e *endpoint) removeBacklog(r *request) {
	e.awaitingFirstByte = remove(e.awaitingFirstByte, r)
	e.backlog.add(-1, -r.prefillTokens)
	if r.pastTarget {
		e.pastTargetBacklog.add(-1, -r.prefillTokens)
	}
}

// clearBacklogTokens is called when the endpoint is ejected: no request waits any more for the prefill of its unanswered calls.
func (e *endpoint) clearBacklogTokens() {
	for _, r := range e.awaitingFirstByte {
		r.prefillTokens = 0
	}
	e.backlog.tokens, e.pastTargetBacklog.tokens = 0, 0
}
