package registry

import (
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// message takes in what another instance sent.
func (r *Registry) message(now time.Time, content any) {
	switch content := content.(type) {
	case *protocol.RegistryDelta:
		r.takeDelta(now, content)
	case *protocol.RegistryConfirm:
		r.takeConfirm(now, content)
	case *protocol.RegistrySummary:
		r.takeSummary(now, content)
	case *protocol.RegistryDigest:
		r.takeDigest(now, content)
	case *protocol.LoadingTable:
		r.sender(now, content.Origin)
		r.takeLoading(now, content)
	}
}

func (r *Registry) takeDelta(now time.Time, delta *protocol.RegistryDelta) {
	p := r.sender(now, delta.Origin)
	for i := range delta.Records {
		r.merge(now, p, &delta.Records[i])
	}
	if delta.Whole {
		r.whole = true
	}
	if delta.Sequence == 0 {
		return // answers a summary: nobody waits for its arrival
	}
	p.received = append(p.received, delta.Sequence)
	if delta.Settle {
		r.owe(now, p.address, delta.Sequence)
		r.flushWithin(now, urgentChange)
	}
}

// merge takes in one record: the higher sequence wins, and what left stays away.
func (r *Registry) merge(now time.Time, from *peer, record *protocol.Record) {
	told := record.Endpoint
	heard := now.Add(-max(0, record.Age))
	e := r.entries[told.ID]
	switch {
	case told.State == protocol.Departed:
		r.mergeLeft(now, from, e, told)
		return
	case e == nil && record.Age > r.newsLasts():
		return
	case e == nil:
		e = r.insert(told.ID)
	case e.left, told.Sequence < e.endpoint.Sequence:
		r.correct(now, from, e, &told)
		return
	case e.gone && told.Sequence == e.endpoint.Sequence:
		return // given up here since
	}
	if r.replace(now, e, told, heard) {
		r.change(e, told.State != protocol.Ready)
		r.relay(now, from, e)
	}
}

// newsLasts is how old the newest heartbeat of an endpoint may be that is unknown here. Once the table is whole, one
// that lives would have called since: its end was told to an instance that has restarted, or was forgotten here.
func (r *Registry) newsLasts() time.Duration {
	if r.whole {
		return r.silentAfter()
	}
	return dropAfter
}

func (r *Registry) mergeLeft(now time.Time, from *peer, e *entry, told protocol.Endpoint) {
	if e == nil {
		e = r.insert(told.ID)
		e.endpoint.Address, e.endpoint.Service = told.Address, told.Service
	}
	if e.left {
		return
	}
	e.endpoint.Sequence = max(e.endpoint.Sequence, told.Sequence)
	r.markLeft(now, e)
	r.relay(now, from, e)
}

// correct sends the newer record back.
func (r *Registry) correct(now time.Time, from *peer, e *entry, told *protocol.Endpoint) {
	if !e.left && contentHash(told) == e.content {
		return
	}
	from.hint(e.endpoint.ID)
	r.flushWithin(now, ordinaryChange)
}

// relay passes on what must not wait for the next exchange, for those that the sender can't reach.
func (r *Registry) relay(now time.Time, from *peer, e *entry) {
	if !e.left && e.endpoint.State != protocol.Draining {
		return
	}
	for _, p := range r.order {
		if p != from && p.reachable {
			p.hint(e.endpoint.ID)
			r.flushWithin(now, urgentChange)
		}
	}
}

func (r *Registry) takeConfirm(now time.Time, confirm *protocol.RegistryConfirm) {
	p := r.sender(now, confirm.Origin)
	if confirm.For != r.settings.Origin.Incarnation {
		return
	}
	for _, sequence := range confirm.Received {
		delete(p.outstanding, sequence)
		r.noteReceived(p.address, sequence)
	}
	for _, sequence := range confirm.InForce {
		r.noteInForce(p.address, sequence)
	}
}

// sendSummary opens or answers a full exchange.
func (r *Registry) sendSummary(now time.Time, p *peer, answer bool) {
	summary := &protocol.RegistrySummary{Origin: r.settings.Origin, Answer: answer}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		if e.gone && !e.left {
			continue
		}
		summary.Versions = append(summary.Versions, protocol.RecordVersion{
			ID: id, Sequence: e.endpoint.Sequence, Content: e.content, Departed: e.left,
		})
	}
	p.exchanged = now
	p.needWhole = false
	r.send(p.address, summary)
}

