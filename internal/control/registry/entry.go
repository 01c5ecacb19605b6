package registry

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"raventrestle/internal/protocol"
)

// entry is what this instance knows of one endpoint, or its tombstone.
type entry struct {
	endpoint       protocol.Endpoint // as it reported itself; Sequence is that of the newest report
	idHash         uint32            // NameHash of the ID
	contentHash    uint64            // hashContent of the newest report; 0: there was none
	lastHeartbeat  time.Time         // newest heartbeat at any instance
	lastReached    time.Time         // newest success of a router's call that was reported
	warmUpUntil    time.Time
	unresponsive   bool      // no heartbeat for unresponsiveTimeout
	tombstone      bool      // deregistered or evicted
	deregistered   bool      // the endpoint announced its end itself; its ID never returns
	tombstoneSince time.Time // when it became a tombstone
	drainInForce   bool      // its draining or deregistration was acknowledged here as in force everywhere
	revision       uint64    // of the update that carried its newest change to the routers
}

// lastSign is when the endpoint last gave a sign of being alive, to an instance or to a router.
func (e *entry) lastSign() time.Time { return latest(e.lastHeartbeat, e.lastReached) }

// NameHash shortens an endpoint's ID or a router's name for digests. Two names that collide share their liveness,
// which is harmless.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// hashContent covers what an endpoint reports of itself, except what changes with each heartbeat (sequence, warm-up).
// Instances compare the hashes, so its input is part of the protocol between them.
//
// A field that is left out here is not sent on when it alone changes. One that is added makes builds with and without it
// disagree while they run together: their digests differ all the time, they exchange summaries each
// minFullExchangeInterval, and a record that the older build passes on lacks the field. Both end with the older build.
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

// finalSequence is the sequence under which routers learn of a deregistration. It is above any that a router may have
// from another instance: heartbeats without a change are not replicated, so the instance that is asked to deregister an
// endpoint may know an older sequence than a router does.
const finalSequence = math.MaxUint64

// routerView returns the endpoint as routers get it.
func (r *Registry) routerView(now time.Time, e *entry) protocol.Endpoint {
	view := e.endpoint
	switch {
	case e.deregistered:
		return departed(e, finalSequence)
	case e.tombstone:
		return departed(e, view.Sequence)
	case e.unresponsive && view.State == protocol.Ready:
		view.State = protocol.Unresponsive
	}
	view.WarmUpRemaining = max(0, e.warmUpUntil.Sub(now))
	view.Loading = r.loads.remaining(view.ID, now)
	return view
}

// peerRecord returns the endpoint as other instances get it.
func (r *Registry) peerRecord(now time.Time, e *entry) protocol.Record {
	endpoint := e.endpoint
	endpoint.WarmUpRemaining = max(0, e.warmUpUntil.Sub(now))
	endpoint.Loading = nil
	if e.deregistered {
		endpoint = departed(e, endpoint.Sequence)
	}
	return protocol.Record{Endpoint: endpoint, HeartbeatAge: max(0, now.Sub(e.lastHeartbeat))}
}

// departed returns what is sent of a tombstone.
func departed(e *entry, sequence uint64) protocol.Endpoint {
	return protocol.Endpoint{
		ID: e.endpoint.ID, Service: e.endpoint.Service, Address: e.endpoint.Address,
		Sequence: sequence, State: protocol.Departed,
	}
}

// update takes in a newer report and returns whether routers need to know.
func (r *Registry) update(now time.Time, e *entry, newer protocol.Endpoint, lastHeartbeat time.Time) (changed bool) {
	warmUpUntil := now.Add(newer.WarmUpRemaining)
	warmUpChanged := warmUpUntil.Sub(e.warmUpUntil).Abs() > warmUpTolerance &&
		(newer.WarmUpRemaining > 0 || e.warmUpUntil.After(now))
	newer.WarmUpRemaining, newer.Loading = 0, nil
	content := hashContent(&newer)
	fresh := now.Sub(lastHeartbeat) <= r.unresponsiveTimeout()
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
	e.lastHeartbeat = latest(e.lastHeartbeat, lastHeartbeat)
	e.tombstone = false
	e.unresponsive = e.unresponsive && !fresh
	if changed {
		r.claimAddress(now, e)
	}
	return changed
}

func cloneModels(models []protocol.LoadedModel) []protocol.LoadedModel {
	clone := slices.Clone(models)
	for i := range clone {
		clone[i].Adapters = slices.Clone(clone[i].Adapters)
	}
	return clone
}
