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

// ReportBatch forwards routers' reports, and their acknowledgements of grants, to the leader of the singleton roles.
type ReportBatch struct {
	Origin    Origin     `cbor:"1,keyasint"`
	Reports   []Report   `cbor:"2,keyasint,omitempty"`
	GrantAcks []GrantAck `cbor:"3,keyasint,omitempty"`
}

// HasShortfall reports whether requests wait for quota at one of the routers.
func (b *ReportBatch) HasShortfall() bool {
	for i := range b.Reports {
		if b.Reports[i].HasShortfall() {
			return true
		}
	}
	return false
}

// GrantBatch carries quota grants from the leader to an instance at which the routers subscribe.
type GrantBatch struct {
	Origin  Origin         `cbor:"1,keyasint"`
	Routers []RouterGrants `cbor:"3,keyasint"` // number 2 belonged to a field of earlier builds
}

// Sender implements PeerMessage.
func (m *LoadingTable) Sender() *Origin { return &m.Origin }

// Sender implements PeerMessage.
func (b *ReportBatch) Sender() *Origin { return &b.Origin }

// Sender implements PeerMessage.
func (m *GrantBatch) Sender() *Origin { return &m.Origin }
