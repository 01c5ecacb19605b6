package state

import (
	"errors"
	"fmt"
	"sync/atomic"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/shares"
)

var _ replica.StateMachine = (*Machine)(nil)

// Version is one accepted version of the configuration.
type Version struct {
	Generation int64
	Index      uint64 // of the command in the replicated log
	Method     string // Replace or Patch
	Bytes      int    // size of the complete configuration as JSON
}

// View is the state at one moment. It is immutable.
type View struct {
	Generation    int64                        // 0: there is no configuration yet
	Document      []byte                       // the complete configuration as JSON
	Configuration *configuration.Configuration // nil: there is none yet
	History       []Version                    // the newest maxRememberedChanges versions, oldest first
	Shares        shares.Table                 // which instance holds which shares of the tenants' limits
	Departures    departures.Table             // which endpoints have announced their end
}

// Machine is the replicated state machine. One goroutine, the replica's, calls Apply, Snapshot and Restore; View, Current
// and History may be called by any goroutine at any time.
type Machine struct {
	document   *configuration.Document // nil before the first configuration
	log        changeLog
	shares     shares.Table
	departures departures.Table
	view       atomic.Pointer[View]
}

// New returns the state before the first configuration.
func New() *Machine {
	m := &Machine{log: newChangeLog()}
	m.view.Store(&View{})
	return m
}

// View returns the newest state.
func (m *Machine) View() *View { return m.view.Load() }

// Current returns the newest generation and the complete configuration as JSON, which must not be modified.
func (m *Machine) Current() (generation int64, document []byte) {
	view := m.view.Load()
	return view.Generation, view.Document
}

// History returns the newest versions, oldest first. The slice must not be modified.
func (m *Machine) History() []Version { return m.view.Load().History }

// Shares returns which instance holds which shares of the tenants' limits.
func (m *Machine) Shares() shares.Table { return m.view.Load().Shares }

// Departures returns which endpoints have announced their end.
func (m *Machine) Departures() departures.Table { return m.view.Load().Departures }

// Apply implements replica.Machine: it accepts or rejects the change of an encoded command and returns the encoded Result.
//
// A change that was accepted before is accepted again, whatever came since. One that builds on another version than the
// current one is not validated. The state is left as it is by every result other than the first Accepted of a change.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	return encodeResult(m.apply(index, command))
}

func (m *Machine) apply(index uint64, command []byte) Result {
	decoded, err := decodeCommand(command)
	if err != nil {
		return rejection(err)
	}
	if decoded.Registration != nil || decoded.Assignment != nil {
		return m.changeShares(decoded)
	}
	if decoded.Departure != nil {
		return m.recordDeparture(*decoded.Departure)
	}
	change := &decoded.ChangeConfiguration
	identity := change.fingerprint()
	if generation, accepted := m.log.lookup(identity); accepted {
		return Accepted{Generation: generation}
	}
	if current := m.generation(); change.IfMatch != current {
		if m.log.mayHaveForgotten(change.IfMatch) {
			return Forgotten{Current: current}
		}
		return VersionMismatch{Current: current}
	}
	next, err := m.next(change)
	if err != nil {
		return rejection(err)
	}
	version := Version{
		Generation: next.Configuration().Generation,
		Index:      index,
		Method:     change.Method,
		Bytes:      len(next.Encode()),
	}
	m.document = next
	m.log.add(acceptedChange{fingerprint: identity, version: version})
	m.publish()
	return Accepted{Generation: version.Generation}
}

// changeShares applies a command that concerns the shares of limits. The generation of the configuration stays.
func (m *Machine) changeShares(change *commandMessage) Result {
	next, applied := m.shares, true
	if change.Registration != nil {
		next = next.Register(*change.Registration)
	}
	if change.Assignment != nil {
		next, applied = next.Assign(*change.Assignment)
	}
	if !applied {
		return VersionMismatch{Current: int64(m.shares.Sequence)}
	}
	if next.Sequence != m.shares.Sequence {
		m.shares = next
		view := *m.view.Load()
		view.Shares = next
		m.view.Store(&view)
	}
	return Accepted{Generation: int64(m.shares.Sequence)}
}

// recordDeparture applies the command that an endpoint has announced its end. The generation of the configuration stays.
func (m *Machine) recordDeparture(departure departures.Departure) Result {
	next := m.departures.Record(departure)
	if next.Sequence != m.departures.Sequence {
		m.departures = next
		view := *m.view.Load()
		view.Departures = next
		m.view.Store(&view)
	}
	return Accepted{Generation: int64(next.Sequence)}
}

func (m *Machine) generation() int64 {
	if m.document == nil {
		return 0
	}
	return m.document.Configuration().Generation
}

var errUnknownMethod = errors.New("unknown method")

// next returns the validated document that the change makes of the current one.
func (m *Machine) next(change *ChangeConfiguration) (*configuration.Document, error) {
	switch change.Method {
	case Replace:
		return m.replace(change.Body)
	case Patch:
		patch, err := configuration.ParsePatch(change.Body)
		if err != nil {
			return nil, err
		}
		return configuration.Apply(m.document, patch)
	}
	return nil, fmt.Errorf("%w %q", errUnknownMethod, change.Method)
}

func (m *Machine) replace(body []byte) (*configuration.Document, error) {
	next, err := configuration.ParseDocument(body)
	if err != nil {
		return nil, err
	}
	var current *configuration.Configuration
	if m.document != nil {
		current = m.document.Configuration()
	}
	if err := configuration.Validate(next.Configuration(), current); err != nil {
		return nil, err
	}
	return next, nil
}

// publish makes the state visible to readers. Views share the older part of one growing history, whose elements never
// change.
func (m *Machine) publish() {
	former := m.view.Load().History
	view := &View{History: former, Shares: m.shares, Departures: m.departures}
	if count := len(m.log.changes); count > 0 {
		view.History = append(former, m.log.changes[count-1].version)
		view.History = view.History[max(0, len(view.History)-maxRememberedChanges):]
	}
	if m.document != nil {
		view.Generation = m.generation()
		view.Document = m.document.Encode()
		view.Configuration = m.document.Configuration()
	}
	m.view.Store(view)
}
