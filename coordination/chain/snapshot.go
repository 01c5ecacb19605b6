package chain

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// snapshotRecentLimit is how many identities of applied commands are remembered against repetition.
const maxRecentCommands = 1024

// Snapshot is the applied state up to an index, as it lies on disk and travels to members that lack too much.
type Snapshot struct {
	Point          SnapshotPoint `cbor:"1,keyasint"`
	RecentCommands []CommandID   `cbor:"2,keyasint"`
	Machine        []byte        `cbor:"3,keyasint"`
}

// Encode returns the snapshot's bytes.
func (s Snapshot) Encode() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("chain: a snapshot can't be encoded: %v", err)) // only plain fields: a fault of the program
	}
	return body
}

// DecodeSnapshot reads what Encode made.
func DecodeSnapshot(body []byte) (Snapshot, error) {
	var s Snapshot
	if err := cbor.Unmarshal(body, &s); err != nil {
		return Snapshot{}, fmt.Errorf("chain: reading a snapshot: %w", err)
	}
	return s, nil
}

// recentCommands remembers the newest applied identities, oldest first.
type recentCommands struct {
	order []CommandID
	ids   map[CommandID]struct{}
}

func newRecent(order []CommandID) recentCommands {
	r := recentCommands{order: append([]CommandID(nil), order...), ids: make(map[CommandID]struct{}, len(order))}
	for _, id := range order {
		r.ids[id] = struct{}{}
	}
	return r
}

func (r *recentCommands) has(id CommandID) bool {
	_, held := r.ids[id]
	return held
}

func (r *recentCommands) add(id CommandID) {
	r.order = append(r.order, id)
	r.ids[id] = struct{}{}
	if len(r.order) > maxRecentCommands {
		delete(r.ids, r.order[0])
		r.order = r.order[1:]
	}
}
