package raventrestle

import "slices"

// Retune gives the policy other settings while it holds messages, or says what it can't work with and keeps
// those it has. Classes, kinds, zones and tenants keep their indices, further ones stand behind them. Messages
// under way keep the class that they were taken with; an attempt beyond the new cap is not made.
func (p *Policy) Retune(set Settings) error {
	next, err := New(set, 0)
	if err != nil {
		return err
	}
	was := p.set
	p.set, p.period, p.longest, p.memory = set, next.period, next.longest, next.memory
	if p.idleLife == was.IdleClose {
		p.idleLife = set.IdleClose
	}
	p.idleLife = min(p.idleLife, set.IdleClose)
	p.tenants = append(p.tenants, make([]odds, max(0, len(set.Tenants)-len(p.tenants)))...)
	unknown := len(was.Kinds) // the last mark stands for kinds that are not known
	p.cramped = slices.Insert(p.cramped, unknown, make([]bool, max(0, len(set.Kinds)-unknown))...)
	for _, d := range p.dests {
		if d.ki >= unknown {
			d.ki = len(set.Kinds)
		} else {
			d.kind.BundleMax = set.Kinds[d.ki].BundleMax // Apart says how its routes were made
		}
	}
	more := max(0, len(set.Classes)-len(was.Classes))
	for _, t := range p.targets {
		t.odds = slices.Insert(t.odds, len(was.Classes), make([]odds, more)...) // the last stands for all
	}
	return nil
}
