package quota

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Record is what a holder keeps on its disk of what it issued, for a later process of the same instance. How much time
// passed until then is unknown, so that process takes all of it as issued a moment ago.
type Record struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Identity string           `cbor:"2,keyasint"`
	Shares   []RecordedShare  `cbor:"3,keyasint,omitempty"` // that were usable
	Tenants  []RecordedTenant `cbor:"4,keyasint,omitempty"` // with issues in the interval, or headroom
	Ended    []string         `cbor:"5,keyasint,omitempty"` // former holders whose leases have ended
}

// RecordedShare is a share that was usable.
type RecordedShare struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Since uint64 // as in shares.Share
}

// RecordedTenant is what was issued of one tenant's limit, and what may be before the next record.
type RecordedTenant struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Headroom uint64
	Issued   []uint64 // in parts of recordedPart, newest first, each rounded up
}

// recordedPart is the resolution of a record.
const recordedPart = 500 * time.Millisecond

const cellsPerPart = int64(recordedPart / cellLength)

var (
	errRecordTooShort = errors.New("shorter than its checksum")
	errRecordChecksum = errors.New("checksum does not match")
)

const checksumBytes = 8

// Encode returns the record with a checksum.
func (r *Record) Encode() ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("quota: encode record: %w", err)
	}
	hash := xxhash.New()
	_, _ = hash.Write(body) // never fails
	return hash.Sum(body), nil
}

// DecodeRecord reads what Encode returned.
func DecodeRecord(encoded []byte) (*Record, error) {
	if len(encoded) < checksumBytes {
		return nil, fmt.Errorf("quota: decode record: %w", errRecordTooShort)
	}
	body := encoded[:len(encoded)-checksumBytes]
	hash := xxhash.New()
	_, _ = hash.Write(body)
	if string(hash.Sum(nil)) != string(encoded[len(body):]) {
		return nil, fmt.Errorf("quota: decode record: %w", errRecordChecksum)
	}
	var record Record
	if err := cbor.Unmarshal(body, &record); err != nil {
		return nil, fmt.Errorf("quota: decode record: %w", err)
	}
	return &record, nil
}

// recordedParts sums cells into parts, newest first, without the empty ones at the end.
func (s *issuance) recordedParts() []uint64 {
	var parts []uint64
	count := int64(len(s.cells))
	for from := int64(0); from < count; from += cellsPerPart {
		sum := 0.0
		for n := from; n < min(from+cellsPerPart, count); n++ {
			sum += s.cells[s.at(s.newest-n)]
		}
		parts = append(parts, uint64(math.Ceil(math.Max(0, sum))))
	}
	for len(parts) > 0 && parts[len(parts)-1] == 0 {
		parts = parts[:len(parts)-1]
	}
	return parts
}

// restore takes in recorded parts as if the record were of this moment: each counts in the newest cell of its part.
func (s *issuance) restore(parts []uint64, headroom uint64) {
	s.add(float64(headroom))
	for i, part := range parts {
		cell := int64(i) * cellsPerPart
		if cell >= int64(len(s.cells)) {
			break
		}
		s.cells[s.at(s.newest-cell)] += float64(part)
		s.sum += float64(part)
	}
}
