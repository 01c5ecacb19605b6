package protocol

import "raventrestle/internal/transport"

// Kinds of the messages between routers and control instances, and of the replicated group's envelope.
const (
	KindSubscribe  byte = 1
	KindUpdate     byte = 2
	KindUpdateAck  byte = 3
	KindBeacon     byte = 4
	KindReport     byte = 5
	KindReplica    byte = 6
	KindProbe      byte = 7
	KindProbeReply byte = 8

	KindCreditRequest byte = 9
	KindCreditGrant   byte = 10
)

// Kinds of the messages between control instances.
const (
	KindRegistryDelta   byte = 32
	KindRegistryAck     byte = 33
	KindRegistrySummary byte = 34
	KindRegistryDigest  byte = 35
	KindLoadingTable    byte = 36
	KindReportBatch     byte = 37
	KindGrantBatch      byte = 38 // of earlier builds

	KindPeerCreditRequest byte = 39
	KindPeerCreditGrant   byte = 40
	KindPeerCreditReturn  byte = 41
	KindPeerRecord        byte = 42
	KindPeerRecordAck     byte = 43
	KindPeerCopyRequest   byte = 44
	KindPeerCopy          byte = 45
)

// Registrar accepts message kinds with a prototype of each. *transport.Codec is one.
type Registrar interface {
	Register(kind byte, prototype any)
}

// NewCodec returns a codec for the messages that routers exchange with control instances. A caller may register further
// kinds before the codec's first use, but not after it: see transport.Codec.
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
	codec.Register(KindCreditRequest, CreditRequest{})
	codec.Register(KindCreditGrant, CreditGrant{})
	return codec
}

// RegisterPeerMessages adds the messages that control instances exchange among themselves.
func RegisterPeerMessages(codec Registrar) {
	codec.Register(KindRegistryDelta, RegistryDelta{})
	codec.Register(KindRegistryAck, RegistryAck{})
	codec.Register(KindRegistrySummary, RegistrySummary{})
	codec.Register(KindRegistryDigest, RegistryDigest{})
	codec.Register(KindLoadingTable, LoadingTable{})
	codec.Register(KindReportBatch, ReportBatch{})
	codec.Register(KindGrantBatch, GrantBatch{})
	codec.Register(KindPeerCreditRequest, PeerCreditRequest{})
	codec.Register(KindPeerCreditGrant, PeerCreditGrant{})
	codec.Register(KindPeerCreditReturn, PeerCreditReturn{})
	codec.Register(KindPeerRecord, PeerRecord{})
	codec.Register(KindPeerRecordAck, PeerRecordAck{})
	codec.Register(KindPeerCopyRequest, PeerCopyRequest{})
	codec.Register(KindPeerCopy, PeerCopy{})
}

// ReplicaMessage is the envelope of a message between members of the replicated group (package coordination/replica),
// which alone knows the encoding of the body.
type ReplicaMessage struct {
	From string `cbor:"1,keyasint"` // transport address of the sender, IP:port
	Body []byte `cbor:"2,keyasint"`
}
