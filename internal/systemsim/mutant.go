package systemsim

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/controller"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/subscription"
)

// Mutant names a fault that is put into the processes to see that the checks find it.
type Mutant string

// The mutants.
const (
	NoMutant            Mutant = ""
	FollowFirst         Mutant = "router follows the first instance that answers"
	TrustAllBeacons     Mutant = "router trusts all beacons"
	StampFresh          Mutant = "instance always states a fresh contact"
	DrainWithoutContact Mutant = "instance acknowledges drains without contact"
	ForgetDepartures    Mutant = "instance forgets the ends of endpoints when it restarts"
)

// newDecider returns the decider of a router.
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

// mutateMessage returns a message as the router's decider receives it. Each router gets a copy, as from the wire.
func (w *World) mutateMessage(message any) any {
	mutate := func(s *protocol.FreshnessProof) {
		if w.Mutant == TrustAllBeacons {
			s.HasMajorityContact, s.MajorityContactAge, s.Epoch = true, 0, math.MaxInt64
		}
	}
	switch m := message.(type) {
	case *protocol.Update:
		c := *m
		mutate(&c.Freshness)
		return &c
	case *protocol.Beacon:
		c := *m
		mutate(&c.Freshness)
		return &c
	case *protocol.ProbeReply:
		c := *m
		mutate(&c.Freshness)
		return &c
	}
	return message
}

// mutateStatus returns the replica's status as the controller reads it.
func (w *World) mutateStatus(status replica.Status, now time.Time) replica.Status {
	if w.Mutant == StampFresh {
		status.ConfirmedAt = now
	}
	return status
}

// mutateDepartures returns the committed departures as the controller reads them.
func (w *World) mutateDepartures(committed departures.Table) departures.Table {
	if w.Mutant == ForgetDepartures {
		return departures.Table{}
	}
	return committed
}

// mutateRegistry returns the registry as the controller uses it.
func (w *World) mutateRegistry(endpoints *registry.Registry) controller.EndpointRegistry {
	if w.Mutant == DrainWithoutContact {
		return registryWithoutContact{endpoints}
	}
	return endpoints
}

// registryWithoutContact is a registry that is always given a fresh contact with a majority, true or not.
type registryWithoutContact struct{ *registry.Registry }

// Step implements controller.EndpointRegistry.
func (r registryWithoutContact) Step(now time.Time, inputs ...registry.Input) registry.Output {
	mutated := []registry.Input{registry.QuorumContact{ConfirmedAt: now}}
	for _, input := range inputs {
		if _, isContact := input.(registry.QuorumContact); !isContact {
			mutated = append(mutated, input)
		}
	}
	return r.Registry.Step(now, mutated...)
}
