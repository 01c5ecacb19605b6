package subscription

import (
	"errors"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// ConnectionID names a connection within the process. The decider chooses the numbers and uses none twice.
type ConnectionID uint64

// Input is something that has happened: one of the types below.
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

// ChangeApplied reports that the change requested by Output.Apply is in effect, or has failed. An error that is
// ErrInvalidConfiguration means that its configuration can't be used.
type ChangeApplied struct{ Err error }

// SeedsRead carries the addresses of control instances in the settings.
type SeedsRead struct{ Addresses []string }

// DemandReported carries a report of this router's demand for the control plane.
type DemandReported struct{ Report protocol.Report }

// CreditRequested carries a request for credit for the followed instance.
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

// Send is a message for an instance. Messages on one connection keep their order.
type Send struct {
	Connection ConnectionID
	Message    any
}

// Change is what an update changes.
type Change struct {
	View       dispatch.ViewChanged // without the configuration, which the host parses from Document
	Generation int64                // of Document
	Document   []byte               // compressed, as the update carries it; nil: the configuration is unchanged
}

// Output is what the host carries out, in the order Dial, Send, Close.
type Output struct {
	Dial      []Dial
	Send      []Send
	Close     []ConnectionID
	Apply     *Change // apply it, then return ChangeApplied; until then no further change is requested
	ReadSeeds bool    // read the seeds of the settings and return SeedsRead
	Events    []Event
	Following string // address of the instance that is followed; empty: none
	Trusted   bool   // the followed instance has proved a contact with a majority within Config.TrustTTL
	// FreshAsOf is the newest moment for which it is proven that every version of the configuration acknowledged
	// anywhere before it is applied here. Zero: none is known.
	FreshAsOf time.Time
	Ready     bool
	WakeAt    time.Time // call Step again by then at the latest
}

// Event is something that operators should see: one of the types below.
type Event interface{ event() }

// InstanceFollowed records that the first update of this instance is applied.
type InstanceFollowed struct{ Instance string }

// InstanceLeft records that this instance is no longer followed.
type InstanceLeft struct {
	Instance string
	Err      error
}

// ControlPlaneUnreachable records, once, that no instance can be followed. It is recorded again only after an instance
// has been followed.
type ControlPlaneUnreachable struct {
	Instance string // the one tried last
	Err      error
}

// ConfigurationApplied records that requests are handled by this version from now on.
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
	ErrUnresponsive          = errors.New("subscription: the instance sends no beacons any more")
	ErrSequenceGap           = errors.New("subscription: an update of the instance is missing or repeated")
	ErrZoneLocalAlternative  = errors.New("subscription: an instance in the own zone is available")
	ErrConfigurationWithheld = errors.New("subscription: the instance announces a newer configuration and does not send it")
	ErrInvalidConfiguration  = errors.New("subscription: the configuration can't be used")
	ErrTrustExpired          = errors.New("subscription: the instance proves no fresh contact with a majority, another one does")
	ErrOlderEpoch            = errors.New("subscription: the instance is in an earlier epoch than another one")
	ErrProbeTimeout          = errors.New("subscription: the instance does not answer a probe")
)
