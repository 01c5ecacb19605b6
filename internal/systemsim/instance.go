package systemsim

import (
	"fmt"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/replica"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal/modeldisk"
	"raventrestle/internal/control/controller"
	"raventrestle/internal/control/roles"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

// Times of an instance.
const (
	syncDuration    = 5 * time.Millisecond
	proposalTimeout = 800 * time.Millisecond
	roleInterval    = 50 * time.Millisecond
	maxClockError   = 5 * time.Second // of an instance's time of day
	readyGrace      = 2 * time.Second // an isolated instance acknowledges heartbeats of ready endpoints no longer
)

// instance is one control instance: a replica with its disk, the controller for routers and endpoints, and the leadership
// of the singleton roles.
type instance struct {
	process
	disk       *modeldisk.Disk
	engine     *engine.Engine
	machine    *state.Machine
	status     replica.Status // published last
	leadership *roles.Leadership
	role       roles.LeadershipOutput
	host       host
	mesh       mesh
	clockError time.Duration // of the time of day; drawn at each start

	inbox     []engine.Input
	stepAt    time.Duration                  // virtual time of the planned step; zero: none is planned
	busyUntil time.Duration                  // the replica waits for its disk until then
	syncDelay time.Duration                  // added to a step's syncs: see slowDisk
	calls     map[uint64]func(engine.Result) // by number
	callID    uint64                         // of the newest call

	reachesMajority  bool          // it has paths to more than half of all instances
	isolatedSince    time.Duration // since when messages to and from a majority of the voters have no way; never: they have
	partitionedSince time.Duration // since when those to and from all of the chain have none either; never: they have
	hearsNobodySince time.Duration // since when no message of another instance can arrive; never: one can
}

func newInstance(w *World, number int) *instance {
	i := &instance{disk: modeldisk.New(), isolatedSince: never, partitionedSince: never, hearsNobodySince: never}
	i.process = process{
		world: w, address: fmt.Sprintf("10.%d.0.%d:7500", number%zones, number), zone: number % zones,
		receive: i.receive, opened: i.streamOpened, ended: i.streamEnded,
	}
	i.thawed = func() { i.scheduleStep(0) }
	return i
}

// timeOfDay returns what the machine takes for the time of day.
func (i *instance) timeOfDay() time.Time { return instant(i.world.Now() + i.clockError) }

// zoneName returns the name of a zone, from 0 on.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// zones is how many zones machines are spread over.
const zones = 3

// seedAddresses returns the addresses of the seeds.
func (w *World) seedAddresses() []string {
	var list []string
	for _, i := range w.instances[:min(seedInstances, len(w.instances))] {
		list = append(list, i.address)
	}
	return list
}

// instanceAt returns the instance with an address; nil: there is none.
func (w *World) instanceAt(address string) *instance {
	for _, i := range w.instances {
		if i.address == address {
			return i
		}
	}
	return nil
}

// start starts the process on the disk as it is, unless it runs.
func (i *instance) start(bootstrap bool) {
	w := i.world
	if i.running || w.failure != nil {
		return
	}
	i.begin()
	i.clockError = w.between(-maxClockError, maxClockError)
	i.inbox, i.stepAt, i.busyUntil = nil, 0, 0
	i.calls = make(map[uint64]func(engine.Result))
	i.machine = state.New()
	opened, err := engine.Open(i.local(), engine.Config{
		Self:  view.Member{Address: i.address, Zone: zoneName(i.zone), Tag: i.address},
		Seeds: w.seedAddresses(), Bootstrap: bootstrap, FaultTolerance: faultTolerance, FS: i.disk, StateMachine: i.machine,
		RandomSeed: w.random.Uint64(), CompactBytes: 6000, KeepBytes: 1000, SegmentBytes: 4000,
	})
	if err != nil {
		w.fail("start", "%s does not start: %v", i.address, err)
		return
	}
	i.engine = opened
	i.status = statusOf(opened.Status(i.local()))
	i.leadership, i.role = roles.NewLeadership(lease, i.clock()), roles.LeadershipOutput{}
	i.mesh = newMesh(i)
	i.host = newHost(i)
	i.scheduleStep(0)
	i.host.scheduleStep(0)
	i.stepRolePeriodically()
}

// down ends the process; without power its kernel ends too.
func (i *instance) down(power bool) {
	if !i.running {
		return
	}
	i.end(power)
	i.engine = nil
}

// crash ends the process by force; its files stay.
func (i *instance) crash() {
	if i.running && !i.world.finishing {
		i.world.tracef("%s crashes", i.address)
		i.down(true)
		i.disk = i.disk.AfterKill()
	}
}

// losePower ends the process; its disk keeps what was synced and some of the rest.
func (i *instance) losePower() {
	if i.running {
		i.world.tracef("%s loses power", i.address)
		i.down(false)
		i.disk = i.disk.AfterPowerLoss(i.world.random)
	}
}

// wipe ends the process and empties the disk.
func (i *instance) wipe() {
	i.world.tracef("%s loses its disk", i.address)
	i.down(true)
	i.disk = modeldisk.New()
}

// receive gives a message to the replica or to the controller.
func (i *instance) receive(s *stream, message any) {
	if m, isReplica := message.(replicaMessage); isReplica {
		i.enqueue(engine.Input{Message: &m.content, Address: m.from})
		return
	}
	i.host.post(controller.MessageReceived{Connection: s, Message: message})
}

func (i *instance) streamOpened(s *stream) { i.mesh.opened(s) }

func (i *instance) streamEnded(s *stream) {
	i.mesh.ended(s)
	i.host.post(controller.ConnectionClosed{Connection: s})
}

// newest returns the newest committed configuration that this instance has.
func (i *instance) newest() (int64, []byte) { return i.machine.Current() }

// origin returns what names this incarnation to other instances.
func (i *instance) origin() protocol.Origin {
	return protocol.Origin{Address: i.address, Incarnation: uint64(i.incarnation)}
}
