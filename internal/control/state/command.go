// Package state is the control plane's replicated state: the operator's configuration and the answers to
// the changes that were taken. It is a deterministic machine; the replicas apply the same commands to it in
// the same order.
package state

import (
	"bytes"
	"compress/zlib"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// Methods of a change.
const (
	Replace = http.MethodPut   // the body is the whole configuration
	Patch   = http.MethodPatch // the body changes named items
)

const (
	maxBodyBytes   = 8 << 20  // of a change, unpacked
	packAboveBytes = 16 << 10 // smaller bodies are not worth the time
)

// ChangeConfiguration is the command of an operator's change.
type ChangeConfiguration struct {
	Method     string `cbor:"1,keyasint"`
	IfMatch    int64  `cbor:"2,keyasint"` // the generation that the change builds on
	Body       []byte `cbor:"3,keyasint"`
	Compressed bool   `cbor:"4,keyasint,omitempty"` // Body is packed
}

// NewCommand returns the encoded command of a change. A large body is packed: it is written to the disk and
// sent to another zone by each member.
func NewCommand(method string, ifMatch int64, body []byte) ([]byte, error) {
	change := ChangeConfiguration{Method: method, IfMatch: ifMatch, Body: body}
	if len(body) > packAboveBytes {
		packed, err := pack(body)
		if err != nil {
			return nil, err
		}
		if len(packed) < len(body) {
			change.Body, change.Compressed = packed, true
		}
	}
	command, err := cbor.Marshal(change)
	if err != nil {
		return nil, fmt.Errorf("state: encode change: %w", err)
	}
	return command, nil
}

func pack(body []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := zlib.NewWriterLevel(&packed, zlib.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("state: pack change: %w", err)
	}
	if _, err := writer.Write(body); err != nil {
		return nil, fmt.Errorf("state: pack change: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("state: pack change: %w", err)
	}
	return packed.Bytes(), nil
}

var errTooLarge = errors.New("body is too large")

func unpack(body []byte, most int) ([]byte, error) {
	reader, err := zlib.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("unpack body: %w", err)
	}
	unpacked, err := io.ReadAll(io.LimitReader(reader, int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("unpack body: %w", err)
	}
	if len(unpacked) > most {
		return nil, errTooLarge
	}
	return unpacked, nil
}

// decodeCommand returns the change with its body unpacked.
func decodeCommand(command []byte) (*ChangeConfiguration, error) {
	var change ChangeConfiguration
	if err := cbor.Unmarshal(command, &change); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if change.Compressed {
		body, err := unpack(change.Body, maxBodyBytes)
		if err != nil {
			return nil, err
		}
		change.Body, change.Compressed = body, false
	}
	if len(change.Body) > maxBodyBytes {
		return nil, errTooLarge
	}
	return &change, nil
}

// fingerprint tells changes apart, whether or not they came packed.
type fingerprint [sha256.Size]byte

func (c *ChangeConfiguration) fingerprint() fingerprint {
	hash := sha256.New()
	head := binary.AppendUvarint(nil, uint64(len(c.Method)))
	head = append(head, c.Method...)
	head = binary.AppendVarint(head, c.IfMatch)
	hash.Write(head)
	hash.Write(c.Body)
	var sum fingerprint
	hash.Sum(sum[:0])
	return sum
}
