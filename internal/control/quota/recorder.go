package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	minRecordInterval     = 5 * time.Millisecond            // between the starts of two records while requests wait for one
	idleRecordInterval    = 200 * time.Millisecond          // the same while none waits
	recordWaitTimeout     = 30 * time.Millisecond           // how long a request waits for a record before it is sent to peers
	recordRetryInterval   = 500 * time.Millisecond          // after a record that could not be written
	ackTimeout            = 25 * time.Millisecond           // for a peer's acknowledgement, from the start of the record
	ackRetryInterval      = 50 * time.Millisecond           // after a record that no peer acknowledged in time
	recordValidity        = 1200 * time.Millisecond         // from a record's start: its headroom may be issued so long
	recordSequenceGap     = 1 << 20                         // between the sequences of two processes
	unknownSequence       = 1 << 40                         // first sequence of a process that cannot read its earlier record
	minHeadroomFraction   = 0.3                             // of the recently issued credit: with less headroom a new record is due
	headroomCells         = int64(time.Second / cellLength) // over which recently issued credit is summed
	awaitedHeadroomFactor = 2                               // headroom for waiting requests, as a multiple of what they need
	largestRequestDecay   = 0.95                            // per record
)

// headroom is the amount that may be issued before another record is durable. While a record is being written, both its
// headroom and that of the previous record limit what is issued, because a later process may find either of the two.
type headroom struct {
	remaining     float64 // of the newest durable record
	awaitedAmount float64 // amount needed by requests that wait for a record
	writing       bool    // a record is being written
	nextRemaining float64 // of the record that is being written
}

// available returns the amount that may be issued now.
func (h *headroom) available() float64 {
	if h.writing {
		return math.Max(0, math.Min(h.remaining, h.nextRemaining))
	}
	return math.Max(0, h.remaining)
}

// spend subtracts an issued amount.
func (h *headroom) spend(amount float64) {
	h.remaining -= amount
	h.nextRemaining -= amount
}

// recorder is the progress of writing records. At most one record is written at a time.
type recorder struct {
	sequence           uint64    // of the newest record
	writing            bool      // the newest record is neither durable nor abandoned yet
	synced             bool      // the newest record is on the disk
	acknowledged       bool      // a peer has stored the newest record, or none has to
	startedAt          time.Time // when the newest record was made
	validUntil         time.Time // until when the headroom of the newest durable record may be issued
	retryAt            time.Time // no record is made before, because the previous one failed
	hasWaiters         bool      // requests wait for the next record
	expiredHolderCount int       // number of former holders that the newest record lists as expired
}

// RecordWritten is an event: the record with this sequence is synced, or Err is the reason why not.
type RecordWritten struct {
	Sequence uint64
	Err      error
}

// recordDueAt returns when a record that requests wait for is to be made, or when the newest one is to be abandoned; zero: neither.
func (h *Holder) recordDueAt() time.Time {
	if h.recorder.writing && h.recorder.synced {
		return h.recorder.startedAt.Add(ackTimeout)
	}
	if h.recorder.writing || !h.recorder.hasWaiters {
		return time.Time{}
	}
	return later(h.recorder.startedAt.Add(minRecordInterval), h.recorder.retryAt)
}

// startRecord makes a record if requests wait for one, if the headroom of a tenant is low, or if the lease of a former holder
// has ended. It makes none after shutDown made the last one.
func (h *Holder) startRecord(now time.Time) {
	if h.stopping || h.recorder.writing || now.Before(h.recorder.retryAt) {
		return
	}
	awaited := h.recorder.hasWaiters && now.Sub(h.recorder.startedAt) >= minRecordInterval
	due := h.headroomIsLow() || len(h.expiredHolders(now)) > h.recorder.expiredHolderCount
	if awaited || now.Sub(h.recorder.startedAt) >= idleRecordInterval && due {
		h.output.Record = h.newRecord(now, false)
	}
}

// headroomIsLow reports whether a tenant is about to use up its headroom.
func (h *Holder) headroomIsLow() bool {
	for _, t := range h.tenants {
		recent := t.issued.sumOfNewest(headroomCells)
		if t.headroom.remaining < minHeadroomFraction*recent || recent > 0 && t.headroom.remaining < t.largestRequest {
			return true
		}
	}
	return false
}

