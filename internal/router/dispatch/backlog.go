package dispatch

// Backlog: this router's calls at an endpoint that have not received their first byte, and the prompt tokens that the
// endpoint has to prefill for them.

// pastTargetSmoothing is the weight of a new sample in a service's moving average pastTargetFraction.
const pastTargetSmoothing = 0.05

// backlog counts calls without a first byte and the tokens of their prefill.
type backlog struct{ calls, tokens int }

func (b *backlog) add(calls, tokens int) {
	b.calls += calls
	b.tokens += tokens
}

// addBacklog adds a call to the endpoint's backlog when it is sent.
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

// removeBacklog removes a call from the endpoint's backlog when its first byte arrives or its attempt ends.
func (e *endpoint) removeBacklog(r *request) {
	e.awaitingFirstByte = remove(e.awaitingFirstByte, r)
	e.backlog.add(-1, -r.prefillTokens)
	if r.pastTarget {
		e.pastTargetBacklog.add(-1, -r.prefillTokens)
	}
}

// clearBacklogTokens sets the prefill tokens of the backlog to 0. It is called when the endpoint is ejected: the
// prefill of its unanswered calls no longer delays any request.
func (e *endpoint) clearBacklogTokens() {
	for _, r := range e.awaitingFirstByte {
		r.prefillTokens = 0
	}
	e.backlog.tokens, e.pastTargetBacklog.tokens = 0, 0
}
