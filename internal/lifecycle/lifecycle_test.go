package lifecycle

import (
	"errors"
	"slices"
	"testing"
)

func allEvents() (all []Event) {
	for s := range stepCount {
		all = append(all, Done{s})
	}
	for t := range troubleCount {
		all = append(all, Began{t}, Ended{t})
	}
	return append(all, Drain{}, Undrain{}, End{}, Gone{})
}

// every walks all lives that any events lead to, and calls f for each event on each of them.
func every(f func(before Life, e Event, after Life, err error)) map[Life]bool {
	seen := map[Life]bool{{}: true}
	for todo := []Life{{}}; len(todo) > 0; {
		l := todo[0]
		todo = todo[1:]
		for _, e := range allEvents() {
			next, err := l.On(e)
			f(l, e, next, err)
			if !seen[next] {
				seen[next] = true
				todo = append(todo, next)
			}
		}
	}
	return seen
}

// Every life that can be is looked at, with every event: what holds, holds for all of them.
func TestEveryLife(t *testing.T) {
	states := map[State]int{}
	seen := every(func(l Life, e Event, next Life, err error) {
		switch {
		case err != nil && next != l:
			t.Errorf("%+v: %T fails and changes it", l, e)
		case l.State() == Stopped && !errors.Is(err, ErrStopped):
			t.Errorf("%T after the end: %v", e, err)
		case l.ending && !next.ending:
			t.Errorf("%+v: %T takes the end back", l, e)
		case l.steps&^next.steps != 0:
			t.Errorf("%+v: %T undoes a step", l, e)
		}
		if again, err2 := next.On(e); err == nil && next.State() != Stopped && (err2 != nil || again != next) {
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
		case l.Takes() != ready:
			t.Errorf("%+v: takes %v, ready %v", l, l.Takes(), ready)
		case ready && s != Ready && s != Degraded:
			t.Errorf("%+v: ready while %v", l, s)
		case s == Ready && (!ready || len(l.Troubles()) > 0):
			t.Errorf("%+v: called ready", l)
		case s == Degraded && len(l.Troubles()) == 0:
			t.Errorf("%+v: degraded by nothing", l)
		case l.Takes() && (l.steps != 1<<stepCount-1 || l.drain || l.ending || l.Has(JournalFails)):
			t.Errorf("%+v takes messages", l)
		case l.Live() != (s != Stopped):
			t.Errorf("%+v: live %v", l, l.Live())
		}
	}
	for s := Starting; s <= Stopped; s++ {
		if states[s] == 0 {
			t.Errorf("no life is %v", s)
		}
	}
	if len(seen) < 500 {
		t.Errorf("only %d lives", len(seen))
	}
}

// A usual life, and those that go wrong, read as operators would see them.
func TestLives(t *testing.T) {
	all := []Event{Done{Journal}, Done{List}, Done{Notices}, Done{Listening}}
	for name, c := range map[string]struct {
		events []Event
		want   State
		why    []string
		err    error
	}{
		"new":                     {nil, Starting, []string{"the journal is not recovered yet", "no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"recovered":               {all[:1], Recovering, []string{"no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"at work":                 {all, Ready, nil, nil},
		"stale list":              {append(slices.Clone(all), Began{ListStale}), Degraded, nil, nil},
		"read-only disk":          {append(slices.Clone(all), Began{JournalFails}), Degraded, []string{"the journal can't be written"}, nil},
		"disk well again":         {append(slices.Clone(all), Began{JournalFails}, Ended{JournalFails}), Ready, nil, nil},
		"drained":                 {append(slices.Clone(all), Drain{}), Draining, []string{"it was asked to drain"}, nil},
		"back":                    {append(slices.Clone(all), Drain{}, Undrain{}), Ready, nil, nil},
		"SIGTERM in recovery":     {[]Event{Done{Journal}, End{}}, Draining, []string{"the process ends", "no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"undrain at the end":      {append(slices.Clone(all), Drain{}, End{}, Undrain{}), Draining, []string{"the process ends"}, ErrEnding},
		"gone without a word":     {append(slices.Clone(all), Gone{}), Ready, nil, ErrEarly},
		"gone":                    {append(slices.Clone(all), End{}, Gone{}), Stopped, []string{"the process has ended"}, nil},
		"gone, then undrained":    {append(slices.Clone(all), End{}, Gone{}, Undrain{}), Stopped, []string{"the process has ended"}, ErrStopped},
		"drained in its start":    {[]Event{Drain{}, Done{Journal}, Undrain{}}, Recovering, []string{"no list of endpoints is known yet", "owed notices are not under way yet", "client connections are not accepted yet"}, nil},
		"trouble before it is up": {append([]Event{Began{ListStale}}, all...), Degraded, nil, nil},
	} {
		var l Life
		var last error
		for _, e := range c.events {
			l, last = l.On(e)
		}
		if _, why := l.Ready(); l.State() != c.want || !slices.Equal(why, c.why) || !errors.Is(last, c.err) {
			t.Errorf("%s: %v, %v, %v", name, l.State(), why, last)
		}
	}
}
