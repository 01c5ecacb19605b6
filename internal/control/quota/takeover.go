package quota

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// A holder that is given another one's shares need not wait until that one's issues have left all windows, if it knows them.
//
// A holder issues nothing beyond the headroom of a record that a peer has acknowledged. A peer acknowledges no record that
// lists a share which the holder has lost by the table as applied there. So once every instance that may have acknowledged
// one has applied the change that took the shares away, the newest record that they keep bounds all that the former owner
// has issued and will issue, whether it lives or not. Its successor asks them all, and counts its part of that record as its own
// issues.
//
// Which instances may have acknowledged one: those registered at any time within the holder lease. An instance that was
// dropped from the table before has no lease any more, nor has a holder that is cut off together with it. The table lists
// the former holders, and the own record which of them were dropped longer ago.
//
// Copies are on the disk before they are acknowledged: what all but the former owner know outlives a loss of all power.

const (
	takeoverRetryInterval = 150 * time.Millisecond
	maxRecordPeers        = 3 // that a record is sent to
)

// takeover is the search for the newest record of a former owner.
type takeover struct {
	owner   string // identity
	table   uint64 // sequence of the table that gave the shares
	shares  []int
	answers map[string]bool // by identity of the instances that have answered
	newest  *Record
	askedAt time.Time
}

// RecordCopy is the newest record of another holder.
type RecordCopy struct {
	Record  *Record
	Encoded []byte // as Record.Encode returned it
	ReplyTo string // address of the holder's process that waits for the acknowledgement
}

// CopyKept is an event: a copy that Output.Copies named is synced, or Err says why not.
type CopyKept struct {
	Copy *RecordCopy
	Err  error
}

// Former is what an earlier process of this instance left on its disk.
type Former struct {
	Record *Record // newest of what it issued; nil: there is none that can be read
	Fresh  bool    // no earlier process has issued anything: the disk was empty
	Copies []*RecordCopy
	// CopiesLost says that some copy can't be read: this instance can't say what other holders had issued.
	CopiesLost bool
}

// observeTable takes in the table of shares.
func (h *Holder) observeTable(now time.Time, table shares.Table) {
	for _, holder := range table.Holders {
		h.registered[holder] = now
		delete(h.ended, holder)
	}
	for _, holder := range table.Former {
		if _, known := h.registered[holder]; !known && !h.ended[holder] {
			h.registered[holder] = now // it may have been dropped a moment ago
		}
	}
	if h.hasTable && table.Sequence == h.table.Sequence {
		return
	}
	h.hasTable, h.table = true, table
	for owner, given := range h.ownership.observe(now, table) {
		h.takeovers = append(h.takeovers, &takeover{owner: owner, table: table.Sequence, shares: given, answers: make(map[string]bool)})
	}
}

// needsAck reports whether a record must be acknowledged by a peer: another instance is registered.
func (h *Holder) needsAck() bool {
	return slices.ContainsFunc(h.table.Holders, func(holder string) bool { return holder != h.config.Identity })
}

// shareRecord sends a record to some peers.
func (h *Holder) shareRecord(now time.Time, record *Record) {
	encoded, err := record.Encode()
	if err != nil {
		return // plain fields can always be encoded
	}
	sent := 0
	for _, group := range [][]Peer{h.farPeers, h.nearPeers} { // another zone is less likely to be lost at the same time
		for _, peer := range group {
			if sent < maxRecordPeers && h.table.HasHolder(peer.Identity) {
				sent++
				h.send(peer.Address, &protocol.PeerRecord{
					Origin: h.origin(now), Identity: h.config.Identity, Sequence: record.Sequence, Record: encoded,
				})
			}
		}
	}
}

// peerRecorded keeps another holder's record, unless it lists a share that the holder has lost.
func (h *Holder) peerRecorded(message *protocol.PeerRecord) {
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
	if kept := h.copies[message.Identity]; kept != nil && kept.Record.Sequence > record.Sequence {
		return
	}
	kept := &RecordCopy{Record: record, Encoded: message.Record, ReplyTo: message.Origin.Address}
	h.copies[message.Identity] = kept
	h.out.Copies = append(h.out.Copies, kept)
}

// copyKept acknowledges a record that is on the disk now.
func (h *Holder) copyKept(now time.Time, kept CopyKept) {
	if kept.Err == nil {
		h.send(kept.Copy.ReplyTo, &protocol.PeerRecordAck{Origin: h.origin(now), Sequence: kept.Copy.Record.Sequence})
	}
}

// endedHolders returns the former holders whose leases have ended.
func (h *Holder) endedHolders(now time.Time) []string {
	var ended []string
	for _, holder := range h.table.Former {
		if h.ended[holder] || now.Sub(h.registered[holder]) > h.config.HolderLease+leaseMargin {
			ended = append(ended, holder)
		}
	}
	return ended
}

