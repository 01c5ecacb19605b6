package node

import (
	"time"

	"raventrestle/internal/nodeconfig"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/ingress"
	"raventrestle/internal/router/subscription"
)

const (
	reservedDescriptors = 200                    // by the platform
	otherDescriptors    = 64                     // listeners, control plane, probes, the runtime
	minConnections      = 16                     // of clients
	bodyMemoryDivisor   = 4                      // of the memory limit, for large bodies
	minStaleTimeout     = 750 * time.Millisecond // of staleTimeout and TrustTTL; below it an ordinary delay between two beacons would count as stale
)

// maxClientConnections returns how many clients may be connected. Each may have an attempt in flight, which needs a
// connection as well.
func maxClientConnections(c *nodeconfig.Config) int {
	return max(minConnections, (c.Limits.MaxFDs-reservedDescriptors-otherDescriptors)/2)
}

func ingressConfig(c *nodeconfig.Config) ingress.Config {
	return ingress.Config{MaxBodyMemory: int64(c.Limits.MemoryMB) << 20 / bodyMemoryDivisor}
}

func dispatchConfig(c *nodeconfig.Config, incarnation uint64) dispatch.Config {
	return dispatch.Config{
		Node:                   c.NodeName,
		Incarnation:            incarnation,
		Zone:                   c.Zone,
		Seed:                   incarnation,
		Slots:                  min(dispatch.DefaultSlots, maxClientConnections(c)*3/4),
		RetryBudgetRatio:       c.Bounds.RetryBudgetRatio,
		RetryBudgetWindow:      c.Bounds.RetryBudgetWindow,
		RetryBudgetSlack:       c.Bounds.RetryBudgetSlack,
		QuotaWindow:            c.Bounds.QuotaWindow,
		QuotaOvershootFraction: c.Bounds.QuotaOverrunRatio,
		QuotaOvershootSlack:    c.Bounds.QuotaSlack,
	}
}

// subscriptionConfig trusts a control instance for half of the shorter bound: there is as much time again to find another
// instance and to apply what it has.
func subscriptionConfig(c *nodeconfig.Config, incarnation uint64) subscription.Config {
	return subscription.Config{
		Node:        c.NodeName,
		Zone:        c.Zone,
		Incarnation: incarnation,
		TrustTTL:    max(minStaleTimeout, min(c.Bounds.ConfigPropagationTimeout, c.Bounds.DrainTimeout)/2),
	}
}

// staleTimeout returns how old the applied state may be proven to be while this router still answers a client that a
// route or a key does not exist.
func staleTimeout(c *nodeconfig.Config) time.Duration {
	return max(minStaleTimeout, c.Bounds.ConfigPropagationTimeout*3/4)
}
