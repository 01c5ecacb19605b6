package lifecycle

import (
	"errors"
	"slices"
	"testing"
)

func allEvents() (all []Event) {
	for s := range stepCount {
		all = append(all, StepDone{s})
	}
	for t := range faultCount {
		all = append(all, FaultBegan{t}, FaultEnded{t})
	}
	return append(all, Drain{}, Undrain{}, Terminate{}, Exited{})
}

// visitAll applies every event to every reachable instance, calls f for each pair, and returns the reachable instances.
func visitAll(f func(before Instance, e Event, after Instance, err error)) map[Instance]bool {
	seen := map[Instance]bool{{}: true}
	for queue := []Instance{{}}; len(queue) > 0; {
		l := queue[0]
		queue = queue[1:]
		for _, e := range allEvents() {
			next, err := l.Apply(e)
			f(l, e, next, err)
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return seen
}

// The invariants are checked in every reachable state and for every event in it.
func TestInvariantsInEveryReachableState(t *testing.T) {
	states := map[State]int{}
	seen := visitAll(func(l Instance, e Event, next Instance, err error) {
		switch {
		case err != nil && next != l:
			t.Errorf("%+v: %T returns an error and changes it", l, e)
		case l.State() == Stopped && !errors.Is(err, ErrStopped):
			t.Errorf("%T after the exit: %v", e, err)
		case l.terminating && !next.terminating:
			t.Errorf("%+v: %T revokes the termination", l, e)
		case l.doneSteps&^next.doneSteps != 0:
			t.Errorf("%+v: %T undoes a step", l, e)
		}
		if again, err2 := next.Apply(e); err == nil && next.State() != Stopped && (err2 != nil || again != next) {
			t.Errorf("%+v: %T twice is not the same as once", l, e)
		}
	})
	for l := range seen {
		s := l.State()
		states[s]++
		ready, why := l.Ready()
		switch {
		case ready != (len(why) == 0):
			t.Errorf("%+v: ready %v, why %v", l, ready, why)
		case l.AcceptsMessages() != ready:
			t.Errorf("%+v: accepts messages %v, ready %v", l, l.AcceptsMessages(), ready)
		case ready && s != Ready && s != Degraded:
			t.Errorf("%+v: ready while %v", l, s)
		case s == Ready && (!ready || len(l.Faults()) > 0):
			t.Errorf("%+v: state is ready", l)
		case s == Degraded && len(l.Faults()) == 0:
			t.Errorf("%+v: degraded without a fault", l)
		case l.AcceptsMessages() && (l.doneSteps != 1<<stepCount-1 || l.draining || l.terminating || l.HasFault(JournalUnwritable)):
			t.Errorf("%+v accepts messages", l)
		case l.Alive() != (s != Stopped):
			t.Errorf("%+v: alive %v", l, l.Alive())
		}
	}
	for s := Starting; s <= Stopped; s++ {
		if states[s] == 0 {
			t.Errorf("state %v is not reachable", s)
		}
	}
	if len(seen) < 500 {
		t.Errorf("only %d reachable instances", len(seen))
	}
}

// Checks the state and the reasons that operators see after typical sequences of events.
func TestStatesOfTypicalSequences(t *testing.T) {
	all := []Event{StepDone{Journal}, StepDone{List}, StepDone{Notices}, StepDone{Listening}}
	for name, c := range map[string]struct {
		events []Event
		want   State
		why    []string
		err    error
	}{
		"new":                       {nil, Starting, []string{"the journal is not recovered yet", "no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"recovered":                 {all[:1], Recovering, []string{"no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"all steps done":            {all, Ready, nil, nil},
		"stale list":                {append(slices.Clone(all), FaultBegan{ListStale}), Degraded, nil, nil},
		"read-only disk":            {append(slices.Clone(all), FaultBegan{JournalUnwritable}), Degraded, []string{"the journal can't be written"}, nil},
		"disk writable again":       {append(slices.Clone(all), FaultBegan{JournalUnwritable}, FaultEnded{JournalUnwritable}), Ready, nil, nil},
		"drained":                   {append(slices.Clone(all), Drain{}), Draining, []string{"it was asked to drain"}, nil},
		"undrained":                 {append(slices.Clone(all), Drain{}, Undrain{}), Ready, nil, nil},
		"SIGTERM in recovery":       {[]Event{StepDone{Journal}, Terminate{}}, Draining, []string{"the process ends", "no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"undrain while terminating": {append(slices.Clone(all), Drain{}, Terminate{}, Undrain{}), Draining, []string{"the process ends"}, ErrTerminating},
		"exit without termination":  {append(slices.Clone(all), Exited{}), Ready, nil, ErrNotTerminating},
		"exited":                    {append(slices.Clone(all), Terminate{}, Exited{}), Stopped, []string{"the process has ended"}, nil},
		"exited, then undrained":    {append(slices.Clone(all), Terminate{}, Exited{}, Undrain{}), Stopped, []string{"the process has ended"}, ErrStopped},
		"drained during startup":    {[]Event{Drain{}, StepDone{Journal}, Undrain{}}, Recovering, []string{"no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"fault during startup":      {append([]Event{FaultBegan{ListStale}}, all...), Degraded, nil, nil},
	} {
		var l Instance
		var last error
		for _, e := range c.events {
			l, last = l.Apply(e)
		}
		if _, why := l.Ready(); l.State() != c.want || !slices.Equal(why, c.why) || !errors.Is(last, c.err) {
			t.Errorf("%s: %v, %v, %v", name, l.State(), why, last)
		}
	}
}
