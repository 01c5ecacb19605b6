package stream

import "strconv"

// Judgement says what becomes of an event.
type Judgement uint8

// The judgements.
const (
	Pass Judgement = iota
	Skip           // the client has it already
	Gap            // events between the last one passed on and this one are missing
)

// Sequence follows the ids of the events that were passed on, over all runs that serve one answer. Within one run ids
// are taken as they come; a run that goes on after another must begin right behind the last event.
type Sequence struct {
	last     uint64
	lastText string
	numbered bool   // the last id is a number
	stride   uint64 // largest step between two ids of one run
	resuming bool   // nothing of this run has been passed on yet, something of an earlier one has
}

// NewSequence returns the sequence of an answer that has not begun. Stride is the step that ids may take where none
// has been seen.
func NewSequence(stride int) *Sequence {
	return &Sequence{stride: uint64(max(1, stride))}
}

// LastID is the id of the last event that was passed on, empty for none.
func (q *Sequence) LastID() string { return q.lastText }

// Resume begins another run.
func (q *Sequence) Resume() { q.resuming = q.lastText != "" }

// Judge says what becomes of the next event of the run. Its id is nil where it has none.
func (q *Sequence) Judge(id []byte) Judgement {
	if id == nil {
		if q.resuming {
			return Skip // a comment, or the beginning of a run
		}
		return Pass
	}
	number, err := strconv.ParseUint(string(id), 10, 64)
	numbered := err == nil
	if q.resuming {
		if j := q.judgeResumed(number, numbered); j != Pass {
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

func (q *Sequence) judgeResumed(number uint64, numbered bool) Judgement {
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