// availableHeadroom returns the amount that may be issued to a tenant before another record is durable. A holder that has
// lost its peers, and does not know that a successor has its shares, stops within recordValidity.
func (h *Holder) availableHeadroom(now time.Time, t *tenant) float64 {
	if !now.Before(h.recorder.validUntil) {
		return 0
	}
	return t.headroom.available()
}

// newRecord makes a record of all issued credit. The last one before the process ends has no headroom.
func (h *Holder) newRecord(now time.Time, last bool) *Record {
	h.recorder.sequence++
	h.recorder.writing, h.recorder.hasWaiters, h.recorder.startedAt = true, false, now
	record := &Record{
		Sequence: h.recorder.sequence, Identity: h.config.Identity, Shares: h.ownership.usableShares(now),
		ExpiredHolders: h.expiredHolders(now), Inherited: h.recordedInheritance(),
	}
	h.recorder.synced, h.recorder.acknowledged, h.recorder.expiredHolderCount = false, !h.needsAck(), len(record.ExpiredHolders)
	for _, t := range h.tenants {
		needed := math.Ceil(h.recentDemand(t) + awaitedHeadroomFactor*t.headroom.awaitedAmount + t.largestRequest)
		t.largestRequest *= largestRequestDecay
		if last || t.issued.sum <= 0 && t.headroom.awaitedAmount == 0 {
			needed = 0
		}
		t.headroom.writing, t.headroom.nextRemaining, t.headroom.awaitedAmount = true, needed, 0
		record.Tenants = append(record.Tenants, RecordedTenant{
			Name: t.name, Headroom: uint64(needed), Issued: t.issued.recordedCells(),
		})
	}
	slices.SortFunc(record.Tenants, func(a, b RecordedTenant) int { return cmp.Compare(a.Name, b.Name) })
	h.replicateRecord(now, record)
	return record
}

// recordWritten handles the result of writing a record to the disk.
func (h *Holder) recordWritten(now time.Time, written RecordWritten) {
	if written.Sequence != h.recorder.sequence || !h.recorder.writing {
		return
	}
	if written.Err != nil {
		h.endRecord(now, false, recordRetryInterval)
		return
	}
	h.recorder.synced = true
	h.endRecordIfDurable(now)
}

// recordAcknowledged handles a peer's acknowledgement of the newest record.
func (h *Holder) recordAcknowledged(now time.Time, ack *protocol.PeerRecordAck) {
	if ack.Sequence == h.recorder.sequence && h.recorder.writing {
		h.recorder.acknowledged = true
		h.endRecordIfDurable(now)
	}
}

// abandonUnacknowledgedRecord abandons a record that no peer has acknowledged in time.
func (h *Holder) abandonUnacknowledgedRecord(now time.Time) {
	if h.recorder.writing && h.recorder.synced && !h.recorder.acknowledged && now.Sub(h.recorder.startedAt) >= ackTimeout {
		h.endRecord(now, false, ackRetryInterval)
	}
}

// endRecordIfDurable ends a record that is synced here and at a peer.
func (h *Holder) endRecordIfDurable(now time.Time) {
	if h.recorder.synced && h.recorder.acknowledged {
		h.endRecord(now, true, 0)
	}
}

// endRecord makes the headroom of a durable record available, or abandons the record, and resumes the requests that waited for it.
func (h *Holder) endRecord(now time.Time, durable bool, backoff time.Duration) {
	h.recorder.writing = false
	if durable {
		h.recorder.validUntil = h.recorder.startedAt.Add(recordValidity)
	} else {
		h.recorder.retryAt = now.Add(backoff)
	}
	for _, t := range h.tenants {
		if !t.headroom.writing {
			t.headroom.remaining = 0 // the tenant was added after the record was made, so the record does not include it
			continue
		}
		t.headroom.writing = false
		if durable {
			t.headroom.remaining = t.headroom.nextRemaining
		} else {
			// The record may still be on the disk or at a peer.
			t.headroom.remaining = math.Min(t.headroom.remaining, t.headroom.nextRemaining)
		}
	}
	h.resumeRequests(now, func(r *creditRequest) bool {
		return r.stage == awaitingRecord && r.awaitedRecord <= h.recorder.sequence
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
