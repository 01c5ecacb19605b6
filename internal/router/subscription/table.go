package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

// missingGrace is how long an endpoint that a whole table lacks is still taken for one that may answer. A control
// instance that has just started knows only those that have called it since.
const missingGrace = 3 * time.Second

// table is what the control plane has told of the endpoints. It turns whole tables of an instance that may know less
// than the one before into changes that lose nothing at once.
type table struct {
	known   map[string]protocol.Endpoint
	missing map[string]time.Time // of known, not named by the last whole table: gone at that time
}

func newTable() *table {
	return &table{known: map[string]protocol.Endpoint{}, missing: map[string]time.Time{}}
}

// take enters an update and returns the changes. Full says that they are a whole table.
func (t *table) take(update *protocol.Update, now time.Time) (changes []protocol.Endpoint, full bool) {
	changes = update.Endpoints
	if update.Full {
		changes = append(changes, t.lack(update.Endpoints, now)...)
	}
	for i := range update.Endpoints {
		e := update.Endpoints[i]
		delete(t.missing, e.ID)
		if e.State == protocol.Gone {
			delete(t.known, e.ID)
			continue
		}
		t.known[e.ID] = e
	}
	return changes, update.Full
}

// lack lists the known endpoints that a whole table does not name, as silent where they were ready.
func (t *table) lack(named []protocol.Endpoint, now time.Time) []protocol.Endpoint {
	present := make(map[string]bool, len(named))
	for i := range named {
		present[named[i].ID] = true
	}
	var lacking []protocol.Endpoint
	for id, e := range t.known {
		if present[id] {
			continue
		}
		if _, counted := t.missing[id]; !counted {
			t.missing[id] = now.Add(missingGrace)
		}
		if e.State == protocol.Ready {
			e.State = protocol.Silent
		}
		lacking = append(lacking, e)
	}
	return lacking
}

// expire returns the endpoints whose time is over as gone.
func (t *table) expire(now time.Time) []protocol.Endpoint {
	var gone []protocol.Endpoint
	for id, at := range t.missing {
		if now.Before(at) {
			continue
		}
		e := t.known[id]
		e.State = protocol.Gone
		gone = append(gone, e)
		delete(t.missing, id)
		delete(t.known, id)
	}
	return gone
}

// nextExpiry is when expire has work to do, zero for never.
func (t *table) nextExpiry() time.Time {
	var next time.Time
	for _, at := range t.missing {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}