// takeSummary answers with what the sender lacks, and asks for what is lacking here.
func (r *Registry) takeSummary(now time.Time, summary *protocol.RegistrySummary) {
	p := r.sender(now, summary.Origin)
	delta := &protocol.RegistryDelta{Origin: r.settings.Origin, Whole: r.whole && !summary.Answer && !r.maybeStale(now)}
	known := make(map[string]protocol.RecordVersion, len(summary.Versions))
	for _, version := range summary.Versions {
		known[version.ID] = version
	}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		version, present := known[id]
		if r.lacks(now, e, version, present) {
			delta.Records = append(delta.Records, r.record(now, e))
		}
	}
	if len(delta.Records) > 0 || delta.Whole {
		r.send(p.address, delta)
	}
	if !summary.Answer {
		r.sendSummary(now, p, true)
	}
}

// lacks says whether the sender of a version needs the record.
func (r *Registry) lacks(now time.Time, e *entry, version protocol.RecordVersion, present bool) bool {
	switch {
	case e.left:
		return !version.Departed
	case e.gone, now.Sub(e.heard) > dropAfter, version.Departed, r.withheld(now, e):
		return false
	case !present:
		return true
	}
	return e.endpoint.Sequence > version.Sequence && e.content != version.Content
}

// sendDigests tells the other instances who is alive, and compares the tables.
func (r *Registry) sendDigests(now time.Time) {
	table := r.tableHash()
	alive := slices.Sorted(maps.Keys(r.heardHere))
	clear(r.heardHere)
	for _, p := range r.order {
		if !p.reachable {
			continue
		}
		r.compare(now, p, table)
		r.sendDigest(now, p, table, alive)
	}
}

func (r *Registry) sendDigest(now time.Time, p *peer, table uint64, alive []uint32) {
	unchanged := table == p.tableSent && p.routersTold && len(alive) == 0
	if unchanged && now.Sub(p.digestSent) < digestAtLeast {
		return
	}
	digest := &protocol.RegistryDigest{Origin: r.settings.Origin, Alive: alive, Table: table}
	if !p.routersTold || now.Sub(p.digestSent) >= digestAtLeast {
		digest.RoutersTold, digest.Routers = true, r.routers.own
	}
	p.routersTold, p.tableSent, p.digestSent = true, table, now
	r.send(p.address, digest)
}

// compare opens a full exchange where the tables differ for longer than deltas need.
func (r *Registry) compare(now time.Time, p *peer, table uint64) {
	if !p.tableKnown || p.table == table {
		p.differed = 0
		return
	}
	p.differed++
	if p.differed >= mismatches && now.Sub(p.exchanged) >= exchangeInterval {
		p.differed = 0
		r.sendSummary(now, p, false)
	}
}

func (r *Registry) takeDigest(now time.Time, digest *protocol.RegistryDigest) {
	p := r.sender(now, digest.Origin)
	for _, hash := range digest.Alive {
		if e := r.byHash[hash]; e != nil {
			r.revive(now, e)
		}
	}
	p.table, p.tableKnown = digest.Table, true
	if digest.RoutersTold {
		p.routers = digest.Routers
		r.routers.refresh(now, r.peers)
	}
}

// tableHash covers the endpoints that are there.
func (r *Registry) tableHash() uint64 {
	var sum uint64
	for _, e := range r.entries {
		if !e.gone {
			sum ^= e.content
		}
	}
	return sum
}
