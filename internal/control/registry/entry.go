package registry

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"raventrestle/internal/protocol"
)

// entry is what is known of one endpoint.
type entry struct {
	endpoint  protocol.Endpoint // as it said of itself; Sequence is of newest contents
	hash      uint32            // of the ID
	content   uint64            // hash over what it said
	heard     time.Time         // newest heartbeat at any instance
	reached   time.Time         // newest success that a router told of it while it was silent
	coldUntil time.Time
	silent    bool
	gone      bool // left, replaced at its address, or given up
	left      bool // it said so itself: final
	goneSince time.Time
	settled   bool // its draining or leaving was acknowledged here as in force everywhere
	revision  uint64
}

// NameHash shortens an endpoint's ID or a router's name for digests. Two that collide share their signs of
// life, which is harmless.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// contentHash covers what an endpoint says of itself, but for what changes with each heartbeat.
func contentHash(e *protocol.Endpoint) uint64 {
	digest := xxhash.New()
	word := func(text string) {
		_, _ = digest.WriteString(text) // never fails
		_, _ = digest.Write([]byte{0})
	}
	number := func(value uint64) {
		var bytes [8]byte
		binary.LittleEndian.PutUint64(bytes[:], value)
		_, _ = digest.Write(bytes[:])
	}
	word(e.ID)
	word(e.Service)
	word(e.Address)
	word(e.Zone)
	word(e.SoftwareVersion)
	number(uint64(e.Slots))
	number(uint64(e.State))
	for _, model := range e.Models {
		word(model.Name)
		number(uint64(model.Generation))
		for _, adapter := range model.Adapters {
			word(adapter)
		}
		number(0)
	}
	return digest.Sum64()
}

// finalSequence is above all that a router may have heard of an endpoint elsewhere: heartbeats that change nothing
// are not told to other instances, so the one that is asked to let an endpoint go may know an older sequence.
const finalSequence = math.MaxUint64

// view is the endpoint as routers get it.
func (r *Registry) view(now time.Time, e *entry) protocol.Endpoint {
	shown := e.endpoint
	switch {
	case e.left:
		return protocol.Endpoint{
			ID: shown.ID, Service: shown.Service, Address: shown.Address,
			Sequence: finalSequence, State: protocol.Departed,
		}
	case e.gone:
		return protocol.Endpoint{
			ID: shown.ID, Service: shown.Service, Address: shown.Address,
			Sequence: shown.Sequence, State: protocol.Departed,
		}
	case e.silent && shown.State == protocol.Ready:
		shown.State = protocol.Unresponsive
	}
	shown.WarmUpRemaining = max(0, e.coldUntil.Sub(now))
	shown.Loading = r.loading.of(shown.ID, now)
	return shown
}

// record is the entry as other instances get it.
func (r *Registry) record(now time.Time, e *entry) protocol.Record {
	endpoint := e.endpoint
	endpoint.WarmUpRemaining = max(0, e.coldUntil.Sub(now))
	endpoint.Loading = nil
	if e.left {
		endpoint = protocol.Endpoint{
			ID: endpoint.ID, Address: endpoint.Address, Service: endpoint.Service,
			Sequence: endpoint.Sequence, State: protocol.Departed,
		}
	}
	return protocol.Record{Endpoint: endpoint, Age: max(0, now.Sub(e.heard))}
}

// insert makes an entry for an endpoint that is new here.
func (r *Registry) insert(id string) *entry {
	e := &entry{hash: NameHash(id)}
	e.endpoint.ID = id
	r.entries[id] = e
	r.byHash[e.hash] = e
	return e
}

func (r *Registry) remove(e *entry) {
	delete(r.entries, e.endpoint.ID)
	if r.byHash[e.hash] == e {
		delete(r.byHash, e.hash)
	}
	if r.byAddress[e.endpoint.Address] == e {
		delete(r.byAddress, e.endpoint.Address)
	}
}

// replace takes in newer contents and says whether routers need to know.
func (r *Registry) replace(now time.Time, e *entry, newer protocol.Endpoint, heard time.Time) (changed bool) {
	coldUntil := now.Add(newer.WarmUpRemaining)
	coldMoved := coldUntil.Sub(e.coldUntil).Abs() > coldTolerance && (newer.WarmUpRemaining > 0 || e.coldUntil.After(now))
	newer.WarmUpRemaining, newer.Loading = 0, nil
	content := contentHash(&newer)
	fresh := now.Sub(heard) <= r.silentAfter()
	changed = e.content != content || e.gone || e.silent && fresh || coldMoved
	if newer.State != e.endpoint.State {
		e.settled = false
	}
	if changed {
		e.endpoint = newer
		e.endpoint.Models = cloneModels(newer.Models)
	}
	e.endpoint.Sequence = newer.Sequence
	e.content = content
	e.coldUntil = coldUntil
	e.heard = later(e.heard, heard)
	e.gone = false
	e.silent = e.silent && !fresh
	if changed {
		r.takeAddress(now, e)
	}
	return changed
}

// takeAddress gives up one of two endpoints with the same address, which can't both be there: the one
// that was not heard of for longer.
func (r *Registry) takeAddress(now time.Time, e *entry) {
	address := e.endpoint.Address
	other := r.byAddress[address]
	if other == nil || other == e || other.gone {
		r.byAddress[address] = e
		return
	}
	if other.heard.After(e.heard) {
		r.giveUp(now, e)
		return
	}
	r.giveUp(now, other)
	r.byAddress[address] = e
}

// giveUp marks an endpoint as gone; a later heartbeat of its own would bring it back.
func (r *Registry) giveUp(now time.Time, e *entry) {
	e.gone, e.silent = true, false
	e.goneSince = now
	r.change(e, true)
}

// change has the routers told.
func (r *Registry) change(e *entry, urgent bool) {
	r.changed[e.endpoint.ID] = struct{}{}
	r.urgent = r.urgent || urgent
}

func cloneModels(models []protocol.LoadedModel) []protocol.LoadedModel {
	own := slices.Clone(models)
	for i := range own {
		own[i].Adapters = slices.Clone(own[i].Adapters)
	}
	return own
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
