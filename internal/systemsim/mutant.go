package systemsim

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/controller"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/subscription"
)

// Mutant is a fault that is planted to see that the checks find it.
type Mutant string

// The planted faults.
const (
	NoMutant            Mutant = ""
	FollowFirst         Mutant = "router settles with whoever answers first"
	TrustAllBeacons     Mutant = "router believes every beacon"
	StampFresh          Mutant = "instance states the age 0 always"
	DrainWithoutContact Mutant = "drain acknowledged without contact"
)

// newDecider returns what decides for a router.
func (w *World) newDecider(r *router) decider {
	if w.Mutant == FollowFirst {
		return newNaiveDecider(r)
	}
	config := subscription.Config{
		Node: r.address, Zone: zoneName(r.zone), Incarnation: uint64(r.incarnation), TrustTTL: min(configBound, drainBound) / 2,
	}
	own := netip.MustParseAddrPort(r.address).Addr()
	random := rand.New(rand.NewPCG(w.random.Uint64(), uint64(r.incarnation)))
	candidates := subscription.NewCandidates(config.Zone, own, random)
	candidates.SetSeeds(w.seedAddresses())
	return subscription.NewDecider(config, candidates)
}

// mutateMessage is a message as the router's decider gets it. Each router gets a copy, as from the wire.
func (w *World) mutateMessage(message any) any {
	believe := func(s *protocol.FreshnessProof) {
		if w.Mutant == TrustAllBeacons {
			s.HasMajorityContact, s.MajorityContactAge, s.Epoch = true, 0, math.MaxInt64
		}
	}
	switch m := message.(type) {
	case *protocol.Update:
		c := *m
		believe(&c.Freshness)
		return &c
	case *protocol.Beacon:
		c := *m
		believe(&c.Freshness)
		return &c
	case *protocol.ProbeReply:
		c := *m
		believe(&c.Freshness)
		return &c
	}
	return message
}

// mutateStatus is the replica's status as the controller reads it.
func (w *World) mutateStatus(status replica.Status, now time.Time) replica.Status {
	if w.Mutant == StampFresh {
		status.ConfirmedAt = now
	}
	return status
}

// mutateRegistry is the registry as the controller uses it.
func (w *World) mutateRegistry(endpoints *registry.Registry) controller.EndpointRegistry {
	if w.Mutant == DrainWithoutContact {
		return registryWithoutContact{endpoints}
	}
	return endpoints
}

// registryWithoutContact is a registry that takes itself to be in contact with a majority always.
type registryWithoutContact struct{ *registry.Registry }

// Step implements controller.EndpointRegistry.
func (r registryWithoutContact) Step(now time.Time, inputs ...registry.Input) registry.Output {
	believed := []registry.Input{registry.QuorumContact{ConfirmedAt: now}}
	for _, input := range inputs {
		if _, isContact := input.(registry.QuorumContact); !isContact {
			believed = append(believed, input)
		}
	}
	return r.Registry.Step(now, believed...)
}
