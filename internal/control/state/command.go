package state

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/shares"
)

// Methods of a change.
const (
	Replace = http.MethodPut   // the body is the complete configuration
	Patch   = http.MethodPatch // the body upserts and deletes named items
)

// maxBodyBytes bounds the body of a change after decompression.
const maxBodyBytes = 8 << 20

// ChangeConfiguration is the command of an operator's change.
type ChangeConfiguration struct {
	Method     string `cbor:"1,keyasint"` // Replace or Patch
	IfMatch    int64  `cbor:"2,keyasint"` // the generation that the change builds on; 0: there is no configuration yet
	Body       []byte `cbor:"3,keyasint"`
	Compressed bool   `cbor:"4,keyasint,omitempty"` // Body is compressed (zlib)
}

// commandMessage is the encoded form of all commands: a ChangeConfiguration, or one of the others. Builds that know only the former
// reject the others.
type commandMessage struct {
	ChangeConfiguration
	Registration *shares.Registration  `cbor:"5,keyasint,omitempty"`
	Assignment   *shares.Assignment    `cbor:"6,keyasint,omitempty"`
	Departure    *departures.Departure `cbor:"7,keyasint,omitempty"`
}

// NewRegistration returns the encoded command that lists an instance among those that can hold shares of limits.
func NewRegistration(identity string) ([]byte, error) {
	return encodeCommand(commandMessage{Registration: &shares.Registration{Identity: identity}})
}

// NewAssignment returns the encoded command that divides the limits among the holders.
func NewAssignment(assignment shares.Assignment) ([]byte, error) {
	return encodeCommand(commandMessage{Assignment: &assignment})
}

// NewDeparture returns the encoded command that records that an endpoint has announced its end.
func NewDeparture(departure departures.Departure) ([]byte, error) {
	return encodeCommand(commandMessage{Departure: &departure})
}

func encodeCommand(command commandMessage) ([]byte, error) {
	encoded, err := cbor.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("state: encode command: %w", err)
	}
	return encoded, nil
}

// NewCommand returns the encoded command of a change. Large bodies are compressed, because every member writes the
// command to its disk and sends it to its successor, which may be in another zone.
func NewCommand(method string, ifMatch int64, body []byte) ([]byte, error) {
	change := ChangeConfiguration{Method: method, IfMatch: ifMatch, Body: body}
	if len(body) > compressAboveBytes {
		compressed, err := compress(body)
		if err != nil {
			return nil, fmt.Errorf("state: compress change: %w", err)
		}
		if len(compressed) < len(body) {
			change.Body, change.Compressed = compressed, true
		}
	}
	command, err := cbor.Marshal(change)
	if err != nil {
		return nil, fmt.Errorf("state: encode change: %w", err)
	}
	return command, nil
}

var errTooLarge = errors.New("body is too large")

// decodeCommand returns the command with the body of its change decompressed.
func decodeCommand(encoded []byte) (*commandMessage, error) {
	var change commandMessage
	if err := cbor.Unmarshal(encoded, &change); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if change.Compressed {
		body, err := decompress(change.Body, maxBodyBytes)
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

// fingerprint identifies a change, whether or not its body was compressed on the way: the SHA-256 of its method, base
// version and body.
type fingerprint [sha256.Size]byte

func (c *ChangeConfiguration) fingerprint() fingerprint {
	hash := sha256.New()
	header := binary.AppendUvarint(nil, uint64(len(c.Method)))
	header = append(header, c.Method...)
	header = binary.AppendVarint(header, c.IfMatch)
	hash.Write(header)
	hash.Write(c.Body)
	var sum fingerprint
	hash.Sum(sum[:0])
	return sum
}
