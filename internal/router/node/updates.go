package node

import (
	"context"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/ingress"
	"raventrestle/internal/router/subscription"
)

// updateApplier puts updates of the control plane in force, in the dispatcher first: a request that is routed by the new
// configuration then finds its service there.
type updateApplier struct {
	dispatcher *dispatcher.Actor
	view       *ingress.CurrentView
	readSeeds  func() []string
}

var _ subscription.Applier = (*updateApplier)(nil)

// ParseConfiguration parses a configuration document.
func (a *updateApplier) ParseConfiguration(document []byte) (*configuration.Configuration, error) {
	read, err := configuration.ParseDocument(document)
	if err != nil {
		return nil, err
	}
	return read.Configuration(), nil
}

// Apply returns once the change is in force.
func (a *updateApplier) Apply(ctx context.Context, change dispatch.ViewChanged) error {
	if err := a.dispatcher.ApplyView(ctx, change); err != nil {
		return err
	}
	if change.Configuration != nil {
		a.view.Store(ingress.NewView(change.Configuration, a.view.Load()))
	}
	return nil
}

// CreditGranted passes the answer to a request for credit to the dispatcher.
func (a *updateApplier) CreditGranted(grant *protocol.CreditGrant) { a.dispatcher.CreditGranted(grant) }

// ReadSeeds returns the seeds that the settings file names now.
func (a *updateApplier) ReadSeeds() []string { return a.readSeeds() }
