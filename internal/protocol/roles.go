package protocol

// EndpointLoading is what one endpoint has been ordered to load and unload and has not finished yet.
type EndpointLoading struct {
	Endpoint string      `cbor:"1,keyasint"` // its ID
	Loads    []ModelLoad `cbor:"2,keyasint"`
}

// LoadingTable is the complete table of the placer's orders that are under way. The higher epoch, and then the higher
// sequence, supersedes the other.
type LoadingTable struct {
	Origin   Origin            `cbor:"1,keyasint"`
	Epoch    uint64            `cbor:"2,keyasint"` // of the leader
	Sequence uint64            `cbor:"3,keyasint"`
	Loading  []EndpointLoading `cbor:"4,keyasint,omitempty"`
}

// ReportBatch forwards routers' reports to the leader of the singleton roles.
type ReportBatch struct {
	Origin    Origin     `cbor:"1,keyasint"`
	Reports   []Report   `cbor:"2,keyasint,omitempty"`
	GrantAcks []GrantAck `cbor:"3,keyasint,omitempty"` // of earlier builds
}

// Sender implements PeerMessage.
func (m *LoadingTable) Sender() *Origin { return &m.Origin }

// Sender implements PeerMessage.
func (b *ReportBatch) Sender() *Origin { return &b.Origin }
