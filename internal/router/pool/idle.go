package pool

import (
	"strconv"
	"strings"
	"time"
)

const (
	restUnstated  = 2 * time.Second // where an endpoint does not say how long it keeps an idle connection
	restMargin    = time.Second     // closed so long before the endpoint would
	sweepInterval = time.Second
)

// RestFor is how long a connection may rest after an answer with this Keep-Alive header.
func RestFor(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseInt(value, 10, 32)
		if err != nil || seconds < 0 {
			continue
		}
		told := time.Duration(seconds) * time.Second
		return told - min(restMargin, told/2)
	}
	return restUnstated
}

// Idle is the table of the connections that rest between calls, and counts those in use.
type Idle struct {
	dialer    *Dialer
	endpoints map[string]*endpoint
	resting   int
	most      int
	sweepAt   time.Time // zero while nothing rests
}

type endpoint struct {
	resting []*Connection // the one used last is at the end
	out     int
}

// NewIdle returns an empty table, in which most connections rest at a time.
func NewIdle(dialer *Dialer, most int) *Idle {
	return &Idle{dialer: dialer, endpoints: map[string]*endpoint{}, most: most}
}

// Take counts a call to the endpoint and hands out the connection used last, nil where none rests.
func (t *Idle) Take(id string, now time.Time) *Connection {
	e := t.endpoints[id]
	if e == nil {
		e = &endpoint{}
		t.endpoints[id] = e
	}
	e.out++
	for len(e.resting) > 0 {
		c := t.pop(e)
		if now.Before(c.restUntil) {
			return c
		}
		t.dialer.Release(c)
	}
	return nil
}

// Done ends a call that Take counted. A connection that may serve another call comes back with it, else nil;
// most is how many connections this process may have to the endpoint.
func (t *Idle) Done(id string, c *Connection, rest time.Duration, most int, now time.Time) {
	e := t.endpoints[id]
	if e == nil { // dropped meanwhile
		if c != nil {
			t.dialer.Release(c)
		}
		return
	}
	e.out--
	if c != nil {
		t.keep(e, c, rest, most, now)
	}
	t.forget(id, e)
}

func (t *Idle) keep(e *endpoint, c *Connection, rest time.Duration, most int, now time.Time) {
	if rest <= 0 || e.out+len(e.resting) >= most || t.resting >= t.most {
		t.dialer.Release(c)
		return
	}
	c.restUntil = now.Add(rest)
	c.Reused = true
	e.resting = append(e.resting, c)
	t.resting++
	if t.sweepAt.IsZero() {
		t.sweepAt = now.Add(sweepInterval)
	}
}

func (t *Idle) pop(e *endpoint) *Connection {
	last := len(e.resting) - 1
	c := e.resting[last]
	e.resting[last] = nil
	e.resting = e.resting[:last]
	t.resting--
	return c
}

func (t *Idle) forget(id string, e *endpoint) {
	if e.out == 0 && len(e.resting) == 0 {
		delete(t.endpoints, id)
	}
}

// Drop closes what rests of an endpoint that is gone.
func (t *Idle) Drop(id string) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	for len(e.resting) > 0 {
		t.dialer.Release(t.pop(e))
	}
	t.forget(id, e)
}

// Retain drops all endpoints for which known is false.
func (t *Idle) Retain(known func(id string) bool) {
	for id := range t.endpoints {
		if !known(id) {
			t.Drop(id)
		}
	}
}

// Sweep closes what has rested for long enough.
func (t *Idle) Sweep(now time.Time) {
	if t.sweepAt.IsZero() || now.Before(t.sweepAt) {
		return
	}
	for id, e := range t.endpoints {
		kept := e.resting[:0]
		for _, c := range e.resting {
			if now.Before(c.restUntil) {
				kept = append(kept, c)
				continue
			}
			t.resting--
			t.dialer.Release(c)
		}
		clear(e.resting[len(kept):])
		e.resting = kept
		t.forget(id, e)
	}
	t.sweepAt = time.Time{}
	if t.resting > 0 {
		t.sweepAt = now.Add(sweepInterval)
	}
}

// NextSweep is when Sweep has work to do at the earliest, zero for never.
func (t *Idle) NextSweep() time.Time { return t.sweepAt }

// Resting is how many connections rest.
func (t *Idle) Resting() int { return t.resting }
