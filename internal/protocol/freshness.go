package protocol

import "time"

// FreshnessProof bounds the age of what a control instance knows (bounded staleness). Each message to a router carries
// one.
//
// It states that a majority of the voters was in Epoch no longer than MajorityContactAge before the message left, and
// that all versions of the configuration that were acknowledged anywhere before that moment are at or below the
// message's Generation.
//
// Clocks need not agree, only run equally fast: a router numbers the echo sequences that it sends, remembers when it
// sent each, and gets the newest one back in EchoedSequence together with the instance's clock in SentAt. This ties the
// two clocks together, as the timestamps option of TCP does (RFC 7323, section 3).
type FreshnessProof struct {
	Epoch              uint64        `cbor:"1,keyasint"` // of the instance's view; 0: it is not a member yet
	HasMajorityContact bool          `cbor:"2,keyasint"` // the instance has had contact with a majority; else no age is known
	MajorityContactAge time.Duration `cbor:"3,keyasint"` // of the newest contact, when the message left
	SentAt             time.Duration `cbor:"4,keyasint"` // when the message left, on the instance's steady clock
	EchoedSequence     uint64        `cbor:"5,keyasint"` // newest echo sequence received on this connection; 0: none
}