// peerAskedForCopy answers with the newest record of a holder, once this instance has the table that took its shares.
func (h *Holder) peerAskedForCopy(now time.Time, request *protocol.PeerCopyRequest) {
	if h.table.Sequence < request.Table || h.copiesLost && request.Owner != h.config.Identity {
		return // asked again, or it can't be told
	}
	answer := &protocol.PeerCopy{Origin: h.origin(now), Identity: h.config.Identity, Owner: request.Owner, Table: request.Table}
	switch kept := h.copies[request.Owner]; {
	case request.Owner == h.config.Identity:
		answer.Record = h.encodedIssues(now)
	case kept != nil:
		answer.Record = kept.Encoded
	}
	h.send(request.Origin.Address, answer)
}

// encodedIssues is a record of what this holder issued in the newest interval, for the successor of shares that it has lost.
func (h *Holder) encodedIssues(now time.Time) []byte {
	record := &Record{Sequence: math.MaxUint64, Identity: h.config.Identity, Shares: h.ownership.issuedFor(now)}
	for name := range h.tenants {
		t := h.tenant(now, name)
		record.Tenants = append(record.Tenants, RecordedTenant{Name: name, Issued: t.issued.recordedParts()})
	}
	encoded, err := record.Encode()
	if err != nil {
		return nil
	}
	return encoded
}

// continueTakeovers asks those that have not answered, and ends what is over: the shares are usable by now, or lost again.
func (h *Holder) continueTakeovers(now time.Time) {
	h.takeovers = slices.DeleteFunc(h.takeovers, func(t *takeover) bool {
		t.shares = slices.DeleteFunc(t.shares, func(i int) bool {
			share, owned := h.ownership.owned[i]
			return !owned || share.previous != t.owner || !now.Before(share.usableFrom)
		})
		return len(t.shares) == 0
	})
	for _, t := range h.takeovers {
		if now.Sub(t.askedAt) < takeoverRetryInterval {
			continue
		}
		t.askedAt = now
		for _, peer := range slices.Concat(h.nearPeers, h.farPeers) {
			if !t.answers[peer.Identity] {
				h.send(peer.Address, &protocol.PeerCopyRequest{Origin: h.origin(now), Owner: t.owner, Table: t.table})
			}
		}
		h.finishTakeover(now, t)
	}
}

// copyReceived takes in an answer to a request for a record.
func (h *Holder) copyReceived(now time.Time, copied *protocol.PeerCopy) {
	at := slices.IndexFunc(h.takeovers, func(t *takeover) bool { return t.owner == copied.Owner && t.table == copied.Table })
	if at < 0 {
		return
	}
	t := h.takeovers[at]
	if len(copied.Record) > 0 {
		record, err := DecodeRecord(copied.Record)
		if err != nil || record.Identity != t.owner {
			return
		}
		if t.newest == nil || record.Sequence > t.newest.Sequence {
			t.newest = record
		}
	}
	t.answers[copied.Identity] = true
	h.finishTakeover(now, t)
}

// finishTakeover counts a part of the former owner's issues here and makes the shares usable, once all have answered that may have
// acknowledged a record of it.
func (h *Holder) finishTakeover(now time.Time, t *takeover) {
	if h.copiesLost {
		return
	}
	kept := h.copies[t.owner]
	if kept != nil && (t.newest == nil || kept.Record.Sequence > t.newest.Sequence) {
		t.newest = kept.Record
	}
	for holder, seen := range h.registered {
		if holder != h.config.Identity && holder != t.owner && now.Sub(seen) <= h.config.HolderLease+leaseMargin && !t.answers[holder] {
			return
		}
	}
	if t.newest == nil {
		return
	}
	listed := 0
	for _, i := range t.shares {
		if slices.ContainsFunc(t.newest.Shares, func(s RecordedShare) bool { return s.Index == i }) {
			listed++
			h.ownership.takeOver(now, i)
		}
	}
	h.countIssues(now, t.newest, float64(listed)/float64(max(1, len(t.newest.Shares))))
}

// countIssues counts a part of another holder's issues, and of its headroom, as this one's.
func (h *Holder) countIssues(now time.Time, record *Record, part float64) {
	if part <= 0 {
		return
	}
	for _, recorded := range record.Tenants {
		parts := make([]uint64, len(recorded.Issued))
		for i, amount := range recorded.Issued {
			parts[i] = uint64(math.Ceil(float64(amount) * part))
		}
		h.tenant(now, recorded.Name).issued.restore(parts, uint64(math.Ceil(float64(recorded.Headroom)*part)))
	}
}
