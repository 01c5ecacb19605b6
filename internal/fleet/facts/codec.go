package facts

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version of the form on the wire. A change of any field is another version.
const Version = 1

// Errors of reading what was told.
var (
	ErrVersion = errors.New("another version of the facts' form: members must run versions that share one")
	ErrForm    = errors.New("not a batch of facts")
	ErrSize    = errors.New("the batch is larger than allowed")
)

// Codec writes and reads facts as CBOR: a batch is [version, [fact...]], a fact is [version, fact].
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
		For        int64 // durations: see span
		Origin     string
		Epoch, Seq uint64
		Age, TTL   int64
	}
)

// WireMost is the most bytes that a fact takes up in a batch.
func (f *Fact) WireMost() int { return 71 + len(f.Endpoint) + len(f.Origin) }

// NewCodec for batches up to so many facts and bytes.
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

// Encode writes a batch.
func (c *Codec) Encode(batch []Fact) ([]byte, error) {
	if len(batch) > c.maxFacts {
		return nil, fmt.Errorf("%w: %d facts, at most %d", ErrSize, len(batch), c.maxFacts)
	}
	w := make([]wireFact, len(batch))
	for i := range batch {
		if err := writable(&batch[i]); err != nil {
			return nil, err
		}
		w[i] = wire(&batch[i])
	}
	return c.seal(w)
}

// EncodeOne writes a fact by itself.
func (c *Codec) EncodeOne(f Fact) ([]byte, error) {
	if err := writable(&f); err != nil {
		return nil, err
	}
	return c.seal(wire(&f))
}

// writable refuses what span can't write; no table holds it.
func writable(f *Fact) error {
	if min(f.For, f.Age, f.TTL) < 0 {
		return &FieldError{"for, age or ttl", "is negative"}
	}
	return nil
}

func (c *Codec) seal(body any) ([]byte, error) {
	raw, err := c.enc.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("facts: %w", err)
	}
	out, err := c.enc.Marshal(envelope{Version: Version, Body: raw})
	if err != nil {
		return nil, fmt.Errorf("facts: %w", err)
	}
	if len(out) > c.maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrSize, len(out), c.maxBytes)
	}
	return out, nil
}

// Decode reads a batch; its facts are still to be checked, which Merge does.
func (c *Codec) Decode(data []byte) ([]Fact, error) {
	var w []wireFact
	if err := c.open(data, &w); err != nil {
		return nil, err
	}
	if len(w) > c.maxFacts {
		return nil, fmt.Errorf("%w: %d facts, at most %d", ErrSize, len(w), c.maxFacts)
	}
	if err := c.same(data, w); err != nil {
		return nil, err
	}
	batch := make([]Fact, len(w))
	for i := range w {
		batch[i] = w[i].fact()
	}
	return batch, nil
}

// DecodeOne reads a fact written by EncodeOne.
func (c *Codec) DecodeOne(data []byte) (Fact, error) {
	var w wireFact
	if err := c.open(data, &w); err != nil {
		return Fact{}, err
	}
	if err := c.same(data, w); err != nil {
		return Fact{}, err
	}
	return w.fact(), nil
}

// same refuses what isn't byte for byte what we would write: a null read as zero, a number in a longer form. There is
// one way to write a fact, so whatever else came was garbled.
func (c *Codec) same(data []byte, body any) error {
	again, err := c.seal(body)
	if err != nil {
		return err
	}
	if !bytes.Equal(data, again) {
		return fmt.Errorf("%w: not in the one form in which facts are written", ErrForm)
	}
	return nil
}

func (c *Codec) open(data []byte, body any) error {
	if len(data) > c.maxBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrSize, len(data), c.maxBytes)
	}
	var e envelope
	if err := c.dec.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrForm, err)
	}
	if e.Version != Version {
		return fmt.Errorf("%w: got %d, have %d", ErrVersion, e.Version, Version)
	}
	// null would leave the body as it is and read as an empty batch.
	if len(e.Body) == 0 || e.Body[0]>>5 != 4 {
		return fmt.Errorf("%w: the body is no array", ErrForm)
	}
	if err := c.dec.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("%w: %w", ErrForm, err)
	}
	return nil
}

// span is a duration on the wire: nanoseconds or, of whole milliseconds, those below zero. Most are whole milliseconds,
// and that saves a third of a fact's bytes, which is what the members' budget of bytes buys fewer or more facts for.
func span(d time.Duration) int64 {
	if d%time.Millisecond == 0 {
		return -int64(d / time.Millisecond)
	}
	return int64(d)
}

// unspan leaves what is beyond any duration below zero, so that it is refused.
func unspan(n int64) time.Duration {
	if n <= 0 && n >= -int64(MaxValue/time.Millisecond) {
		return time.Duration(-n) * time.Millisecond
	}
	return time.Duration(n)
}

func wire(f *Fact) wireFact {
	return wireFact{
		Dest: f.Dest, Endpoint: f.Endpoint, Kind: uint8(f.Kind), Number: f.Number, For: span(f.For), Origin: f.Origin,
		Epoch: f.Epoch, Seq: f.Seq, Age: span(f.Age), TTL: span(f.TTL),
	}
}

func (w *wireFact) fact() Fact {
	return Fact{
		Subject{w.Dest, w.Endpoint},
		Kind(w.Kind),
		Value{w.Number, unspan(w.For)},
		w.Origin, w.Epoch, w.Seq,
		unspan(w.Age), unspan(w.TTL),
	}
}
