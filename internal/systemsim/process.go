package systemsim

import (
	"time"
)

// process is what all modelled processes have in common.
type process struct {
	world   *World
	address string
	zone    int
	receive func(s *stream, message any) // a message came
	opened  func(s *stream)              // a dialled stream is up
	ended   func(s *stream)              // a stream has ended, or could not be made
	thawed  func()

	incarnation     int // rises with each start and each end
	running         bool
	powered         bool
	frozen          bool
	offset          time.Duration // of the clock of this life
	drift           time.Duration // parts of a million by which it runs faster
	startedAt       time.Duration // world time
	faultAt         time.Duration // newest start, end, freeze or thaw
	backlog         []func()      // what waits while it is frozen
	stepWindowStart time.Duration // begin of the span in which steps are counted
	steps           int
	streams         []*stream // that it has an end of
}

func (p *process) begin() {
	w := p.world
	p.incarnation++
	p.running, p.powered, p.frozen = true, true, false
	p.offset = w.between(time.Second, time.Hour)
	p.drift = w.between(-maxDrift, maxDrift)
	p.startedAt, p.faultAt = w.Now(), w.Now()
	p.backlog, p.streams = nil, nil
	w.tracef("%s starts", p.address)
	w.network.topologyChanged()
}

// end ends the process. Its kernel tells its peers, unless the machine lost power.
func (p *process) end(power bool) {
	w := p.world
	p.incarnation++
	p.running, p.frozen, p.powered = false, false, power
	p.faultAt = w.Now()
	p.backlog = nil
	for _, s := range p.streams {
		s.endOf(p).processEnded(power)
	}
	p.streams = nil
	w.network.topologyChanged()
}

func (p *process) freeze() {
	if !p.running || p.frozen {
		return
	}
	p.world.tracef("%s freezes", p.address)
	p.frozen, p.faultAt = true, p.world.Now()
	p.world.network.topologyChanged()
}

func (p *process) thaw() {
	if !p.running || !p.frozen {
		return
	}
	p.world.tracef("%s thaws", p.address)
	p.frozen, p.faultAt = false, p.world.Now()
	p.world.network.topologyChanged()
	waiting, life := p.backlog, p.incarnation
	p.backlog = nil
	for _, run := range waiting {
		run()
	}
	if p.incarnation == life {
		p.thawed()
	}
}

// local is the time on the process's steady clock, which runs a little faster or slower than the world's.
func (p *process) local() time.Duration {
	now := p.world.Now()
	return p.offset + now + now*p.drift/million
}

func (p *process) clock() time.Time { return instant(p.local()) }

// worldTime turns a time of the process's clock back.
func (p *process) worldTime(t time.Time) time.Duration {
	return (t.Sub(clockBase) - p.offset) * million / (million + p.drift)
}

const (
	million           = 1_000_000
	maxDrift          = 200                   // parts of a million
	roundingTolerance = 10 * time.Microsecond // of times that were turned back
)

// clockBase is the zero of all steady clocks.
var clockBase = time.Unix(1_000_000, 0)

// instant turns a time of a steady clock into the form of hosts; zero stays zero.
func instant(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return clockBase.Add(at)
}

// after runs something in this life of the process, once it is not frozen.
func (p *process) after(delay time.Duration, run func()) {
	life := p.incarnation
	p.world.After(delay, func() { p.do(life, run) })
}

func (p *process) do(life int, run func()) {
	switch {
	case p.incarnation != life || p.world.failure != nil:
	case p.frozen:
		p.backlog = append(p.backlog, func() { p.do(life, run) })
	default:
		run()
	}
}

// mostSteps is how often a process may step within stepSpan. One that asks to be woken at once, again and again, would
// stop the world's time.
const (
	maxSteps   = 20_000
	stepWindow = 100 * time.Millisecond
)

// countStep notes a step of one of the process's loops.
func (p *process) countStep() {
	w := p.world
	w.steps++
	p.steps++
	if w.Now()-p.stepWindowStart > stepWindow {
		p.stepWindowStart, p.steps = w.Now(), 0
	}
	if p.steps > maxSteps {
		w.fail(ruleBusy, "%s has stepped %d times in %v", p.address, p.steps, w.Now()-p.stepWindowStart)
	}
}
