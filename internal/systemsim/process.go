package systemsim

import "time"

// process is what all modelled processes have in common.
type process struct {
	world   *World
	address string
	zone    int
	takes   func(s *stream, message any) // a message came
	opened  func(s *stream)              // a dialled stream is up
	ended   func(s *stream)              // a stream has ended, or could not be made
	thawed  func()

	life    int // rises with each start and each end
	running bool
	powered bool
	frozen  bool
	offset  time.Duration // of the clock of this life
	drift   time.Duration // parts of a million by which it runs faster
	began   time.Duration // world time
	trouble time.Duration // newest start, end, freeze or thaw
	backlog []func()      // what waits while it is frozen
	stepsAt time.Duration // begin of the span in which steps are counted
	steps   int
	streams []*stream // that it has an end of
}

func (p *process) begin() {
	w := p.world
	p.life++
	p.running, p.powered, p.frozen = true, true, false
	p.offset = w.between(time.Second, time.Hour)
	p.drift = w.between(-mostDrift, mostDrift)
	p.began, p.trouble = w.Now(), w.Now()
	p.backlog, p.streams = nil, nil
	w.tracef("%s starts", p.address)
	w.network.changed()
}

// end ends the process. Its kernel tells its peers, unless the machine lost power.
func (p *process) end(power bool) {
	w := p.world
	p.life++
	p.running, p.frozen, p.powered = false, false, power
	p.trouble = w.Now()
	p.backlog = nil
	for _, s := range p.streams {
		s.endOf(p).abandoned(power)
	}
	p.streams = nil
	w.network.changed()
}

func (p *process) freeze() {
	if !p.running || p.frozen {
		return
	}
	p.world.tracef("%s freezes", p.address)
	p.frozen, p.trouble = true, p.world.Now()
	p.world.network.changed()
}

func (p *process) thaw() {
	if !p.running || !p.frozen {
		return
	}
	p.world.tracef("%s thaws", p.address)
	p.frozen, p.trouble = false, p.world.Now()
	p.world.network.changed()
	waiting, life := p.backlog, p.life
	p.backlog = nil
	for _, run := range waiting {
		run()
	}
	if p.life == life {
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
	million   = 1_000_000
	mostDrift = 200                   // parts of a million
	rounding  = 10 * time.Microsecond // of times that were turned back
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
	life := p.life
	p.world.After(delay, func() { p.do(life, run) })
}

func (p *process) do(life int, run func()) {
	switch {
	case p.life != life || p.world.failure != nil:
	case p.frozen:
		p.backlog = append(p.backlog, func() { p.do(life, run) })
	default:
		run()
	}
}

// mostSteps is how often a process may step within stepSpan. One that asks to be woken at once, again and again, would
// stop the world's time.
const (
	mostSteps = 20_000
	stepSpan  = 100 * time.Millisecond
)

// countStep notes a step of one of the process's loops.
func (p *process) countStep() {
	w := p.world
	w.steps++
	p.steps++
	if w.Now()-p.stepsAt > stepSpan {
		p.stepsAt, p.steps = w.Now(), 0
	}
	if p.steps > mostSteps {
		w.fail(ruleBusy, "%s has stepped %d times in %v", p.address, p.steps, w.Now()-p.stepsAt)
	}
}
