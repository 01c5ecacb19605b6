package raventrestle

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/asfq"
)

// New returns the policy of one forwarder, or says what it can't work with.
func New(set Settings, seed uint64) (*Policy, error) {
	if min(set.CallSlots, set.MaxMessages, set.Forwarders, len(set.Classes)) < 1 {
		return nil, errors.New("raventrestle: CallSlots, MostHeld, Forwarders and Classes must be at least one")
	}
	p := &Policy{
		set: set, rng: rand.New(rand.NewPCG(seed, 0)), dests: map[DestID]*dest{},
		targets: map[TargetID]*target{}, msgs: map[MessageID]*msg{}, askAt: -1,
		flows: asfq.Scheduler[*dest]{Slots: set.CallSlots, MonitorPeriod: time.Hour, Tolerance: 2},
	}
	for _, c := range set.Classes {
		if c.SoftDeadline <= 0 || c.Deadline < c.SoftDeadline {
			return nil, fmt.Errorf("raventrestle: class %q needs 0 < Aim <= Deadline", c.Name)
		}
		p.flows.MonitorPeriod, p.longest = min(p.flows.MonitorPeriod, c.SoftDeadline), max(p.longest, c.Deadline)
	}
	p.idleLife, p.memory = set.IdleTimeout, max(set.WarmupDuration, p.flows.MonitorPeriod)
	p.tenants, p.connLimited = make([]odds, len(set.Tenants)), make([]bool, len(set.Kinds)+1)
	return p, nil
}

// Reconfigure gives the policy other settings while it holds messages, or says what it can't work with and keeps
// those it has. Classes, kinds, zones and tenants keep their indices, further ones stand behind them. Messages
// under way keep the class that they were taken with; an attempt beyond the new cap is not made.
func (p *Policy) Reconfigure(set Settings) error {
	next, err := New(set, 0)
	if err != nil {
		return err
	}
	was := p.set
	p.set, p.longest, p.memory = set, next.longest, next.memory
	p.flows.Slots, p.flows.MonitorPeriod = set.CallSlots, next.flows.MonitorPeriod
	if p.idleLife == was.IdleTimeout {
		p.idleLife = set.IdleTimeout
	}
	p.idleLife = min(p.idleLife, set.IdleTimeout)
	p.tenants = append(p.tenants, make([]odds, max(0, len(set.Tenants)-len(p.tenants)))...)
	unknown := len(was.Kinds) // the last mark stands for kinds that are not known
	p.connLimited = slices.Insert(p.connLimited, unknown, make([]bool, max(0, len(set.Kinds)-unknown))...)
	for _, d := range p.dests {
		if d.ki >= unknown {
			d.ki = len(set.Kinds)
		} else {
			d.kind.MaxBatch = set.Kinds[d.ki].MaxBatch // Apart says how its routes were made
		}
	}
	more := max(0, len(set.Classes)-len(was.Classes))
	for _, t := range p.targets {
		t.odds = slices.Insert(t.odds, len(was.Classes), make([]odds, more)...) // the last stands for all
	}
	return nil
}
