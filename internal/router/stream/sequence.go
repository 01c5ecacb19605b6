package stream

import "strconv"

// Verdict says what to do with an event.
type Verdict uint8

// The verdicts.
const (
	Pass Verdict = iota
	Skip         // the client has it already
	Gap          // events between the last one passed on and this one are missing
)

// Sequence tracks the ids of the events that were passed on, over all runs of one answer. Within one run ids are taken
// as they come; a run that continues another must have the event right behind the last one.
type Sequence struct {
	last     uint64
	lastText string
	numbered bool   // the last id is a number
	stride   uint64 // largest step between two ids of one run
	resuming bool   // nothing of this run has been passed on yet, something of an earlier one has
}

// NewSequence returns the sequence of an answer that has not begun. stride is the step between ids that is assumed
// until two events have shown it.
func NewSequence(stride int) *Sequence {
	return &Sequence{stride: uint64(max(1, stride))}
}

// LastID returns the id of the last event that was passed on, empty for none.
func (q *Sequence) LastID() string { return q.lastText }

// Resume starts another run.
func (q *Sequence) Resume() { q.resuming = q.lastText != "" }

// Classify returns what to do with the next event of the run; id is nil if the event has none.
func (q *Sequence) Classify(id []byte) Verdict {
	if id == nil {
		if q.resuming {
			return Skip // a comment, or the beginning of a run
		}
		return Pass
	}
	number, err := strconv.ParseUint(string(id), 10, 64)
	numbered := err == nil
	if q.resuming {
		if j := q.classifyResumed(number, numbered); j != Pass {
			return j
		}
		q.resuming = false
	} else if q.numbered && numbered && number > q.last {
		q.stride = max(q.stride, number-q.last)
	}
	q.last, q.numbered = number, numbered
	q.lastText = string(id)
	return Pass
}

func (q *Sequence) classifyResumed(number uint64, numbered bool) Verdict {
	switch {
	case !q.numbered || !numbered:
		return Gap
	case number <= q.last:
		return Skip
	case number-q.last > q.stride:
		return Gap
	}
	return Pass
}
