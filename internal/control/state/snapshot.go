package state

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/shares"
)

// snapshotFormat is the only format of snapshots so far.
const snapshotFormat = 1

// maxDocumentBytes bounds a document after decompression. It is above maxBodyBytes, because patches can make a document
// larger than any body.
const maxDocumentBytes = 64 << 20

// snapshotMessage is the encoded form of the complete state.
type snapshotMessage struct {
	Format              int               `cbor:"1,keyasint"`
	Document            []byte            `cbor:"2,keyasint,omitempty"` // empty before the first configuration
	Changes             []snapshotChange  `cbor:"3,keyasint,omitempty"` // those of the change log, oldest first
	ForgottenGeneration int64             `cbor:"4,keyasint,omitempty"` // as in changeLog
	Compressed          bool              `cbor:"5,keyasint,omitempty"` // Document is compressed (zlib)
	Shares              *shares.Table     `cbor:"6,keyasint,omitempty"` // nil: Sequence is 0, or the build knew none
	Departures          *departures.Table `cbor:"7,keyasint,omitempty"` // nil: as for Shares
}

// snapshotChange is the encoded form of an acceptedChange: an array, because there are thousands of them.
type snapshotChange struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	Generation  int64
	Index       uint64
	Method      string
	Bytes       int
}

// Snapshot implements replica.Machine: it returns the complete state, for Restore.
func (m *Machine) Snapshot() []byte {
	message := snapshotMessage{
		Format:              snapshotFormat,
		Changes:             make([]snapshotChange, 0, len(m.log.changes)),
		ForgottenGeneration: m.log.forgottenGeneration,
	}
	if m.shares.Sequence > 0 {
		message.Shares = &m.shares
	}
	if m.departures.Sequence > 0 {
		message.Departures = &m.departures
	}
	if m.document != nil {
		message.Document, message.Compressed = compressDocument(m.document.Encode())
	}
	for i := range m.log.changes {
		change := &m.log.changes[i]
		message.Changes = append(message.Changes, snapshotChange{
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

// compressDocument compresses a large document, because snapshots are sent to members over their links. It returns the
// document itself where that saves nothing.
func compressDocument(document []byte) (encoded []byte, compressed bool) {
	if len(document) <= compressAboveBytes {
		return document, false
	}
	encoded, err := compress(document)
	if err != nil || len(encoded) >= len(document) {
		return document, false
	}
	return encoded, true
}

var (
	errSnapshotFormat    = errors.New("unknown format")
	errFingerprintLength = errors.New("invalid length of a fingerprint")
)

// Restore implements replica.Machine: it replaces the complete state by that of a snapshot. After an error the state is
// unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	restored, err := restore(snapshot)
	if err != nil {
		return fmt.Errorf("state: restore snapshot: %w", err)
	}
	m.document, m.log = restored.document, restored.log
	m.shares, m.departures = restored.shares, restored.departures
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
	m.log.forgottenGeneration = message.ForgottenGeneration
	if message.Shares != nil {
		m.shares = *message.Shares
	}
	if message.Departures != nil {
		m.departures = *message.Departures
	}
	document, err := message.document()
	if err != nil {
		return nil, err
	}
	m.document = document
	var history []Version
	for i := range message.Changes {
		change, err := message.Changes[i].accepted()
		if err != nil {
			return nil, err
		}
		m.log.add(change)
		history = append(history, change.version)
	}
	m.view.Store(&View{History: history[:max(0, len(history)-1)]}) // publish adds the newest version
	m.publish()
	return m, nil
}

// document returns the decoded document, nil before the first configuration.
func (s *snapshotMessage) document() (*configuration.Document, error) {
	encoded := s.Document
	if s.Compressed {
		var err error
		if encoded, err = decompress(encoded, maxDocumentBytes); err != nil {
			return nil, err
		}
	}
	if len(encoded) == 0 {
		return nil, nil
	}
	return configuration.ParseDocument(encoded)
}

func (s *snapshotChange) accepted() (acceptedChange, error) {
	var identity fingerprint
	if len(s.Fingerprint) != len(identity) {
		return acceptedChange{}, fmt.Errorf("%w: %d bytes", errFingerprintLength, len(s.Fingerprint))
	}
	copy(identity[:], s.Fingerprint)
	return acceptedChange{
		fingerprint: identity,
		version:     Version{Generation: s.Generation, Index: s.Index, Method: s.Method, Bytes: s.Bytes},
	}, nil
}
