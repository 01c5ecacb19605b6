package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	minRecordInterval    = 5 * time.Millisecond   // between the beginnings of two records, while asks wait
	renewRecordInterval  = 200 * time.Millisecond // the same, while none do
	recordTimeout        = 30 * time.Millisecond  // an ask waits so long for a record, then goes to peers
	recordRetryInterval  = 500 * time.Millisecond // after a record that could not be written
	ackTimeout           = 25 * time.Millisecond  // of a record, by a peer
	ackRetryInterval     = 50 * time.Millisecond  // after a record that no peer acknowledged
	recordSequenceGap    = 1 << 20                // between the sequences of two processes
	unknownSequence      = 1 << 40                // of a process that can't read its earlier record
	lowHeadroomFraction  = 0.3                    // of the headroom that is wanted: a new record is due
	headroomCells        = int64(time.Second / cellLength)
	awaitedHeadroomTimes = 2 // what asks wait for is recorded so many times
	largestAskDecay      = 0.95
)

// headroom is what may be issued before another record is synced. While a record is being written, both its headroom
// and that of the record before bound what is issued: either may be the one that a later process finds.
type headroom struct {
	left     float64 // of the newest synced record
	awaited  float64 // what asks wait for
	writing  bool    // a record is being written
	nextLeft float64 // of that record
}

// available is what may be issued now.
func (h *headroom) available() float64 {
	if h.writing {
		return math.Max(0, math.Min(h.left, h.nextLeft))
	}
	return math.Max(0, h.left)
}

func (h *headroom) spend(amount float64) {
	h.left -= amount
	h.nextLeft -= amount
}

// recorder says when a record is due. One is written at a time.
type recorder struct {
	sequence uint64    // of the newest record begun
	writing  bool      // it is not in force yet
	synced   bool      // it is on the disk
	acked    bool      // a peer keeps it, or none needs to
	begunAt  time.Time // of the newest record
	retryAt  time.Time // no record before: the last one could not be written
	awaited  bool      // asks wait for the next record
	ended    int       // former holders that the newest record lists as ended
}

// RecordWritten is an event: the record that Output.Record named is synced, or Err says why not.
type RecordWritten struct {
	Sequence uint64
	Err      error
}

// recordDueAt returns when the record that asks wait for is to begin, or the newest one is given up; zero: neither.
func (h *Holder) recordDueAt() time.Time {
	if h.recorder.writing && h.recorder.synced {
		return h.recorder.begunAt.Add(ackTimeout)
	}
	if h.recorder.writing || !h.recorder.awaited {
		return time.Time{}
	}
	return later(h.recorder.begunAt.Add(minRecordInterval), h.recorder.retryAt)
}

// beginRecord makes a record if asks wait for one, or if some tenant's headroom is low. None follows the one that shutDown made.
func (h *Holder) beginRecord(now time.Time) {
	if h.stopping || h.recorder.writing || now.Before(h.recorder.retryAt) {
		return
	}
	awaited := h.recorder.awaited && now.Sub(h.recorder.begunAt) >= minRecordInterval
	due := h.headroomIsLow() || len(h.endedHolders(now)) > h.recorder.ended
	if awaited || now.Sub(h.recorder.begunAt) >= renewRecordInterval && due {
		h.out.Record = h.newRecord(now, false)
	}
}

// headroomIsLow reports whether some tenant is about to use up its headroom.
func (h *Holder) headroomIsLow() bool {
	for _, t := range h.tenants {
		recent := t.issued.since(headroomCells)
		if t.record.left < lowHeadroomFraction*recent || recent > 0 && t.record.left < t.largest {
			return true
		}
	}
	return false
}

// newRecord makes a record of all that was issued. The last one before the end of the process has no headroom.
func (h *Holder) newRecord(now time.Time, last bool) *Record {
	h.recorder.sequence++
	h.recorder.writing, h.recorder.awaited, h.recorder.begunAt = true, false, now
	record := &Record{Sequence: h.recorder.sequence, Identity: h.config.Identity, Shares: h.ownership.record(now), Ended: h.endedHolders(now)}
	h.recorder.synced, h.recorder.acked, h.recorder.ended = false, !h.needsAck(), len(record.Ended)
	for _, t := range h.tenants {
		wanted := math.Ceil(t.issued.since(headroomCells) + awaitedHeadroomTimes*t.record.awaited + t.largest)
		t.largest *= largestAskDecay
		if last || t.issued.sum <= 0 && t.record.awaited == 0 {
			wanted = 0
		}
		t.record.writing, t.record.nextLeft, t.record.awaited = true, wanted, 0
		record.Tenants = append(record.Tenants, RecordedTenant{
			Name: t.name, Headroom: uint64(wanted), Issued: t.issued.recordedParts(),
		})
	}
	slices.SortFunc(record.Tenants, func(a, b RecordedTenant) int { return cmp.Compare(a.Name, b.Name) })
	h.shareRecord(now, record)
	return record
}

// recordWritten takes in that a record is synced.
func (h *Holder) recordWritten(now time.Time, written RecordWritten) {
	if written.Sequence != h.recorder.sequence || !h.recorder.writing {
		return
	}
	if written.Err != nil {
		h.endRecord(now, false, recordRetryInterval)
		return
	}
	h.recorder.synced = true
	h.endRecordInForce(now)
}

// recordAcknowledged takes in that a peer keeps the newest record.
func (h *Holder) recordAcknowledged(now time.Time, ack *protocol.PeerRecordAck) {
	if ack.Sequence == h.recorder.sequence && h.recorder.writing {
		h.recorder.acked = true
		h.endRecordInForce(now)
	}
}

// failUnacknowledgedRecord gives a record up that no peer has acknowledged in time.
func (h *Holder) failUnacknowledgedRecord(now time.Time) {
	if h.recorder.writing && h.recorder.synced && !h.recorder.acked && now.Sub(h.recorder.begunAt) >= ackTimeout {
		h.endRecord(now, false, ackRetryInterval)
	}
}

func (h *Holder) endRecordInForce(now time.Time) {
	if h.recorder.synced && h.recorder.acked {
		h.endRecord(now, true, 0)
	}
}

// endRecord puts the headroom of a record in force, or gives the record up, and goes on with the asks that waited for it.
func (h *Holder) endRecord(now time.Time, inForce bool, backoff time.Duration) {
	h.recorder.writing = false
	if !inForce {
		h.recorder.retryAt = now.Add(backoff)
	}
	for _, t := range h.tenants {
		if !t.record.writing {
			t.record.left = 0 // it came after the record was made, which does not have it
			continue
		}
		t.record.writing = false
		if inForce {
			t.record.left = t.record.nextLeft
		} else {
			// The disk or a peer may have it all the same.
			t.record.left = math.Min(t.record.left, t.record.nextLeft)
		}
	}
	h.resumeAsks(now, func(a *ask) bool { return a.stage == awaitingRecord && a.record <= h.recorder.sequence })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
