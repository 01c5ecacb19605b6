package chain

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Snapshot is the applied state up to an entry, as it is stored on disk and sent to members that lack too many
// entries.
type Snapshot struct {
	Point          SnapshotPoint `cbor:"1,keyasint"`
	RecentCommands []CommandID   `cbor:"2,keyasint"` // newest applied commands, oldest first
	Machine        []byte        `cbor:"3,keyasint"` // of the replicated state machine
}

// Encode returns the snapshot in its stored form.
func (s Snapshot) Encode() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("chain: encoding a snapshot: %v", err)) // a snapshot has plain fields only: a programming error
	}
	return body
}

// DecodeSnapshot decodes what Encode returned.
func DecodeSnapshot(body []byte) (Snapshot, error) {
	var s Snapshot
	if err := cbor.Unmarshal(body, &s); err != nil {
		return Snapshot{}, fmt.Errorf("chain: decoding a snapshot: %w", err)
	}
	return s, nil
}
