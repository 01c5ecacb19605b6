package dispatch

import (
	"time"
)

// timers is a binary heap of the times at which requests are to be handled. Entries of requests that have ended, or
// that have a newer timer, are dropped when they reach the top.
type timers []timer

// timer is one entry of the heap.
type timer struct {
	at      time.Duration
	request *request
}

// add sets the request's timer, replacing an earlier one.
func (t *timers) add(at time.Duration, r *request) {
	r.timerAt = at
	*t = append(*t, timer{at, r})
	list := *t
	for i := len(list) - 1; i > 0; {
		parent := (i - 1) / 2
		if list[parent].at <= list[i].at {
			return
		}
		list[parent], list[i] = list[i], list[parent]
		i = parent
	}
}

// pop removes the earliest entry.
func (t *timers) pop() {
	list := *t
	last := len(list) - 1
	list[0] = list[last]
	list[last] = timer{}
	list = list[:last]
	*t = list
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return
		}
		if child+1 < last && list[child+1].at < list[child].at {
			child++
		}
		if list[i].at <= list[child].at {
			return
		}
		list[i], list[child] = list[child], list[i]
		i = child
	}
}

// isStale reports whether the entry's request has ended or has a newer timer.
func (t timer) isStale() bool { return t.request.stage == stageDone || t.request.timerAt != t.at }

// next returns the time of the earliest timer; false if there is none.
func (t *timers) next() (time.Duration, bool) {
	for len(*t) > 0 && (*t)[0].isStale() {
		t.pop()
	}
	if len(*t) == 0 {
		return 0, false
	}
	return (*t)[0].at, true
}

// popDue removes and returns the request with the earliest timer that is due; false if none is due.
func (t *timers) popDue(now time.Duration) (*request, bool) {
	at, ok := t.next()
	if !ok || at > now {
		return nil, false
	}
	r := (*t)[0].request
	t.pop()
	r.timerAt = 0
	return r, true
}
