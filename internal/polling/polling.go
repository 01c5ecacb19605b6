// Package polling decides when discovery is asked for the list of endpoints, whether by a watch or by a poll, and
// when silence means that a call is broken. It is pure: chance comes in as an argument, and the answer is a [Call].
//
// Invariants, each held by a test of the same name:
//   - TestSilenceIsAskedAgainInTime: whatever discovery has to tell counts as told [Told] after a call fell silent, or
//     [ToldAfterWait] after the wait of a call that may wait. A call that brought nothing by then was followed by another
//     one that had time for its answer, at once and not after a pause.
//   - TestPushedIsAskedFromTheStart: where lists are pushed, a call is always out or about to be, from the first moment.
package polling

import "time"

// The platform's clock for what discovery has to tell.
const (
	Told          = 6 * time.Second // after silence, whether it arrived or not
	ToldAfterWait = 2 * time.Second // the same after the wait of a call that may wait, if that is later
)

const (
	watch  = 10 * time.Second        // the wait of a watch
	beyond = 1500 * time.Millisecond // for an answer once its wait is over: within ToldAfterWait, with room for one more call
	// turn is for a call with no wait. Discovery works through calls in turn and turns them away after about 2 s; two such
	// calls fit into Told.
	turn = 2500 * time.Millisecond
	// Connect bounds how long a connection may take to come up: it is part of each call's time.
	Connect = time.Second

	soonest, latest = 50 * time.Millisecond, time.Second // pauses after a failure where the list is pushed
)

// Settings are the platform's figures that matter here.
type Settings struct {
	Pushed bool // lists are pushed: what the agent has counts as told whether or not a call is out
	Known  bool // a list is known, whose changes can be watched; without, the whole list is polled
}

// Result is what came of the call before.
type Result uint8

const (
	None     Result = iota // there was none: a new life, or another discovery
	Answered               // with a list or changes
	Silent                 // no whole answer came in its time
	Failed                 // turned away, refused, reset or unreadable
)

// Call is the next call.
type Call struct {
	After time.Duration // from now on
	Wait  time.Duration // that it asks discovery to wait for news; 0 is a poll, of the whole list
	Limit time.Duration // until it counts as silent, from its beginning
	// Asked says that it waits for the decision module to ask: the module spaces what follows a failure.
	Asked bool
}

// Plan is the state between calls of one courier. Its zero value begins a life.
type Plan struct {
	silent, failed int // in a row
}

// Next is the call that follows the result. Chance is drawn evenly from 0 to 1.
func (p *Plan) Next(s Settings, r Result, chance float64) Call {
	switch r {
	case None:
		*p = Plan{}
	case Answered:
		*p = Plan{}
	case Silent:
		if p.silent++; p.silent == 1 {
			return s.poll(0) // its news may be due now: a call that can't wait brings them soonest
		}
		fallthrough
	case Failed:
		p.failed++
		if !s.Pushed {
			c := s.watch(0)
			c.Asked = true
			return c
		}
		pause := min(soonest<<min(p.failed-1, 8), latest)
		return s.watch(time.Duration((0.5 + 0.5*chance) * float64(pause)))
	}
	c := s.watch(0)
	c.Asked = r == None && !s.Pushed
	return c
}

func (s *Settings) poll(after time.Duration) Call { return Call{After: after, Limit: turn} }

// watch is a poll where there is nothing yet whose changes could be watched.
func (s *Settings) watch(after time.Duration) Call {
	if !s.Known {
		return s.poll(after)
	}
	return Call{After: after, Wait: watch, Limit: watch + beyond}
}
