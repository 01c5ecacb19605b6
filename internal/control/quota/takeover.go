package quota

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// A holder that is given another holder's shares may use them at once if it knows what that holder issued. It does not have to
// wait until that credit has left all windows.
//
// A holder issues nothing beyond the headroom of a record that a peer has acknowledged. A peer does not acknowledge a record
// that lists a share which the holder has lost according to the table applied at the peer. So once every instance that may have
// acknowledged a record has applied the change that reassigned the shares, the newest record that they store is an upper bound
// of what the previous owner has issued and will issue, whether that owner is running or not. The new owner requests the record
// from all of them, and counts its part of what the newest one lists as issued by itself.
//
// The instances that may have acknowledged a record are those that were registered at any time within the holder lease. An
// instance that was removed from the table earlier has no valid lease, and neither has a holder that was partitioned together
// with it. The table lists the former holders, and a holder's record lists those of them whose leases have ended.
//
// Copies are synced to disk before they are acknowledged, so the copies at the peers of a previous owner survive a power loss of
// all machines.

const (
	takeoverRetryInterval = 150 * time.Millisecond
	maxRecordReplicas     = 3 // peers that a record is sent to
)

// takeover is the retrieval of the newest record of a previous owner.
type takeover struct {
	owner         string          // identity of the previous owner
	tableSequence uint64          // of the table that reassigned the shares
	shares        []int           // indexes
	answered      map[string]bool // identities of the instances that have answered
	newestRecord  *Record         // newest of the received records and the local copy; nil: none yet
	madeBefore    time.Time       // the previous owner made that record before
	requestedAt   time.Time       // zero: not yet
}

// RecordCopy is the newest record of another holder.
type RecordCopy struct {
	Record     *Record
	Encoded    []byte    // as returned by Record.Encode
	AckAddress string    // address of the holder's process, which waits for the acknowledgement
	ReceivedAt time.Time // by this process; zero: by an earlier one
}

// CopyWritten is an event: a copy in Output.Copies is synced, or Err is the reason why not.
type CopyWritten struct {
	Copy *RecordCopy
	Err  error
}

// PersistedState is what an earlier process of this instance left on its disk.
type PersistedState struct {
	Record    *Record       // newest record of issued credit; nil: none is readable
	DiskEmpty bool          // the disk was empty, so no earlier process has issued credit
	Copies    []*RecordCopy // of other holders' records
	// CopiesUnreadable reports that some copy cannot be read, so this instance does not know what other holders issued.
	CopiesUnreadable bool
}

// observeTable applies the table of shares.
func (h *Holder) observeTable(now time.Time, table shares.Table) {
	for _, holder := range table.Holders {
		h.lastRegisteredAt[holder] = now
		delete(h.expiredBeforeStart, holder)
	}
	for _, holder := range table.FormerHolders {
		if _, known := h.lastRegisteredAt[holder]; !known && !h.expiredBeforeStart[holder] {
			h.lastRegisteredAt[holder] = now // it may have been removed just before
		}
	}
	if h.hasTable && table.Sequence == h.table.Sequence {
		return
	}
	h.hasTable, h.table = true, table
	for owner, reassigned := range h.ownership.observeTable(now, table) {
		h.takeovers = append(h.takeovers, &takeover{
			owner: owner, tableSequence: table.Sequence, shares: reassigned, answered: make(map[string]bool),
		})
	}
}

// needsAck reports whether a record must be acknowledged by a peer, which is so if another instance is registered.
func (h *Holder) needsAck() bool {
	return slices.ContainsFunc(h.table.Holders, func(holder string) bool { return holder != h.config.Identity })
}

// replicateRecord sends a record to at most maxRecordReplicas peers.
func (h *Holder) replicateRecord(now time.Time, record *Record) {
	encoded, err := record.Encode()
	if err != nil {
		return // cannot happen: all fields are encodable
	}
	sent := 0
	for _, group := range [][]Peer{h.farPeers, h.nearPeers} { // another zone is less likely to fail at the same time
		for _, peer := range group {
			if sent < maxRecordReplicas && h.table.HasHolder(peer.Identity) {
				sent++
				h.send(peer.Address, &protocol.PeerRecord{
					Origin: h.origin(now), Identity: h.config.Identity, Sequence: record.Sequence, Record: encoded,
				})
			}
		}
	}
}

