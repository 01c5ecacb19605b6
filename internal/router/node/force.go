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
	view  *ingress.Holder
	node  *Node
}

// Prepare reads a configuration.
func (f *force) Prepare(document []byte) (*configuration.Configuration, error) {
	read, err := configuration.ParseDocument(document)
	if err != nil {
		return nil, err
	}
	return read.Configuration(), nil
}

// Apply returns once the change is in force.
func (f *force) Apply(ctx context.Context, view dispatch.ViewChanged) error {
	if err := f.actor.Apply(ctx, view); err != nil {
		return err
	}
	if view.Configuration != nil {
		f.view.Store(ingress.NewView(view.Configuration, f.view.Load()))
	}
	return nil
}

// Seeds reads the settings' seeds.
func (f *force) Seeds() []string { return f.node.seeds() }

func (n *Node) report(report protocol.Report) { n.subscription.Report(report) }

// Following, Left, Unreachable, ConfigurationInForce and Ready are the subscription's log.

// Following: updates of this instance come.
func (n *Node) Following(instance string) {
	n.log.Info().Str("instance", instance).Msg("control.followed")
}

// Left: this instance is not followed any more.
func (n *Node) Left(instance string, err error) {
	n.log.Warn().Str("instance", instance).Err(err).Msg("control.left")
}

// Unreachable: no instance could be followed.
func (n *Node) Unreachable(instance string, err error) {
	n.log.Warn().Str("instance", instance).Err(err).Msg("control.unreachable")
}

// ConfigurationInForce: requests are handled by this version from now on.
func (n *Node) ConfigurationInForce(generation int64) {
	n.log.Info().Int64("generation", generation).Msg("configuration.in_force")
}

// Ready: the probe is answered with 200 from now on.
func (n *Node) Ready() { n.log.Info().Msg("router.ready") }
