package simnet

import (
	"fmt"
	"slices"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal/modeldisk"
)

// machine is one host with a disk. Its process is up while engine is set.
type machine struct {
	world     *World
	address   string
	zone      string
	seeds     []string // as its settings name them
	disk      *modeldisk.Disk
	engine    *engine.Engine
	state     *machineState
	life      int
	offset    time.Duration // of the clock of this life
	drift     time.Duration // parts of clockParts that it runs too fast
	inbox     []engine.Input
	planned   bool          // a step is due
	wakeAt    time.Duration // of the step that is due, world time
	busy      time.Duration // until then the process is held by its disk
	frozen    bool
	stall     time.Duration // what the syncs of a step take longer
	removed   bool
	wiped     bool          // its disk was lost, and it has not started since
	unsure    bool          // power failed in the midst of a step, and it has not started since
	former    []*chain.Node // of lives whose disk is gone or not yet read again
	last      *chain.Node   // of the newest life
	calls     map[uint64]func(engine.Result)
	token     uint64
	downAt    time.Duration
	bornAt    time.Duration // its present member first started
	startedAt time.Duration
	epoch     uint64 // of its view after its newest step
	shown     string // of the newest state that was traced
}

// addMachine adds a machine. One that comes later is given seeds out of those that are there then, up or not.
func (w *World) addMachine(number int, founding bool) *machine {
	m := &machine{
		world:   w,
		address: fmt.Sprintf("10.%d.0.%d:7500", number%3, number),
		zone:    fmt.Sprintf("zone-%d", number%3),
		disk:    modeldisk.New(),
	}
	if !founding {
		m.seeds = w.listed()
	}
	w.machines = append(w.machines, m)
	return m
}

// listed draws seeds from the operator's list of machines.
func (w *World) listed() []string {
	var seeds []string
	for _, i := range w.random.Perm(len(w.machines)) {
		if m := w.machines[i]; !m.removed && len(seeds) < w.Seeds {
			seeds = append(seeds, m.address)
		}
	}
	return seeds
}

// founders are the addresses of the first machines.
func (w *World) founders() []string {
	var seeds []string
	for _, m := range w.machines[:w.Seeds] {
		seeds = append(seeds, m.address)
	}
	return seeds
}

// start starts the process on the disk as it is.
func (m *machine) start(bootstrap bool) {
	if m.engine != nil || m.removed || m.world.failure != nil {
		return
	}
	w := m.world
	if m.seeds == nil {
		m.seeds = w.founders()
	}
	m.life++
	m.startedAt = w.now
	m.offset = w.between(0, time.Hour)
	m.drift = w.between(-clockDrift, clockDrift)
	m.inbox, m.planned, m.frozen, m.busy, m.epoch = nil, false, false, 0, 0
	m.calls = map[uint64]func(engine.Result){}
	m.disk.NoSync = w.Mutation.NoSync
	m.state = newMachineState(m)
	defer m.powerCut()
	opened, err := engine.Open(m.local(), engine.Config{
		Self: view.Member{Address: m.address, Zone: m.zone, Tag: m.address}, Seeds: m.seeds,
		Bootstrap: bootstrap, FaultTolerance: w.FaultTolerance, FS: m.disk, StateMachine: m.state, RandomSeed: w.random.Uint64(),
		CompactBytes: w.LogSizes.CompactBytes, KeepBytes: w.LogSizes.KeepBytes, SegmentBytes: w.LogSizes.SegmentBytes, Mutation: w.Mutation,
	})
	if err != nil {
		w.fail("%s does not start: %v", m.address, err)
		return
	}
	m.engine = opened
	if m.last != nil {
		m.former = append(m.former, m.last)
	}
	if m.last == nil || m.wiped {
		m.bornAt = w.now
	}
	m.last = opened.Node()
	m.wiped, m.unsure = false, false
	w.tracef("%s starts as %s, epoch %d", m.address, m.last.Self().Identity, m.last.Epoch())
	w.ledger.started(w, m)
	m.plan(0)
}

// clockDrift bounds how unequally the clocks run, in parts of clockParts.
const (
	clockParts = 1_000_000
	clockDrift = 400
)

// local is the time on the machine's clock.
func (m *machine) local() time.Duration {
	return m.world.now + m.world.now*m.drift/clockParts + m.offset
}

// moment is the time in the world at which the machine's clock showed that time, rounded down.
func (m *machine) moment(local time.Duration) time.Duration {
	return (local-m.offset)*clockParts/(clockParts+m.drift) - 1
}

// plan sees that a step comes after the delay at the latest.
func (m *machine) plan(delay time.Duration) {
	at := max(m.world.now+delay, m.busy)
	if m.planned && m.wakeAt <= at {
		return
	}
	m.planned, m.wakeAt = true, at
	life := m.life
	m.world.after(at-m.world.now, func() {
		if m.life == life && m.planned && m.wakeAt == at && m.engine != nil && !m.frozen {
			m.step()
		}
	})
}

