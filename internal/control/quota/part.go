package quota

import (
	"math"
	"time"
)

// demandAt is the averaged demand now.
func (p *part) demandAt(now time.Time) float64 {
	return p.demand * math.Exp(-math.Max(0, now.Sub(p.lastAt).Seconds()-reportLag.Seconds())/demandTime.Seconds())
}

// expire drops grants that have run out.
func (p *part) expire(now time.Time) {
	kept := p.possible[:0]
	for _, g := range p.possible {
		if now.Before(g.until) {
			kept = append(kept, g)
		}
	}
	p.possible = kept
	credits := p.credits[:0]
	for _, c := range p.credits {
		if now.Before(c.until) && c.amount > 0 {
			credits = append(credits, c)
		}
	}
	p.credits = credits
	if now.After(p.foreign.until) {
		p.foreign = credit{}
	}
}

// lent is what was lent and may still be spent.
func (p *part) lent() float64 {
	sum := p.foreign.amount
	for _, c := range p.credits {
		sum += c.amount
	}
	return sum
}

// underWay is what was lent and had not arrived when the router last reported what it lacks.
func (p *part) underWay() float64 {
	sum := 0.0
	for _, c := range p.credits {
		if !c.taken {
			sum += c.amount
		}
	}
	return sum
}

// settle takes what a router reports as spent off its credits, the oldest first: it spends them before the rest.
func (p *part) settle(spent float64) {
	foreign := math.Min(p.foreign.amount, math.Max(0, spent))
	p.foreign.amount -= foreign
	spent -= foreign
	for i := range p.credits {
		used := math.Min(p.credits[i].amount, math.Max(0, spent))
		p.credits[i].amount -= used
		spent -= used
	}
}

// confirm drops the grants before this batch: the router has replaced them.
func (p *part) confirm(now time.Time, batch uint64) {
	for i := range p.credits {
		p.credits[i].taken = p.credits[i].taken || p.credits[i].batch == batch
	}
	at := -1
	for i, g := range p.possible {
		if g.batch == batch {
			at = i
		}
	}
	if at < 0 {
		return
	}
	p.possible = p.possible[at:]
	p.possible[0].wasConfirmed = true
	if end := now.Add(p.possible[0].lasts); end.Before(p.possible[0].until) {
		p.possible[0].until = end
	}
}

// most is the largest extra that may be in force.
func (p *part) most() float64 {
	most := 0.0
	for _, g := range p.possible {
		most = math.Max(most, g.extra)
	}
	return most
}

// deepest is the largest depth that may be in force.
func (p *part) deepest() float64 {
	most := 0.0
	for _, g := range p.possible {
		most = math.Max(most, g.depth)
	}
	return most
}

// due tells whether what was decided must be sent: it changed, or what the router has ends soon. A part that is
// no more than the router has without a grant is not sent.
func (p *part) due(now time.Time, floor, evenDepth float64) bool {
	if len(p.possible) == 0 {
		return p.extra > changePart*floor || p.depth > (1+changePart)*evenDepth
	}
	last := p.possible[len(p.possible)-1]
	if now.Sub(last.sent).Seconds() > renewPart*last.lasts.Seconds() {
		return true
	}
	return differs(last.rate, floor+p.extra) || differs(last.depth, p.depth)
}

func differs(before, after float64) bool {
	return math.Abs(after-before) > changePart*math.Max(before, 1e-9)
}
