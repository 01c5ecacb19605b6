package state

import (
	"errors"
	"fmt"
	"sync/atomic"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
)

var _ replica.Machine = (*Machine)(nil)

// remembered is how many of the newest changes are known again when they are sent again. Of an older one the machine
// still knows whether it can have been taken: see Forgotten.
const remembered = 4096

// Version is one version of the configuration that was taken.
type Version struct {
	Generation int64
	Index      uint64 // of its command
	Method     string
	Bytes      int // of the whole configuration
}

// View is the state at one moment. It does not change.
type View struct {
	Generation    int64                        // 0: there is no configuration yet
	Document      []byte                       // the whole configuration as JSON
	Configuration *configuration.Configuration // nil: there is none yet
	History       []Version                    // oldest first
}

// Machine is the state. Apply, Snapshot and Restore are called by one goroutine, all else by any.
type Machine struct {
	document *configuration.Document // nil before the first
	taken    []takenChange           // oldest first
	known    map[fingerprint]int64   // the generation that a change in taken made
	// forgotten is the generation that the newest change beyond the memory made; 0: none was forgotten.
	forgotten int64
	view      atomic.Pointer[View]
}

type takenChange struct {
	fingerprint fingerprint
	version     Version
}

// New returns the state before the first configuration.
func New() *Machine {
	m := &Machine{known: make(map[fingerprint]int64)}
	m.view.Store(&View{})
	return m
}

// View returns the newest state.
func (m *Machine) View() *View { return m.view.Load() }

// Current returns the newest generation and the whole configuration as JSON, which must not be changed.
func (m *Machine) Current() (generation int64, document []byte) {
	view := m.view.Load()
	return view.Generation, view.Document
}

// History returns the newest versions, oldest first. It must not be changed.
func (m *Machine) History() []Version { return m.view.Load().History }

// Apply takes a change or refuses it. A change that was taken before is taken again, whatever came since;
// one that builds on another version than the current one is not looked at. A change is refused only where the state
// proves that it was not taken: on each version one change was taken at most, so one that builds on a version on
// which a remembered change was taken, or on one that never was current, was not.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	return encodeResult(m.apply(index, command))
}

func (m *Machine) apply(index uint64, command []byte) Result {
	change, err := decodeCommand(command)
	if err != nil {
		return rejected(err)
	}
	mark := change.fingerprint()
	if generation, before := m.known[mark]; before {
		return Accepted{Generation: generation}
	}
	if current := m.generation(); change.IfMatch != current {
		return m.mismatch(change.IfMatch, current)
	}
	next, err := m.next(change)
	if err != nil {
		return rejected(err)
	}
	version := Version{
		Generation: next.Configuration().Generation,
		Index:      index,
		Method:     change.Method,
		Bytes:      len(next.Encode()),
	}
	m.document = next
	m.remember(takenChange{fingerprint: mark, version: version})
	m.publish()
	return Accepted{Generation: version.Generation}
}

// mismatch answers a change on another version than the current one, which the memory does not hold. Every change
// beyond the memory built on a version below the one that the newest of them made.
func (m *Machine) mismatch(base, current int64) Result {
	if base < m.forgotten {
		return Forgotten{Current: current}
	}
	return VersionMismatch{Current: current}
}

func (m *Machine) generation() int64 {
	if m.document == nil {
		return 0
	}
	return m.document.Configuration().Generation
}

var errUnknownMethod = errors.New("unknown method")

// next returns the document that the change makes, checked whole.
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
	if err := configuration.Check(next.Configuration(), current); err != nil {
		return nil, err
	}
	return next, nil
}

func (m *Machine) remember(change takenChange) {
	m.taken = append(m.taken, change)
	m.known[change.fingerprint] = change.version.Generation
	if len(m.taken) > remembered {
		delete(m.known, m.taken[0].fingerprint)
		m.forgotten = m.taken[0].version.Generation
		m.taken = m.taken[1:]
	}
}

// publish hands the state to the readers. Of the former view's history only the older part is shared, which
// no longer changes.
func (m *Machine) publish() {
	former := m.view.Load().History
	view := &View{History: former}
	if len(m.taken) > 0 {
		view.History = append(former, m.taken[len(m.taken)-1].version)
		view.History = view.History[max(0, len(view.History)-remembered):]
	}
	if m.document != nil {
		view.Generation = m.generation()
		view.Document = m.document.Encode()
		view.Configuration = m.document.Configuration()
	}
	m.view.Store(view)
}
