package protocol

import "time"

// Origin identifies the sender of a message between control instances.
type Origin struct {
	Address     string `cbor:"1,keyasint"` // of its transport, where answers go, IP:port
	Incarnation uint64 `cbor:"2,keyasint"` // random, drawn at each start of the process

	// SentAt is when the message left, on the sender's steady clock since its start. Receivers use it to detect
	// messages that were delayed on the way.
	SentAt time.Duration `cbor:"3,keyasint,omitempty"`
}

// PeerMessage is a message between control instances.
type PeerMessage interface {
	// Sender returns the message's origin, to be read by the receiver and stamped with SentAt by the sender.
	Sender() *Origin
}
