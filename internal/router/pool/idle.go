package pool

import (
	"strconv"
	"strings"
	"time"
)

const (
	defaultIdleTTL = 2 * time.Second // where an endpoint does not state a timeout in Keep-Alive
	idleMargin     = time.Second     // a connection is closed so long before the endpoint would close it
	sweepInterval  = time.Second
)

// IdleTTL returns how long a connection may stay idle after an answer with this Keep-Alive header, at least half of
// the stated timeout.
func IdleTTL(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseInt(value, 10, 32)
		if err != nil || seconds < 0 {
			continue
		}
		advertised := time.Duration(seconds) * time.Second
		return advertised - min(idleMargin, advertised/2)
	}
	return defaultIdleTTL
}

// Idle keeps idle connections between calls, and counts those in use per endpoint.
type Idle struct {
	dialer    *Dialer
	endpoints map[string]*endpoint
	idle      int
	maxIdle   int
	sweepAt   time.Time // zero while none is idle
}

type endpoint struct {
	idle  []*Connection // the one used last is at the end: it is the least likely to have been closed
	inUse int
}

// NewIdle returns an empty table that keeps at most maxIdle connections over all endpoints.
func NewIdle(dialer *Dialer, maxIdle int) *Idle {
	return &Idle{dialer: dialer, endpoints: map[string]*endpoint{}, maxIdle: maxIdle}
}

// Take counts a call to the endpoint and hands out the idle connection used last, nil if there is none.
func (t *Idle) Take(id string, now time.Time) *Connection {
	e := t.endpoints[id]
	if e == nil {
		e = &endpoint{}
		t.endpoints[id] = e
	}
	e.inUse++
	for len(e.idle) > 0 {
		c := t.pop(e)
		if now.Before(c.expiresAt) {
			return c
		}
		t.dialer.Discard(c)
	}
	return nil
}

// Return ends a call that Take counted. The connection is nil unless it may serve another call within ttl;
// maxConnections bounds this process's connections to the endpoint.
func (t *Idle) Return(id string, c *Connection, ttl time.Duration, maxConnections int, now time.Time) {
	e := t.endpoints[id]
	if e == nil { // it was dropped meanwhile
		if c != nil {
			t.dialer.Discard(c)
		}
		return
	}
	e.inUse--
	if c != nil {
		t.keep(e, c, ttl, maxConnections, now)
	}
	t.forget(id, e)
}

func (t *Idle) keep(e *endpoint, c *Connection, ttl time.Duration, maxConnections int, now time.Time) {
	if ttl <= 0 || e.inUse+len(e.idle) >= maxConnections || t.idle >= t.maxIdle {
		t.dialer.Discard(c)
		return
	}
	c.expiresAt = now.Add(ttl)
	c.Reused = true
	e.idle = append(e.idle, c)
	t.idle++
	if t.sweepAt.IsZero() {
		t.sweepAt = now.Add(sweepInterval)
	}
}

func (t *Idle) pop(e *endpoint) *Connection {
	last := len(e.idle) - 1
	c := e.idle[last]
	e.idle[last] = nil
	e.idle = e.idle[:last]
	t.idle--
	return c
}

func (t *Idle) forget(id string, e *endpoint) {
	if e.inUse == 0 && len(e.idle) == 0 {
		delete(t.endpoints, id)
	}
}

// Drop closes the idle connections of an endpoint that was removed.
func (t *Idle) Drop(id string) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	for len(e.idle) > 0 {
		t.dialer.Discard(t.pop(e))
	}
	t.forget(id, e)
}

// Retain drops every endpoint for which known returns false.
func (t *Idle) Retain(known func(id string) bool) {
	for id := range t.endpoints {
		if !known(id) {
			t.Drop(id)
		}
	}
}

// Sweep closes the connections that have expired. It does nothing before NextSweep.
func (t *Idle) Sweep(now time.Time) {
	if t.sweepAt.IsZero() || now.Before(t.sweepAt) {
		return
	}
	for id, e := range t.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			t.idle--
			t.dialer.Discard(c)
		}
		clear(e.idle[len(kept):])
		e.idle = kept
		t.forget(id, e)
	}
	t.sweepAt = time.Time{}
	if t.idle > 0 {
		t.sweepAt = now.Add(sweepInterval)
	}
}

// NextSweep returns when Sweep next has work to do, zero while no connection is idle.
func (t *Idle) NextSweep() time.Time { return t.sweepAt }

// Count returns how many connections are idle.
func (t *Idle) Count() int { return t.idle }
