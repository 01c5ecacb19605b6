package raventrestle

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/asfq"
)

// New returns the policy of one forwarder, or an error if the settings are invalid.
func New(settings Settings, seed uint64) (*Policy, error) {
	if min(settings.CallSlots, settings.MaxMessages, settings.Forwarders, len(settings.Classes)) < 1 {
		return nil, errors.New("raventrestle: CallSlots, MaxMessages, Forwarders and Classes must be at least one")
	}
	p := &Policy{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 0)), destinations: map[DestID]*destination{},
		targets: map[TargetID]*target{}, messages: map[MessageID]*message{}, listRequestAt: -1,
		flows: asfq.Scheduler[*destination]{Slots: settings.CallSlots, MonitorPeriod: time.Hour, Tolerance: 2},
	}
	for _, c := range settings.Classes {
		if c.SoftDeadline <= 0 || c.Deadline < c.SoftDeadline {
			return nil, fmt.Errorf("raventrestle: class %q needs 0 < SoftDeadline (aim_us) <= Deadline", c.Name)
		}
		p.flows.MonitorPeriod, p.maxDeadline = min(p.flows.MonitorPeriod, c.SoftDeadline), max(p.maxDeadline, c.Deadline)
	}
	p.maxIdleTime, p.failureMemory = settings.IdleTimeout, max(settings.WarmupDuration, p.flows.MonitorPeriod)
	p.tenantMessages, p.connectionsLimited =
		make([]decayingCounts, len(settings.Tenants)), make([]bool, len(settings.Kinds)+1)
	return p, nil
}

// Reconfigure replaces the settings while the policy has messages. If they are invalid, it returns an error and keeps
// the previous settings. Classes, kinds, zones and tenants keep their indices; new ones are appended. Messages keep the
// class with which they arrived. The new MaxAttempts also applies to them.
func (p *Policy) Reconfigure(settings Settings) error {
	updated, err := New(settings, 0)
	if err != nil {
		return err
	}
	old := p.settings
	p.settings, p.maxDeadline, p.failureMemory = settings, updated.maxDeadline, updated.failureMemory
	p.flows.Slots, p.flows.MonitorPeriod = settings.CallSlots, updated.flows.MonitorPeriod
	if p.maxIdleTime == old.IdleTimeout {
		p.maxIdleTime = settings.IdleTimeout
	}
	p.maxIdleTime = min(p.maxIdleTime, settings.IdleTimeout)
	p.tenantMessages = append(p.tenantMessages,
		make([]decayingCounts, max(0, len(settings.Tenants)-len(p.tenantMessages)))...)
	oldKinds := len(old.Kinds) // the last entry of connectionsLimited is for unknown kinds
	p.connectionsLimited = slices.Insert(p.connectionsLimited, oldKinds,
		make([]bool, max(0, len(settings.Kinds)-oldKinds))...)
	for _, d := range p.destinations {
		if d.kindIndex >= oldKinds {
			d.kindIndex = len(settings.Kinds)
		} else {
			// RoutePerTarget does not change, because the destination's routes already exist.
			d.kind.MaxBatch = settings.Kinds[d.kindIndex].MaxBatch
		}
	}
	addedClasses := max(0, len(settings.Classes)-len(old.Classes))
	for _, t := range p.targets {
		// The last entry is for all classes.
		t.counts = slices.Insert(t.counts, len(old.Classes), make([]decayingCounts, addedClasses)...)
	}
	return nil
}
