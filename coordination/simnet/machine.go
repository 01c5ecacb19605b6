package simnet

import (
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal/modeldisk"
)

// machine is one host with a disk. Its process is up while engine is set.
type machine struct {
	world   *World
	address string
	zone    string
	seeds   []string // as its configuration names them
	disk    *modeldisk.Disk
	removed bool // taken out of service for good

	// The process:
	incarnation   int // rises at each start and at each end
	engine        *engine.Engine
	stateMachine  *checkedStateMachine
	clockOffset   time.Duration // of the clock of this incarnation
	clockDrift    time.Duration // by how many parts of clockParts that clock runs too fast
	inbox         []engine.Input
	stepScheduled bool
	stepAt        time.Duration // world time of the scheduled step
	busyUntil     time.Duration // until then the process waits for its disk
	syncDelay     time.Duration // by which the syncs of a step take longer
	frozen        bool
	startedAt     time.Duration
	calls         map[uint64]func(engine.Result) // open calls of clients, by call ID
	lastCallID    uint64

	// What the checks need to know:
	node          *chain.Node   // of the newest incarnation, also after its end
	formerNodes   []*chain.Node // of earlier incarnations, whose disks may be lost
	wiped         bool          // its disk was lost, and it has not started since
	diskUncertain bool          // power failed during a step, and it has not started since
	memberSince   time.Duration // when its present identity first started
	lastEpoch     uint64        // of its view after its newest step
	tracedState   string        // the newest state that was traced
}

// addMachine adds a machine. One that doesn't found the group is given seeds out of the machines that there are now, up
// or not.
func (w *World) addMachine(number int, founding bool) *machine {
	m := &machine{
		world:   w,
		address: fmt.Sprintf("10.%d.0.%d:7500", number%3, number),
		zone:    fmt.Sprintf("zone-%d", number%3),
		disk:    modeldisk.New(),
	}
	if !founding {
		m.seeds = w.drawSeeds()
	}
	w.machines = append(w.machines, m)
	return m
}

// drawSeeds draws seeds from the machines that are in service.
func (w *World) drawSeeds() []string {
	var seeds []string
	for _, i := range w.random.Perm(len(w.machines)) {
		if m := w.machines[i]; !m.removed && len(seeds) < w.Seeds {
			seeds = append(seeds, m.address)
		}
	}
	return seeds
}

// founderAddresses returns the addresses of the first machines.
func (w *World) founderAddresses() []string {
	var seeds []string
	for _, m := range w.machines[:w.Seeds] {
		seeds = append(seeds, m.address)
	}
	return seeds
}

// start starts the process on the disk as it is, if it is not running.
func (m *machine) start(bootstrap bool) {
	if m.engine != nil || m.removed || m.world.failure != nil {
		return
	}
	w := m.world
	if m.seeds == nil {
		m.seeds = w.founderAddresses()
	}
	m.incarnation++
	m.startedAt = w.now
	m.clockOffset = w.between(0, time.Hour)
	m.clockDrift = w.between(-maxClockDrift, maxClockDrift)
	m.inbox, m.stepScheduled, m.frozen, m.busyUntil, m.lastEpoch = nil, false, false, 0, 0
	m.calls = map[uint64]func(engine.Result){}
	m.disk.NoSync = w.Mutation.NoSync
	m.stateMachine = newCheckedStateMachine(m)
	defer m.recoverPowerLoss()
	opened, err := engine.Open(m.localTime(), engine.Config{
		Self: view.Member{Address: m.address, Zone: m.zone, Tag: m.address}, Seeds: m.seeds,
		Bootstrap: bootstrap, FaultTolerance: w.FaultTolerance, FS: m.disk, StateMachine: m.stateMachine,
		RandomSeed:   w.random.Uint64(),
		CompactBytes: w.LogSizes.CompactBytes, KeepBytes: w.LogSizes.KeepBytes, SegmentBytes: w.LogSizes.SegmentBytes,
		Mutation: w.Mutation,
	})
	if err != nil {
		w.fail("%s does not start: %v", m.address, err)
		return
	}
	m.engine = opened
	if m.node != nil {
		m.formerNodes = append(m.formerNodes, m.node)
	}
	if m.node == nil || m.wiped {
		m.memberSince = w.now
	}
	m.node = opened.Node()
	m.wiped, m.diskUncertain = false, false
	w.tracef("%s starts as %s, epoch %d", m.address, m.node.Self().Identity, m.node.Epoch())
	w.model.checkStarted(w, m)
	m.scheduleStep(0)
}

// maxClockDrift bounds how unequally the clocks run, in parts of clockParts.
const (
	clockParts    = 1_000_000
	maxClockDrift = 400
)

// localTime returns the time on the machine's clock.
func (m *machine) localTime() time.Duration {
	return m.world.now + m.world.now*m.clockDrift/clockParts + m.clockOffset
}

// worldTime returns the world time at which the machine's clock showed the local time, rounded down.
func (m *machine) worldTime(local time.Duration) time.Duration {
	return (local-m.clockOffset)*clockParts/(clockParts+m.clockDrift) - 1
}
