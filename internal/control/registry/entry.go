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
	endpoint       protocol.Endpoint // as it said of itself; Sequence is of newest contents
	idHash         uint32            // of the ID
	contentHash    uint64            // hash over what it said
	lastHeartbeat  time.Time         // newest heartbeat at any instance
	lastReached    time.Time         // newest success that a router told of it while it was silent
	warmUpUntil    time.Time
	unresponsive   bool
	tombstone      bool // left, replaced at its address, or given up
	deregistered   bool // it said so itself: final
	tombstoneSince time.Time
	drainInForce   bool // its draining or leaving was acknowledged here as in force everywhere
	revision       uint64
}

// NameHash shortens an endpoint's ID or a router's name for digests. Two that collide share their signs of
// life, which is harmless.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// hashContent covers what an endpoint says of itself, but for what changes with each heartbeat.
func hashContent(e *protocol.Endpoint) uint64 {
	digest := xxhash.New()
	writeText := func(text string) {
		_, _ = digest.WriteString(text) // never fails
		_, _ = digest.Write([]byte{0})
	}
	writeNumber := func(value uint64) {
		var bytes [8]byte
		binary.LittleEndian.PutUint64(bytes[:], value)
		_, _ = digest.Write(bytes[:])
	}
	writeText(e.ID)
	writeText(e.Service)
	writeText(e.Address)
	writeText(e.Zone)
	writeText(e.SoftwareVersion)
	writeNumber(uint64(e.Slots))
	writeNumber(uint64(e.State))
	for _, model := range e.Models {
		writeText(model.Name)
		writeNumber(uint64(model.Generation))
		for _, adapter := range model.Adapters {
			writeText(adapter)
		}
		writeNumber(0)
	}
	return digest.Sum64()
}

// finalSequence is above all that a router may have heard of an endpoint elsewhere: heartbeats that change nothing
// are not told to other instances, so the one that is asked to let an endpoint go may know an older sequence.
const finalSequence = math.MaxUint64

// routerView is the endpoint as routers get it.
func (r *Registry) routerView(now time.Time, e *entry) protocol.Endpoint {
	shown := e.endpoint
	switch {
	case e.deregistered:
		return protocol.Endpoint{
			ID: shown.ID, Service: shown.Service, Address: shown.Address,
			Sequence: finalSequence, State: protocol.Departed,
		}
	case e.tombstone:
		return protocol.Endpoint{
			ID: shown.ID, Service: shown.Service, Address: shown.Address,
			Sequence: shown.Sequence, State: protocol.Departed,
		}
	case e.unresponsive && shown.State == protocol.Ready:
		shown.State = protocol.Unresponsive
	}
	shown.WarmUpRemaining = max(0, e.warmUpUntil.Sub(now))
	shown.Loading = r.loads.remaining(shown.ID, now)
	return shown
}

// peerRecord is the entry as other instances get it.
func (r *Registry) peerRecord(now time.Time, e *entry) protocol.Record {
	endpoint := e.endpoint
	endpoint.WarmUpRemaining = max(0, e.warmUpUntil.Sub(now))
	endpoint.Loading = nil
	if e.deregistered {
		endpoint = protocol.Endpoint{
			ID: endpoint.ID, Address: endpoint.Address, Service: endpoint.Service,
			Sequence: endpoint.Sequence, State: protocol.Departed,
		}
	}
	return protocol.Record{Endpoint: endpoint, HeartbeatAge: max(0, now.Sub(e.lastHeartbeat))}
}

// insert makes an entry for an endpoint that is new here.
func (r *Registry) insert(id string) *entry {
	e := &entry{idHash: NameHash(id)}
	e.endpoint.ID = id
	r.entries[id] = e
	r.byHash[e.idHash] = e
	return e
}

func (r *Registry) remove(e *entry) {
	delete(r.entries, e.endpoint.ID)
	if r.byHash[e.idHash] == e {
		delete(r.byHash, e.idHash)
	}
	if r.byAddress[e.endpoint.Address] == e {
		delete(r.byAddress, e.endpoint.Address)
	}
}

// update takes in newer contents and says whether routers need to know.
func (r *Registry) update(now time.Time, e *entry, newer protocol.Endpoint, heard time.Time) (changed bool) {
	warmUpUntil := now.Add(newer.WarmUpRemaining)
	warmUpChanged := warmUpUntil.Sub(e.warmUpUntil).Abs() > warmUpTolerance && (newer.WarmUpRemaining > 0 || e.warmUpUntil.After(now))
	newer.WarmUpRemaining, newer.Loading = 0, nil
	content := hashContent(&newer)
	fresh := now.Sub(heard) <= r.unresponsiveTimeout()
	changed = e.contentHash != content || e.tombstone || e.unresponsive && fresh || warmUpChanged
	if newer.State != e.endpoint.State {
		e.drainInForce = false
	}
	if changed {
		e.endpoint = newer
		e.endpoint.Models = cloneModels(newer.Models)
	}
	e.endpoint.Sequence = newer.Sequence
	e.contentHash = content
	e.warmUpUntil = warmUpUntil
	e.lastHeartbeat = latest(e.lastHeartbeat, heard)
	e.tombstone = false
	e.unresponsive = e.unresponsive && !fresh
	if changed {
		r.claimAddress(now, e)
	}
	return changed
}

// claimAddress gives up one of two endpoints with the same address, which can't both be there: the one
// that was not heard of for longer.
func (r *Registry) claimAddress(now time.Time, e *entry) {
	address := e.endpoint.Address
	other := r.byAddress[address]
	if other == nil || other == e || other.tombstone {
		r.byAddress[address] = e
		return
	}
	if other.lastHeartbeat.After(e.lastHeartbeat) {
		r.evict(now, e)
		return
	}
	r.evict(now, other)
	r.byAddress[address] = e
}

// evict marks an endpoint as gone; a later heartbeat of its own would bring it back.
func (r *Registry) evict(now time.Time, e *entry) {
	e.tombstone, e.unresponsive = true, false
	e.tombstoneSince = now
	r.queueUpdate(e, true)
}

// queueUpdate has the routers told.
func (r *Registry) queueUpdate(e *entry, urgent bool) {
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

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
