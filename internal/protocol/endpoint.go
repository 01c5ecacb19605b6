package protocol

import "time"

// EndpointState is the state that an endpoint reports, or that the registry infers.
type EndpointState uint8

// The states of an endpoint. Their numbers are on the wire.
const (
	Ready        EndpointState = iota // accepts requests
	Draining                          // accepts no new request, finishes those in flight
	Unresponsive                      // has missed several heartbeats; calls to it may still succeed
	Departed                          // deregistered or expired: a tombstone, sent only as a change
)

// Endpoint is one incarnation of a model server or application server, as its heartbeats describe it.
type Endpoint struct {
	ID              string `cbor:"1,keyasint"`
	Service         string `cbor:"2,keyasint"`
	Address         string `cbor:"3,keyasint"` // IP:port
	Zone            string `cbor:"4,keyasint"`
	SoftwareVersion string `cbor:"5,keyasint,omitempty"` // generation on the operators' pages
	Slots           int    `cbor:"6,keyasint"`           // requests that it runs at a time

	State    EndpointState `cbor:"7,keyasint"`
	Sequence uint64        `cbor:"8,keyasint"` // rises with each heartbeat; the higher one wins

	// WarmUpRemaining is how much longer the endpoint stays slow after its start (slow start), when the message left.
	WarmUpRemaining time.Duration `cbor:"9,keyasint,omitempty"`

	Models  []LoadedModel `cbor:"10,keyasint,omitempty"` // in its memory
	Loading []ModelLoad   `cbor:"11,keyasint,omitempty"` // ordered by the placer and not done yet
}

// LoadedModel is a model in an endpoint's memory, with its adapters.
type LoadedModel struct {
	Name       string   `cbor:"1,keyasint" json:"name"`
	Generation int64    `cbor:"2,keyasint" json:"generation"` // version of the weights
	Adapters   []string `cbor:"3,keyasint,omitempty" json:"adapters"`
}

// ModelLoad is a load or an unload of a model, or of one of its adapters, that an endpoint has been ordered to carry out.
type ModelLoad struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"` // "" for the model itself
	Unload  bool   `cbor:"3,keyasint,omitempty"`

	// Remaining is the expected time until it is done, when the message left.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// Member is a control instance as routers know it.
type Member struct {
	Identity       string `cbor:"1,keyasint"` // made on an empty disk, and lost with it
	Address        string `cbor:"2,keyasint"` // of its transport, IP:port
	ControlAddress string `cbor:"3,keyasint"` // of its HTTP interface for endpoints and the operator, IP:port
	Zone           string `cbor:"4,keyasint"`
}
