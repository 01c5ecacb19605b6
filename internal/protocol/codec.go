package protocol

import "raventrestle/internal/transport"

// The kinds of messages on the wire. A kind keeps its number for good; new ones get new numbers.
const (
	KindSubscribe  byte = 1
	KindUpdate     byte = 2
	KindUpdateAck  byte = 3
	KindBeacon     byte = 4
	KindReport     byte = 5
	KindReplica    byte = 6
	KindProbe      byte = 7
	KindProbeReply byte = 8
)

// ReplicaMessage carries a message between replicas, whose insides only they know.
type ReplicaMessage struct {
	From string `cbor:"1,keyasint"` // transport address of the sender
	Body []byte `cbor:"2,keyasint"`
}

// NewCodec returns a codec that knows all messages of this package. Callers may register kinds of their
// own before they use it.
func NewCodec() *transport.Codec {
	codec := transport.NewCodec()
	codec.Register(KindSubscribe, Subscribe{})
	codec.Register(KindUpdate, Update{})
	codec.Register(KindUpdateAck, UpdateAck{})
	codec.Register(KindBeacon, Beacon{})
	codec.Register(KindReport, Report{})
	codec.Register(KindReplica, ReplicaMessage{})
	codec.Register(KindProbe, Probe{})
	codec.Register(KindProbeReply, ProbeReply{})
	return codec
}
