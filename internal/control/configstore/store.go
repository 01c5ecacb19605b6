// Package configstore changes and reads the replicated configuration on behalf of the public API and of the instance's
// other parts. It turns requests into commands of package state, submits them to the replica, and turns the results into
// decisions. Its own state is none: everything is in the replica and its machine.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
)

// Store changes and reads the configuration. It is safe for concurrent use.
type Store struct {
	replica replica.Interface
	machine *state.Machine
}

// New returns a store over a replica and the machine that the replica applies commands to.
func New(group replica.Interface, machine *state.Machine) *Store {
	return &Store{replica: group, machine: machine}
}

// ErrForgotten says that a change builds on a version so old that the machine can't tell any more whether the change was
// accepted. The API answers it 503: a rejection could be wrong. Its text is part of that answer.
var ErrForgotten = errors.New("it builds on a version whose successor is not remembered; it may have been taken")

// Change implements api.Configurations. A change that was accepted before is accepted again, whichever instance it is
// submitted to. After an error the change may be decided either way, now or later.
func (s *Store) Change(ctx context.Context, method string, base int64, body []byte) (api.ChangeResult, error) {
	result, err := s.submit(ctx, method, base, body)
	if err != nil {
		return api.ChangeResult{}, fmt.Errorf("change of version %d: %w", base, err)
	}
	return changeResult(result), nil
}

func (s *Store) submit(ctx context.Context, method string, base int64, body []byte) (state.Result, error) {
	command, err := state.NewCommand(method, base, body)
	if err != nil {
		return nil, err
	}
	encoded, err := s.replica.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	result, err := state.DecodeResult(encoded)
	if err != nil {
		return nil, err
	}
	if _, forgotten := result.(state.Forgotten); forgotten {
		return nil, ErrForgotten
	}
	return result, nil
}

// changeResult turns a result of the state machine other than Forgotten into the API's.
func changeResult(result state.Result) api.ChangeResult {
	switch result := result.(type) {
	case state.Accepted:
		return api.ChangeResult{Kind: api.Accepted, Generation: result.Generation}
	case state.VersionMismatch:
		return api.ChangeResult{Kind: api.VersionMismatch, Generation: result.Current}
	case state.Rejected:
		return api.ChangeResult{Kind: api.Rejected, Reason: joinFaults(result.Faults)}
	}
	return api.ChangeResult{Kind: api.Rejected, Reason: "refused"}
}

// joinFaults names all invalid items in one line.
func joinFaults(faults []configuration.ItemError) string {
	texts := make([]string, len(faults))
	for i, fault := range faults {
		texts[i] = fault.Error()
	}
	return strings.Join(texts, "; ")
}

// Read implements api.Configurations: it returns the newest version. Everything that was acknowledged before the call is
// in it, because a barrier passes the chain first.
func (s *Store) Read(ctx context.Context) (int64, []byte, error) {
	if _, err := s.replica.Barrier(ctx); err != nil {
		return 0, nil, fmt.Errorf("read of the configuration: %w", err)
	}
	generation, document := s.machine.Current()
	return generation, document, nil
}

// Newest returns the newest version that is committed here, without asking the other instances; 0 and nil before the
// first. The document must not be changed.
func (s *Store) Newest() (int64, []byte) { return s.machine.Current() }

// Shares returns which instance holds which shares of the tenants' limits, as committed here.
func (s *Store) Shares() shares.Table { return s.machine.Shares() }

// Departures returns which endpoints have announced their end, as committed here.
func (s *Store) Departures() departures.Table { return s.machine.Departures() }

// Current returns the same version parsed; nil before the first. It must not be changed.
func (s *Store) Current() *configuration.Configuration {
	return s.machine.View().Configuration
}

// History implements api.Configurations.
func (s *Store) History() []api.VersionView {
	history := s.machine.History()
	views := make([]api.VersionView, len(history))
	for i, version := range history {
		views[i] = api.VersionView{
			Generation: version.Generation, Index: version.Index, Method: version.Method, Bytes: version.Bytes,
		}
	}
	return views
}