// peerRecordReceived stores another holder's record unless it lists a share that the holder has lost.
func (h *Holder) peerRecordReceived(now time.Time, message *protocol.PeerRecord) {
	record, err := DecodeRecord(message.Record)
	if err != nil || record.Identity != message.Identity || record.Sequence != message.Sequence {
		return
	}
	for _, share := range record.Shares {
		if share.Index < 0 || share.Index >= len(h.table.Shares) {
			return
		}
		if known := h.table.Shares[share.Index]; known.Owner != message.Identity || known.Since != share.Since {
			return
		}
	}
	if existing := h.copies[message.Identity]; existing != nil && existing.Record.Sequence > record.Sequence {
		return
	}
	received := &RecordCopy{Record: record, Encoded: message.Record, AckAddress: message.Origin.Address, ReceivedAt: now}
	h.copies[message.Identity] = received
	h.output.Copies = append(h.output.Copies, received)
}

// copyWritten acknowledges a record whose copy is synced.
func (h *Holder) copyWritten(now time.Time, written CopyWritten) {
	if written.Err == nil {
		h.send(written.Copy.AckAddress, &protocol.PeerRecordAck{Origin: h.origin(now), Sequence: written.Copy.Record.Sequence})
	}
}

// expiredHolders returns the former holders whose leases have ended.
func (h *Holder) expiredHolders(now time.Time) []string {
	var expired []string
	for _, holder := range h.table.FormerHolders {
		if h.expiredBeforeStart[holder] || now.Sub(h.lastRegisteredAt[holder]) > h.config.HolderLease+leaseMargin {
			expired = append(expired, holder)
		}
	}
	return expired
}

// copyRequestReceived answers with the newest record of a holder once this instance has applied the table that reassigned its
// shares.
func (h *Holder) copyRequestReceived(now time.Time, request *protocol.PeerCopyRequest) {
	if h.table.Sequence < request.Table || h.copiesUnreadable && request.Owner != h.config.Identity {
		return // the requester retries, or this instance cannot know the newest record
	}
	answer := &protocol.PeerCopy{Origin: h.origin(now), Identity: h.config.Identity, Owner: request.Owner, Table: request.Table}
	switch stored := h.copies[request.Owner]; {
	case request.Owner == h.config.Identity:
		answer.Record = h.encodeIssuedCredit(now)
	case stored != nil:
		answer.Record, answer.Age = stored.Encoded, now.Sub(h.madeBefore(stored))
	}
	h.send(request.Origin.Address, answer)
}

// encodeIssuedCredit returns a record of what this holder issued in the newest interval. It is meant for the new owner of shares
// that this holder has lost.
func (h *Holder) encodeIssuedCredit(now time.Time) []byte {
	record := &Record{
		Sequence: math.MaxUint64, Identity: h.config.Identity, Shares: h.ownership.recentlyUsableShares(now),
		Inherited: h.recordedInheritance(),
	}
	for name := range h.tenants {
		t := h.tenant(now, name)
		record.Tenants = append(record.Tenants, RecordedTenant{Name: name, Issued: t.issued.recordedCells()})
	}
	encoded, err := record.Encode()
	if err != nil {
		return nil
	}
	return encoded
}

// continueTakeovers removes takeovers whose shares are usable or lost again, and requests missing answers for the others.
func (h *Holder) continueTakeovers(now time.Time) {
	h.takeovers = slices.DeleteFunc(h.takeovers, func(t *takeover) bool {
		t.shares = slices.DeleteFunc(t.shares, func(i int) bool {
			share, owned := h.ownership.owned[i]
			return !owned || share.previous != t.owner || !now.Before(share.usableFrom)
		})
		return len(t.shares) == 0
	})
	for _, t := range h.takeovers {
		if now.Sub(t.requestedAt) < takeoverRetryInterval {
			continue
		}
		t.requestedAt = now
		for _, peer := range slices.Concat(h.nearPeers, h.farPeers) {
			if !t.answered[peer.Identity] {
				h.send(peer.Address, &protocol.PeerCopyRequest{Origin: h.origin(now), Owner: t.owner, Table: t.tableSequence})
			}
		}
		h.finishTakeover(now, t)
	}
}

