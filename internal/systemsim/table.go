package systemsim

import (
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// table is a router's view of the endpoints. It merges as package dispatch does.
type table struct {
	listed map[string]row
	graves map[string]grave
}

type row struct {
	state    protocol.EndpointState
	sequence uint64
}

type grave struct {
	sequence uint64
	told     bool
	drained  bool
}

func newTable() table { return table{listed: make(map[string]row), graves: make(map[string]grave)} }

func (t *table) take(change *dispatch.ViewChanged) {
	if change.Full {
		t.dropUnlisted(change.Endpoints)
	}
	for _, news := range change.Endpoints {
		t.update(news)
	}
}

func (t *table) dropUnlisted(whole []protocol.Endpoint) {
	named := make(map[string]bool, len(whole))
	for _, e := range whole {
		named[e.ID] = true
	}
	for id := range t.listed {
		if !named[id] {
			t.bury(id, false)
		}
	}
}

func (t *table) bury(id string, told bool) {
	former := t.listed[id]
	delete(t.listed, id)
	t.graves[id] = grave{sequence: former.sequence, told: told, drained: former.state == protocol.Draining}
}

func (t *table) update(news protocol.Endpoint) {
	known, isListed := t.listed[news.ID]
	past, isBuried := t.graves[news.ID]
	switch {
	case news.State == protocol.Departed:
		if isListed && news.Sequence >= known.sequence {
			t.listed[news.ID] = row{state: known.state, sequence: news.Sequence}
			t.bury(news.ID, true)
		}
		return
	case isListed && news.Sequence < known.sequence:
		return
	case !isListed && isBuried && (news.Sequence < past.sequence || past.told && news.Sequence == past.sequence):
		return
	case isListed && known.state == protocol.Draining, !isListed && past.drained:
		news.State = protocol.Draining
	}
	t.listed[news.ID] = row{state: news.State, sequence: news.Sequence}
}

// eligible tells whether the endpoint may get new requests.
func (t *table) eligible(id string) bool {
	r, isListed := t.listed[id]
	return isListed && (r.state == protocol.Ready || r.state == protocol.Unresponsive)
}
