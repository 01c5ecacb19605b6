// Package configstore joins the replicated state with those who change and read the configuration.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/state"
)

// Store changes and reads the configuration by the replica.
type Store struct {
	replica replica.Interface
	machine *state.Machine
}

// New joins a replica and the machine that it applies commands to.
func New(group replica.Interface, machine *state.Machine) *Store {
	return &Store{replica: group, machine: machine}
}

// ErrForgotten means that a change builds on a version so old that it is not known any more whether it was taken.
var ErrForgotten = errors.New("it builds on a version whose successor is not remembered; it may have been taken")

// Change has a change decided by the chain. After an error it may be decided either way, now or later.
func (c *Store) Change(
	ctx context.Context, method string, base int64, body []byte,
) (api.ChangeResult, error) {
	command, err := state.NewCommand(method, base, body)
	if err != nil {
		return api.ChangeResult{}, fmt.Errorf("change of version %d: %w", base, err)
	}
	encoded, err := c.replica.Propose(ctx, command)
	if err != nil {
		return api.ChangeResult{}, fmt.Errorf("change of version %d: %w", base, err)
	}
	result, err := state.DecodeResult(encoded)
	if err != nil {
		return api.ChangeResult{}, fmt.Errorf("change of version %d: %w", base, err)
	}
	if _, is := result.(state.Forgotten); is {
		return api.ChangeResult{}, fmt.Errorf("change of version %d: %w", base, ErrForgotten)
	}
	return resultOf(result), nil
}

func resultOf(result state.Result) api.ChangeResult {
	switch result := result.(type) {
	case state.Accepted:
		return api.ChangeResult{Kind: api.Accepted, Generation: result.Generation}
	case state.VersionMismatch:
		return api.ChangeResult{Kind: api.VersionMismatch, Generation: result.Current}
	case state.Rejected:
		return api.ChangeResult{Kind: api.Rejected, Reason: reasonOf(result.Faults)}
	}
	return api.ChangeResult{Kind: api.Rejected, Reason: "refused"}
}

// reasonOf names all items in fault.
func reasonOf(faults []configuration.ItemError) string {
	reasons := make([]string, len(faults))
	for i, fault := range faults {
		reasons[i] = fault.String()
	}
	return strings.Join(reasons, "; ")
}

// Read returns the newest version. Everything acknowledged before the call is in it.
func (c *Store) Read(ctx context.Context) (int64, []byte, error) {
	if _, err := c.replica.Barrier(ctx); err != nil {
		return 0, nil, fmt.Errorf("read of the configuration: %w", err)
	}
	generation, document := c.machine.Current()
	return generation, document, nil
}

// Newest returns the newest version that is committed here, without asking the others.
func (c *Store) Newest() (int64, []byte) { return c.machine.Current() }

// Current returns the same, read; nil before the first.
func (c *Store) Current() *configuration.Configuration {
	return c.machine.View().Configuration
}

// History returns the versions that were taken, oldest first.
func (c *Store) History() []api.VersionView {
	history := c.machine.History()
	views := make([]api.VersionView, len(history))
	for i, version := range history {
		views[i] = api.VersionView{
			Generation: version.Generation, Index: version.Index, Method: version.Method,
			Bytes: version.Bytes,
		}
	}
	return views
}
