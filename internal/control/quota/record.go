package quota

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Record is what a holder stores on its disk about the credit that it issued, for a later process of the same instance. That
// process cannot know how much time has passed since, so it counts the credit as issued just before its own start.
type Record struct {
	Sequence       uint64           `cbor:"1,keyasint"`
	Identity       string           `cbor:"2,keyasint"`
	Shares         []RecordedShare  `cbor:"3,keyasint,omitempty"` // that were usable
	Tenants        []RecordedTenant `cbor:"4,keyasint,omitempty"` // with issued credit in the interval, or with headroom
	ExpiredHolders []string         `cbor:"5,keyasint,omitempty"` // former holders whose leases have ended
	Inherited      []RecordedAmount `cbor:"6,keyasint,omitempty"` // part of Tenants that a previous owner may still issue
}

// RecordedAmount is an amount of one tenant's limit.
type RecordedAmount struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Amount uint64
}

// RecordedShare is a share that was usable.
type RecordedShare struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Since uint64 // as in shares.Share
}

// RecordedTenant is what was issued of one tenant's limit, and what may be issued before the next record.
type RecordedTenant struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Headroom uint64   // that may be issued before the next record
	Issued   []uint64 // by cells of recordedCellLength, newest first, each rounded up
}

// recordedCellLength is the resolution of a record. It is coarser than cellLength to keep records small.
const recordedCellLength = 500 * time.Millisecond

const cellsPerRecordedCell = int64(recordedCellLength / cellLength)

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

// DecodeRecord decodes a record that Encode returned.
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

// recordedCells sums the cells into cells of recordedCellLength, newest first, without the empty ones at the end.
func (s *issuance) recordedCells() []uint64 {
	var cells []uint64
	count := int64(len(s.cells))
	for from := int64(0); from < count; from += cellsPerRecordedCell {
		sum := 0.0
		for n := from; n < min(from+cellsPerRecordedCell, count); n++ {
			sum += s.cells[s.index(s.newest-n)]
		}
		cells = append(cells, uint64(math.Ceil(math.Max(0, sum))))
	}
	for len(cells) > 0 && cells[len(cells)-1] == 0 {
		cells = cells[:len(cells)-1]
	}
	return cells
}

// restore adds the recorded amounts of a record that has at least the given age. The amount of each recorded cell is counted in
// the newest of the cells that it covers, the headroom when it could be issued last.
func (s *issuance) restore(cells []uint64, headroom uint64, age time.Duration) {
	s.addBefore(max(0, age-recordValidity), float64(headroom))
	for i, amount := range cells {
		s.addBefore(age+time.Duration(i)*recordedCellLength, float64(amount))
	}
}

// addBefore counts an amount that was issued the given time ago, or earlier.
func (s *issuance) addBefore(ago time.Duration, amount float64) {
	cell := int64(ago / cellLength)
	if cell >= int64(len(s.cells)) {
		return // it has left the interval
	}
	s.cells[s.index(s.newest-cell)] += amount
	s.sum += amount
}
