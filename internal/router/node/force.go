package node

import (
	"context"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/ingress"
)

// force puts what the control plane sends in force, in the dispatcher first: a request that is routed by the new
// configuration finds its service there.
type force struct {
	actor *dispatcher.Actor
	view  *ingress.CurrentView
	node  *Node
}

// ParseConfiguration reads a configuration.
func (f *force) ParseConfiguration(document []byte) (*configuration.Configuration, error) {
	read, err := configuration.ParseDocument(document)
	if err != nil {
		return nil, err
	}
	return read.Configuration(), nil
}

// Apply returns once the change is in force.
func (f *force) Apply(ctx context.Context, view dispatch.ViewChanged) error {
	if err := f.actor.ApplyView(ctx, view); err != nil {
		return err
	}
	if view.Configuration != nil {
		f.view.Store(ingress.NewView(view.Configuration, f.view.Load()))
	}
	return nil
}

// ReadSeeds reads the settings' seeds.
func (f *force) ReadSeeds() []string { return f.node.seeds() }

func (n *Node) report(report protocol.Report) { n.subscription.Report(report) }

// Node records the events of the subscription: see subscription.EventRecorder.

// InstanceFollowed logs that the first update of this instance is applied.
func (n *Node) InstanceFollowed(instance string) {
	n.log.Info().Str("instance", instance).Msg("control.followed")
}

// InstanceLeft logs that this instance is no longer followed.
func (n *Node) InstanceLeft(instance string, err error) {
	n.log.Warn().Str("instance", instance).Err(err).Msg("control.left")
}

// ControlPlaneUnreachable logs that no instance can be followed.
func (n *Node) ControlPlaneUnreachable(instance string, err error) {
	n.log.Warn().Str("instance", instance).Err(err).Msg("control.unreachable")
}

// ConfigurationApplied logs that requests are handled by this version from now on.
func (n *Node) ConfigurationApplied(generation int64) {
	n.log.Info().Int64("generation", generation).Msg("configuration.in_force")
}

// RouterReady logs that the readiness probe is answered with 200 from now on.
func (n *Node) RouterReady() { n.log.Info().Msg("router.ready") }
