package systemsim

import "time"

// process is what all simulated processes have in common. A process has incarnations: what one planned is dropped when it
// ends.
type process struct {
	world   *World
	address string
	zone    int
	receive func(s *stream, message any) // a message arrived
	opened  func(s *stream)              // a stream that it dialled is open
	ended   func(s *stream)              // a stream ended, or could not be opened
	thawed  func()                       // it goes on after a freeze

	incarnation     int // rises with each start and each end
	running         bool
	powered         bool
	frozen          bool
	offset          time.Duration // of the clock of this incarnation
	drift           time.Duration // parts of a million by which it runs faster
	startedAt       time.Duration // virtual time
	faultAt         time.Duration // newest start, end, freeze, thaw or fault of its disk
	backlog         []func()      // what is due while it is frozen
	stepWindowStart time.Duration // since when steps are counted
	steps           int
	streams         []*stream // with an end at this process
}

// begin begins an incarnation, with a clock of its own.
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

// end ends the incarnation. The kernel closes its streams, unless the machine lost power.
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

// freeze stops the process, as SIGSTOP or a paused machine would; its kernel goes on.
func (p *process) freeze() {
	if !p.running || p.frozen {
		return
	}
	p.world.tracef("%s freezes", p.address)
	p.frozen, p.faultAt = true, p.world.Now()
	p.world.network.topologyChanged()
}

// thaw ends a freeze: what was due meanwhile runs at once.
func (p *process) thaw() {
	if !p.running || !p.frozen {
		return
	}
	p.world.tracef("%s thaws", p.address)
	p.frozen, p.faultAt = false, p.world.Now()
	p.world.network.topologyChanged()
	due, incarnation := p.backlog, p.incarnation
	p.backlog = nil
	for _, run := range due {
		run()
	}
	if p.incarnation == incarnation {
		p.thawed()
	}
}

// local returns the time on the process's steady clock, which runs a little faster or slower than virtual time.
func (p *process) local() time.Duration {
	now := p.world.Now()
	return p.offset + now + now*p.drift/million
}

// clock returns the same as a time.Time.
func (p *process) clock() time.Time { return instant(p.local()) }

// worldTime converts a time of the process's clock to virtual time.
func (p *process) worldTime(t time.Time) time.Duration {
	return (t.Sub(clockBase) - p.offset) * million / (million + p.drift)
}

const (
	million           = 1_000_000
	maxDrift          = 200                   // in parts of a million
	roundingTolerance = 10 * time.Microsecond // of times that were converted
)

// clockBase is the zero of all steady clocks.
var clockBase = time.Unix(1_000_000, 0)

// instant returns a time of a steady clock as a time.Time; zero stays zero.
func instant(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return clockBase.Add(at)
}

// after runs something after a delay, in this incarnation and once the process is not frozen.
func (p *process) after(delay time.Duration, run func()) {
	incarnation := p.incarnation
	p.world.After(delay, func() { p.do(incarnation, run) })
}

// do runs something unless its incarnation is over, once the process is not frozen.
func (p *process) do(incarnation int, run func()) {
	switch {
	case p.incarnation != incarnation || p.world.failure != nil:
	case p.frozen:
		p.backlog = append(p.backlog, func() { p.do(incarnation, run) })
	default:
		run()
	}
}

// maxSteps is how often a process may step in stepWindow. One that asks to be woken at once, again and again, would stop
// virtual time.
const (
	maxSteps   = 20_000
	stepWindow = 100 * time.Millisecond
)

// countStep counts a step of one of the process's loops.
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