// put queues an input.
func (m *machine) put(input engine.Input) {
	if m.engine == nil {
		return
	}
	m.inbox = append(m.inbox, input)
	m.plan(0)
}

// step lets the process work through its inbox. What it sends leaves once its disk is done.
func (m *machine) step() {
	w := m.world
	w.steps++
	m.planned = false
	inputs, syncs := m.inbox, m.disk.Syncs
	m.inbox = nil
	if m.powerFails(inputs) {
		return
	}
	e := m.engine
	effects := e.Step(m.local(), inputs)
	took := time.Duration(m.disk.Syncs-syncs) * w.SyncDuration
	if took > 0 {
		took += m.stall
	}
	m.busy = w.now + took
	life := m.life
	w.after(took, func() {
		if m.life != life || m.engine == nil {
			return
		}
		m.carryOut(effects)
	})
	syncs = m.disk.Syncs
	if err := e.Maintain(m.local()); err != nil {
		w.tracef("%s: %v", m.address, err)
	}
	m.busy += time.Duration(m.disk.Syncs-syncs) * w.SyncDuration
	m.plan(e.NextStep() - m.local())
	m.show()
	w.check()
	w.checkContact(m)
}

// show traces a change of the member's state.
func (m *machine) show() {
	if m.world.Trace == nil || m.engine == nil {
		return
	}
	if shown := m.engine.Node().String(); shown != m.shown {
		m.shown = shown
		m.world.tracef("%s %s", m.address, shown)
	}
}

// powerFails plays the step of a machine whose power is set to fail in its midst.
func (m *machine) powerFails(inputs []engine.Input) (failed bool) {
	if m.disk.PowerLossAt == 0 {
		return false
	}
	steps := m.disk.Operations
	defer func() {
		if m.engine == nil {
			failed = true
		}
	}()
	defer m.powerCut()
	m.engine.Step(m.local(), inputs)
	_ = m.engine.Maintain(m.local())
	m.world.tracef("%s: power held through steps %d to %d", m.address, steps, m.disk.Operations)
	m.disk.PowerLossAt = 0
	m.unsure = true
	m.losePower() // at the latest before anything is sent
	return true
}

// powerCut turns the disk's panic into the loss of power.
func (m *machine) powerCut() {
	cause := recover()
	if cause == nil {
		return
	}
	if _, ok := cause.(modeldisk.PowerLoss); !ok {
		panic(cause)
	}
	m.unsure = true
	m.losePower()
}

func (m *machine) carryOut(effects engine.Output) {
	for _, envelope := range effects.Messages {
		m.world.send(m, envelope)
	}
	for _, result := range effects.Results {
		if done := m.calls[result.CallID]; done != nil {
			delete(m.calls, result.CallID)
			done(result)
		}
	}
	if effects.DiskError != nil {
		m.world.tracef("%s: %v", m.address, effects.DiskError)
	}
}

// call begins a call of a client.
func (m *machine) call(input engine.Input, done func(engine.Result)) {
	if m.engine == nil {
		return
	}
	m.token++
	input.CallID = m.token
	m.calls[m.token] = done
	m.put(input)
}

// kill ends the process; the files stand.
func (m *machine) kill() {
	if m.engine == nil {
		return
	}
	m.world.tracef("%s is killed", m.address)
	m.down()
	m.disk = m.disk.AfterKill()
}

// losePower ends the process; the disk keeps what was synced and some of the rest.
func (m *machine) losePower() {
	m.world.tracef("%s loses power", m.address)
	m.down()
	m.disk = m.disk.AfterPowerLoss(m.world.random)
}

// wipe ends the process and empties the disk.
func (m *machine) wipe() {
	m.world.tracef("%s loses its disk", m.address)
	m.down()
	m.wiped = true
	m.disk = modeldisk.New()
}

func (m *machine) down() {
	m.engine, m.inbox, m.planned = nil, nil, false
	m.life++
	m.downAt = m.world.now
}

// freeze stops the process until thaw.
func (m *machine) freeze() {
	if m.engine != nil && !m.frozen {
		m.world.tracef("%s freezes", m.address)
		m.frozen = true
	}
}

func (m *machine) thaw() {
	if m.engine == nil || !m.frozen {
		return
	}
	m.world.tracef("%s thaws", m.address)
	m.frozen, m.planned = false, false
	if m.world.random.IntN(2) == 0 { // its connections were given up meanwhile
		m.inbox = slices.DeleteFunc(m.inbox, func(input engine.Input) bool { return input.Message != nil })
	}
	m.plan(0)
}