// copyReceived handles a peer's answer to a request for a copy.
func (h *Holder) copyReceived(now time.Time, answer *protocol.PeerCopy) {
	index := slices.IndexFunc(h.takeovers, func(t *takeover) bool { return t.owner == answer.Owner && t.tableSequence == answer.Table })
	if index < 0 {
		return
	}
	t := h.takeovers[index]
	if len(answer.Record) > 0 {
		record, err := DecodeRecord(answer.Record)
		if err != nil || record.Identity != t.owner {
			return
		}
		t.observe(record, now.Add(-max(0, answer.Age)))
	}
	t.answered[answer.Identity] = true
	h.finishTakeover(now, t)
}

// finishTakeover ends a takeover once all instances that may have acknowledged a record of the previous owner have answered. It
// counts this holder's part of the credit that the newest record lists, and makes the shares usable.
func (h *Holder) finishTakeover(now time.Time, t *takeover) {
	if h.copiesUnreadable {
		return
	}
	if stored := h.copies[t.owner]; stored != nil {
		t.observe(stored.Record, h.madeBefore(stored))
	}
	for holder, registeredAt := range h.lastRegisteredAt {
		if holder != h.config.Identity && holder != t.owner &&
			now.Sub(registeredAt) <= h.config.HolderLease+leaseMargin && !t.answered[holder] {
			return
		}
	}
	if t.newestRecord == nil {
		return
	}
	takenOver := 0
	for _, i := range t.shares {
		if slices.ContainsFunc(t.newestRecord.Shares, func(s RecordedShare) bool { return s.Index == i }) {
			takenOver++
			h.ownership.setUsable(now, i)
		}
	}
	h.countIssuedCredit(now, t.newestRecord, t.madeBefore, float64(takenOver)/float64(max(1, len(t.newestRecord.Shares))))
}

// observe keeps the newest record of the previous owner, which made it before the given time.
func (t *takeover) observe(record *Record, madeBefore time.Time) {
	switch {
	case t.newestRecord == nil || record.Sequence > t.newestRecord.Sequence:
		t.newestRecord, t.madeBefore = record, madeBefore
	case record.Sequence == t.newestRecord.Sequence && madeBefore.Before(t.madeBefore):
		t.madeBefore = madeBefore
	}
}

// madeBefore returns a time before which the holder of the copied record made it.
func (h *Holder) madeBefore(stored *RecordCopy) time.Time {
	return later(stored.ReceivedAt, h.startedAt)
}

// countIssuedCredit counts a fraction of the issued credit and the headroom in another holder's record, made before the given
// time, as issued by this holder.
func (h *Holder) countIssuedCredit(now time.Time, record *Record, madeBefore time.Time, fraction float64) {
	if fraction <= 0 {
		return
	}
	part := func(amount uint64) uint64 { return uint64(math.Ceil(float64(amount) * fraction)) }
	age, until := max(0, now.Sub(madeBefore)), madeBefore.Add(recordValidity)
	for _, recorded := range record.Tenants {
		cells := make([]uint64, len(recorded.Issued))
		for i, amount := range recorded.Issued {
			cells[i] = part(amount)
		}
		headroom := part(recorded.Headroom)
		h.tenant(now, recorded.Name).issued.restore(cells, headroom, age)
		h.inherit(now, recorded.Name, float64(headroom), until)
	}
	for _, recorded := range record.Inherited { // the newest recorded cell has it, but it may have been issued later
		amount, issued := float64(part(recorded.Amount)), &h.tenant(now, recorded.Name).issued
		issued.remove(issued.newest-int64(age/cellLength), amount)
		issued.addBefore(max(0, age-recordValidity), amount)
		h.inherit(now, recorded.Name, amount, until)
	}
}
