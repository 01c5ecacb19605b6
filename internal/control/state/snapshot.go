package state

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/internal/configuration"
)

// snapshotFormat is the only one so far.
const snapshotFormat = 1

// maxDocumentBytes bounds a document that is unpacked. Amendments may make one larger than any body.
const maxDocumentBytes = 64 << 20

type snapshotMessage struct {
	Format    int             `cbor:"1,keyasint"`
	Document  []byte          `cbor:"2,keyasint,omitempty"` // nothing before the first configuration
	Taken     []snapshotTaken `cbor:"3,keyasint,omitempty"`
	Forgotten int64           `cbor:"4,keyasint,omitempty"` // made by the newest change that is no longer in Taken
	Zlib      bool            `cbor:"5,keyasint,omitempty"` // Document is packed
}

type snapshotTaken struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	Generation  int64
	Index       uint64
	Method      string
	Bytes       int
}

// Snapshot returns the whole state, for Restore.
func (m *Machine) Snapshot() []byte {
	message := snapshotMessage{
		Format:    snapshotFormat,
		Taken:     make([]snapshotTaken, 0, len(m.taken)),
		Forgotten: m.forgotten,
	}
	if m.document != nil {
		message.Document, message.Zlib = packDocument(m.document.Encode())
	}
	for i := range m.taken {
		change := &m.taken[i]
		message.Taken = append(message.Taken, snapshotTaken{
			Fingerprint: change.fingerprint[:],
			Generation:  change.version.Generation,
			Index:       change.version.Index,
			Method:      change.version.Method,
			Bytes:       change.version.Bytes,
		})
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("state: encode snapshot: %v", err)) // numbers and bytes can always be encoded
	}
	return encoded
}

// packDocument packs a large document: a snapshot goes to members over their links.
func packDocument(document []byte) (packed []byte, is bool) {
	if len(document) <= packAboveBytes {
		return document, false
	}
	packed, err := pack(document)
	if err != nil || len(packed) >= len(document) {
		return document, false
	}
	return packed, true
}

var (
	errSnapshotFormat = errors.New("unknown format")
	errFingerprint    = errors.New("fingerprint of another length")
)

// Restore replaces the whole state by that of a snapshot. After an error the state is as it was.
func (m *Machine) Restore(snapshot []byte) error {
	restored, err := restore(snapshot)
	if err != nil {
		return fmt.Errorf("state: restore snapshot: %w", err)
	}
	m.document, m.taken, m.known = restored.document, restored.taken, restored.known
	m.forgotten = restored.forgotten
	m.view.Store(restored.view.Load())
	return nil
}

func restore(snapshot []byte) (*Machine, error) {
	var message snapshotMessage
	if err := cbor.Unmarshal(snapshot, &message); err != nil {
		return nil, err
	}
	if message.Format != snapshotFormat {
		return nil, fmt.Errorf("%w %d", errSnapshotFormat, message.Format)
	}
	m := New()
	m.forgotten = message.Forgotten
	if message.Zlib {
		document, err := unpack(message.Document, maxDocumentBytes)
		if err != nil {
			return nil, err
		}
		message.Document = document
	}
	if len(message.Document) > 0 {
		document, err := configuration.ParseDocument(message.Document)
		if err != nil {
			return nil, err
		}
		m.document = document
	}
	var history []Version
	for _, change := range message.Taken {
		taken, err := change.restore()
		if err != nil {
			return nil, err
		}
		m.remember(taken)
		history = append(history, taken.version)
	}
	m.view.Store(&View{History: history[:max(0, len(history)-1)]})
	m.publish()
	return m, nil
}

func (s *snapshotTaken) restore() (takenChange, error) {
	var mark fingerprint
	if len(s.Fingerprint) != len(mark) {
		return takenChange{}, fmt.Errorf("%w: %d", errFingerprint, len(s.Fingerprint))
	}
	copy(mark[:], s.Fingerprint)
	return takenChange{
		fingerprint: mark,
		version:     Version{Generation: s.Generation, Index: s.Index, Method: s.Method, Bytes: s.Bytes},
	}, nil
}
