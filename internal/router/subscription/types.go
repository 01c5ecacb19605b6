package subscription

import (
	"errors"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// ConnectionID identifies a connection within the process. The decider assigns the IDs and never reuses one.
type ConnectionID uint64

// Input is an event that the decider has to process: one of the types below.
type Input interface{ input() }

// ConnectionOpened reports that a connection requested by Output.Dial is established.
type ConnectionOpened struct{ Connection ConnectionID }

// ConnectionClosed reports that a connection could not be established, or has ended. After the decider itself has closed
// a connection it is optional.
type ConnectionClosed struct {
	Connection ConnectionID
	Err        error
}

// MessageReceived carries a message of an instance: *protocol.Update, *protocol.Beacon or *protocol.ProbeReply.
type MessageReceived struct {
	Connection ConnectionID
	Message    any
}

// ChangeApplied reports that the change requested by Output.Apply has taken effect, or failed. An error that wraps
// ErrInvalidConfiguration means that the configuration in the change is invalid.
type ChangeApplied struct{ Err error }

// SeedsRead carries the addresses of control instances from the settings.
type SeedsRead struct{ Addresses []string }

// DemandReported carries a report of this router's demand, to be sent to the control plane.
type DemandReported struct{ Report protocol.Report }

// CreditRequested carries a request for credit, to be sent to the followed instance.
type CreditRequested struct{ Request protocol.CreditRequest }

func (ConnectionOpened) input() {}
func (ConnectionClosed) input() {}
func (MessageReceived) input()  {}
func (ChangeApplied) input()    {}
func (SeedsRead) input()        {}
func (DemandReported) input()   {}
func (CreditRequested) input()  {}

// Dial requests a connection to an instance.
type Dial struct {
	Connection ConnectionID
	Address    string
}

// Send requests that a message is sent to an instance. Messages on one connection keep their order.
type Send struct {
	Connection ConnectionID
	Message    any
}

// Change is the state that an update changes.
type Change struct {
	View       dispatch.ViewChanged // without the configuration, which the host parses from Document
	Generation int64                // of Document
	Document   []byte               // compressed, as in the update; nil: the configuration is unchanged
}

// Output lists what the host has to execute, in the order Dial, Send, Close, and describes the state after the step.
type Output struct {
	Dial      []Dial
	Send      []Send
	Close     []ConnectionID
	Apply     *Change // to be applied and then reported by ChangeApplied, before which no other change is requested
	ReadSeeds bool    // the seeds are to be read from the settings and reported by SeedsRead
	Events    []Event
	Following string // address of the followed instance; empty: none
	Trusted   bool   // the followed instance has proved a contact with a majority within Config.TrustTTL
	// FreshAsOf is the newest time for which it is proven that every version of the configuration acknowledged anywhere before
	// it is applied here. Zero: none is known.
	FreshAsOf time.Time
	Ready     bool
	WakeAt    time.Time // when Step has to be called at the latest
}

// Event is an event for the operators' log: one of the types below.
type Event interface{ event() }

// InstanceFollowed records that the first update of this instance is applied.
type InstanceFollowed struct{ Instance string }

// InstanceLeft records that this instance is no longer followed.
type InstanceLeft struct {
	Instance string
	Err      error
}

// ControlPlaneUnreachable records that no instance can be followed. It is recorded once, and again only after an instance
// has been followed in between.
type ControlPlaneUnreachable struct {
	Instance string // that was tried last
	Err      error
}

// ConfigurationApplied records that requests are now handled according to this version.
type ConfigurationApplied struct{ Generation int64 }

// BecameReady records that the newest configuration and a complete table of endpoints are applied.
type BecameReady struct{}

func (InstanceFollowed) event()        {}
func (InstanceLeft) event()            {}
func (ControlPlaneUnreachable) event() {}
func (ConfigurationApplied) event()    {}
func (BecameReady) event()             {}

// Reasons for leaving an instance, or for not following one.
var (
	ErrUnresponsive          = errors.New("subscription: no message from the instance within the beacon timeout")
	ErrSequenceGap           = errors.New("subscription: an update of the instance is missing or repeated")
	ErrZoneLocalAlternative  = errors.New("subscription: an instance in the local zone is available")
	ErrConfigurationWithheld = errors.New("subscription: the instance announced a newer configuration but did not send it")
	ErrInvalidConfiguration  = errors.New("subscription: invalid configuration")
	ErrTrustExpired          = errors.New("subscription: trust in the instance has expired, and another instance is trusted")
	ErrOlderEpoch            = errors.New("subscription: the instance is in an earlier epoch than another instance")
	ErrProbeTimeout          = errors.New("subscription: the instance did not answer a probe in time")
)
