package protocol

import "time"

// FreshnessProof is what a control instance can prove of its own knowledge. Every message to a router carries one.
//
// It states that a majority of the voters was in Epoch no longer ago than Age when the message left, and that all
// versions of the configuration that were acknowledged anywhere before that moment are at or below the message's
// Generation. A router works out when the message left from At and from the marks that it sent itself: it needs no
// agreement between clocks, only that steady clocks run equally fast.
type FreshnessProof struct {
	Epoch              uint64        `cbor:"1,keyasint"` // of the instance's view; 0: it is no member yet
	HasMajorityContact bool          `cbor:"2,keyasint"` // Age means something: the instance has had contact with a majority
	MajorityContactAge time.Duration `cbor:"3,keyasint"` // when the message left
	SentAt             time.Duration `cbor:"4,keyasint"` // when the message left, on the instance's steady clock
	EchoedSequence     uint64        `cbor:"5,keyasint"` // newest mark that came on this connection; 0: none
}

// Probe asks an instance for its standing, without a subscription. It may open a connection, on which a Subscribe
// may follow.
type Probe struct {
	EchoSequence uint64 `cbor:"1,keyasint"` // comes back in Standing.Mark
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Generation int64          `cbor:"1,keyasint"` // newest committed configuration that the instance has
	Freshness  FreshnessProof `cbor:"2,keyasint"`
}
