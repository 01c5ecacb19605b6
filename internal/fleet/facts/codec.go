package facts

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FormatVersion is the version of the wire format. Every change of a field needs a new version.
const FormatVersion = 1

// Errors of decoding.
var (
	ErrVersion   = errors.New("unsupported format version of facts: all members must run releases that share one")
	ErrMalformed = errors.New("malformed batch of facts")
	ErrTooLarge  = errors.New("the batch exceeds the size limit")
)

// Codec encodes and decodes facts as CBOR: a batch is [version, [fact...]], a single fact is [version, fact].
type Codec struct {
	enc      cbor.EncMode
	dec      cbor.DecMode
	maxBytes int
	maxFacts int
}

type (
	envelope struct {
		_       struct{} `cbor:",toarray"`
		Version uint64
		Body    cbor.RawMessage
	}
	wireFact struct {
		_          struct{} `cbor:",toarray"`
		Dest       int64
		Endpoint   string
		Kind       uint8
		Number     float64
		For        int64 // durations are in the form of encodeDuration
		Origin     string
		Epoch, Seq uint64
		Age, TTL   int64
	}
)

// MaxEncodedSize returns an upper bound for the bytes that the fact takes up in an encoded batch.
func (f *Fact) MaxEncodedSize() int { return 71 + len(f.Endpoint) + len(f.Origin) }

// NewCodec returns a codec for batches of at most maxFacts facts and maxBytes bytes.
func NewCodec(maxFacts, maxBytes int) (*Codec, error) {
	opts := cbor.CoreDetEncOptions()
	enc, err := opts.EncMode()
	if err != nil {
		return nil, fmt.Errorf("facts: writing CBOR: %w", err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		UTF8: cbor.UTF8RejectInvalid, MaxArrayElements: max(maxFacts, 16), MaxMapPairs: 16, MaxNestedLevels: 4,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("facts: reading CBOR, %d facts at most: %w", maxFacts, err)
	}
	return &Codec{enc, dec, maxBytes, maxFacts}, nil
}

// Encode encodes a batch.
func (c *Codec) Encode(batch []Fact) ([]byte, error) {
	if len(batch) > c.maxFacts {
		return nil, fmt.Errorf("%w: %d facts, at most %d", ErrTooLarge, len(batch), c.maxFacts)
	}
	w := make([]wireFact, len(batch))
	for i := range batch {
		if err := checkEncodable(&batch[i]); err != nil {
			return nil, err
		}
		w[i] = toWire(&batch[i])
	}
	return c.marshal(w)
}

// EncodeOne encodes a single fact.
func (c *Codec) EncodeOne(f Fact) ([]byte, error) {
	if err := checkEncodable(&f); err != nil {
		return nil, err
	}
	return c.marshal(toWire(&f))
}

// checkEncodable refuses negative durations, which encodeDuration can't represent. No table contains them.
func checkEncodable(f *Fact) error {
	if min(f.For, f.Age, f.TTL) < 0 {
		return &FieldError{"for, age or ttl", "is negative"}
	}
	return nil
}

func (c *Codec) marshal(body any) ([]byte, error) {
	raw, err := c.enc.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("facts: %w", err)
	}
	out, err := c.enc.Marshal(envelope{Version: FormatVersion, Body: raw})
	if err != nil {
		return nil, fmt.Errorf("facts: %w", err)
	}
	if len(out) > c.maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(out), c.maxBytes)
	}
	return out, nil
}

// Decode decodes a batch. It does not check the values of the facts; Table.Merge does.
func (c *Codec) Decode(data []byte) ([]Fact, error) {
	var w []wireFact
	if err := c.unmarshal(data, &w); err != nil {
		return nil, err
	}
	if len(w) > c.maxFacts {
		return nil, fmt.Errorf("%w: %d facts, at most %d", ErrTooLarge, len(w), c.maxFacts)
	}
	if err := c.requireCanonical(data, w); err != nil {
		return nil, err
	}
	batch := make([]Fact, len(w))
	for i := range w {
		batch[i] = w[i].toFact()
	}
	return batch, nil
}

// DecodeOne decodes a fact encoded by EncodeOne.
func (c *Codec) DecodeOne(data []byte) (Fact, error) {
	var w wireFact
	if err := c.unmarshal(data, &w); err != nil {
		return Fact{}, err
	}
	if err := c.requireCanonical(data, w); err != nil {
		return Fact{}, err
	}
	return w.toFact(), nil
}

// requireCanonical refuses data that is not byte for byte what this codec would write, such as a null that decodes as
// zero, or a number in a longer form than necessary. Every fact has exactly one encoding, so other data is corrupt.
func (c *Codec) requireCanonical(data []byte, body any) error {
	reencoded, err := c.marshal(body)
	if err != nil {
		return err
	}
	if !bytes.Equal(data, reencoded) {
		return fmt.Errorf("%w: not in the canonical encoding", ErrMalformed)
	}
	return nil
}

func (c *Codec) unmarshal(data []byte, body any) error {
	if len(data) > c.maxBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), c.maxBytes)
	}
	var e envelope
	if err := c.dec.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if e.Version != FormatVersion {
		return fmt.Errorf("%w: got %d, have %d", ErrVersion, e.Version, FormatVersion)
	}
	// A null would leave the body unchanged and decode as an empty batch.
	if len(e.Body) == 0 || e.Body[0]>>5 != 4 {
		return fmt.Errorf("%w: the body is not an array", ErrMalformed)
	}
	if err := c.dec.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// encodeDuration returns a duration as it is sent: whole milliseconds as a negative number of milliseconds, any other
// duration as a positive number of nanoseconds. Most durations are whole milliseconds, and their short form saves a
// third of a fact's bytes, so that the members' bandwidth budget carries more facts.
func encodeDuration(d time.Duration) int64 {
	if d%time.Millisecond == 0 {
		return -int64(d / time.Millisecond)
	}
	return int64(d)
}

// decodeDuration reverses encodeDuration. A number outside the valid range yields a negative duration, which Check
// refuses.
func decodeDuration(n int64) time.Duration {
	if n <= 0 && n >= -int64(MaxValue/time.Millisecond) {
		return time.Duration(-n) * time.Millisecond
	}
	return time.Duration(n)
}

func toWire(f *Fact) wireFact {
	return wireFact{
		Dest: f.Dest, Endpoint: f.Endpoint, Kind: uint8(f.Kind), Number: f.Number, For: encodeDuration(f.For), Origin: f.Origin,
		Epoch: f.Epoch, Seq: f.Seq, Age: encodeDuration(f.Age), TTL: encodeDuration(f.TTL),
	}
}

func (w *wireFact) toFact() Fact {
	return Fact{
		Subject{w.Dest, w.Endpoint},
		Kind(w.Kind),
		Value{w.Number, decodeDuration(w.For)},
		w.Origin, w.Epoch, w.Seq,
		decodeDuration(w.Age), decodeDuration(w.TTL),
	}
}
