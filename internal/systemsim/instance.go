package systemsim

import (
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/replica"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal/modeldisk"
	"raventrestle/internal/control/controller"
	"raventrestle/internal/control/roles"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

// Times of an instance's process.
const (
	syncDuration    = 5 * time.Millisecond
	proposalTimeout = 800 * time.Millisecond
	roleInterval    = 50 * time.Millisecond
	readyGrace      = 2 * time.Second // until an instance without a majority acknowledges no heartbeat of a ready endpoint
)

// instance is one control instance: a replica with its disk, the controller for routers and endpoints, and the roles.
type instance struct {
	process
	disk       *modeldisk.Disk
	engine     *engine.Engine
	machine    *state.Machine
	status     replica.Status // as the replica published it last
	leadership *roles.Leadership
	role       roles.LeadershipOutput
	host       host
	mesh       mesh

	inbox     []engine.Input
	stepAt    time.Duration // of the planned step, world time; zero: none is planned
	busyUntil time.Duration // until then the replica waits for its disk
	syncDelay time.Duration // what a step's syncs take longer
	calls     map[uint64]func(engine.Result)
	token     uint64

	reachesMajority  bool          // it reaches more than half of all instances
	isolatedSince    time.Duration // since when it has no way to a majority of the voters and back; never: it has
	partitionedSince time.Duration // since when it has none to the whole chain either; never: it has
	hearsNobodySince time.Duration // since when no other instance is heard; never: one is
}

// replicaMessage is a message between replicas.
type replicaMessage struct {
	from    string
	content chain.Message
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

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// zones that machines are spread over.
const zones = 3

func (w *World) seedAddresses() []string {
	var list []string
	for _, i := range w.instances[:min(seedInstances, len(w.instances))] {
		list = append(list, i.address)
	}
	return list
}

// start starts the process on the disk as it is.
func (i *instance) start(bootstrap bool) {
	w := i.world
	if i.running || w.failure != nil {
		return
	}
	i.begin()
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

func (i *instance) down(power bool) {
	if !i.running {
		return
	}
	i.end(power)
	i.engine = nil
}

// crash ends the process; the files stand.
func (i *instance) crash() {
	if i.running && !i.world.finishing {
		i.world.tracef("%s is killed", i.address)
		i.down(true)
		i.disk = i.disk.AfterKill()
	}
}

// losePower ends the process; the disk keeps what was synced and some of the rest.
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

// scheduleStep sees that the replica's next step comes after the delay at the latest.
func (i *instance) scheduleStep(delay time.Duration) {
	at := max(i.world.Now()+delay, i.busyUntil)
	if i.stepAt > i.world.Now() && i.stepAt <= at {
		return
	}
	i.stepAt = at
	i.after(at-i.world.Now(), func() {
		if i.stepAt == at {
			i.stepAt = 0
			i.step()
		}
	})
}

func (i *instance) enqueue(input engine.Input) {
	i.inbox = append(i.inbox, input)
	i.scheduleStep(0)
}

// step lets the replica work. What follows from it leaves once its disk is done.
func (i *instance) step() {
	w := i.world
	i.countStep()
	inputs, syncs := i.inbox, i.disk.Syncs
	i.inbox = nil
	now := i.local()
	effects := i.engine.Step(now, inputs)
	status := statusOf(i.engine.Status(now))
	took := time.Duration(i.disk.Syncs-syncs) * syncDuration
	if took > 0 {
		took += i.syncDelay
	}
	i.busyUntil = w.Now() + took
	i.after(took, func() { i.carryOut(effects, status) })
	syncs = i.disk.Syncs
	_ = i.engine.Maintain(now) // a disk that refuses is told of by the engine
	i.busyUntil += time.Duration(i.disk.Syncs-syncs) * syncDuration
	i.scheduleStep(i.engine.NextStep() - now)
}

func (i *instance) carryOut(effects engine.Output, status replica.Status) {
	for _, envelope := range effects.Messages {
		i.mesh.send(envelope.Address, replicaMessage{from: i.address, content: envelope.Message})
	}
	i.publish(status)
	for _, result := range effects.Results {
		i.complete(result)
	}
	for _, withdrawn := range effects.Cancellations {
		i.complete(engine.Result{CallID: withdrawn.CallID, Err: engine.ErrOutcomeUnknown})
	}
}

func (i *instance) complete(result engine.Result) {
	if done := i.calls[result.CallID]; done != nil {
		delete(i.calls, result.CallID)
		done(result)
	}
}

// publish shows the newest status to the rest of the process.
func (i *instance) publish(status replica.Status) {
	before := i.status
	i.status = status
	i.world.checkInstance(i)
	moved := before.View.Epoch != status.View.Epoch || before.CommitIndex != status.CommitIndex ||
		before.IsLeader != status.IsLeader || len(before.LiveMembers) != len(status.LiveMembers)
	if moved {
		i.host.post(controller.ReplicaChanged{})
		i.stepRole()
	}
}

// submit has the replica work on a call and gives it up after a time.
func (i *instance) submit(input engine.Input, within time.Duration, done func(engine.Result)) {
	i.token++
	token := i.token
	input.CallID = token
	i.calls[token] = done
	i.enqueue(input)
	i.after(within, func() {
		if i.calls[token] != nil {
			i.enqueue(engine.Input{CallID: token, Cancel: true})
		}
	})
}

// receive takes what came on a stream.
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

// newest is the committed configuration as this instance has it.
func (i *instance) newest() (int64, []byte) { return i.machine.Current() }

// stepRolePeriodically looks at the role as its holder's loop does: now and then, and when the replica's status moves.
func (i *instance) stepRolePeriodically() {
	i.stepRole()
	i.after(roleInterval, i.stepRolePeriodically)
}

// stepRole stands in for the holder of the roles: it notes that it acts whenever it may.
func (i *instance) stepRole() {
	i.role = i.leadership.Step(i.clock(), i.currentStatus())
	if i.role.MayAct {
		i.world.recordRoleAction(i)
	}
}

// currentStatus is the published status, with the lease looked at now.
func (i *instance) currentStatus() replica.Status {
	status := i.status
	if status.IsLeader && !i.clock().Before(status.LeaseExpiry) {
		status.IsLeader = false
	}
	return status
}

// mayAct tells whether the instance may act in a role at this moment.
func (i *instance) mayAct() bool {
	return i.running && !i.frozen && i.role.MayAct && i.currentStatus().IsLeader
}

// applyChange carries out an operator's call.
func (i *instance) applyChange(o *change, answer func(any)) {
	w, came := i.world, i.world.Now()
	command, err := state.NewCommand(state.Replace, o.base, o.body)
	if err != nil {
		w.fail(ruleRejected, "order %s: %v", o.name, err)
		return
	}
	i.submit(engine.Input{Command: command}, proposalTimeout, func(result engine.Result) {
		decided, err := state.DecodeResult(result.Value)
		if result.Err != nil || err != nil {
			answer(changeAnswer{code: codeUnavailable})
			return
		}
		w.checkAnswered(i, came, i.partitionedSince, "order "+o.name)
		switch decided := decided.(type) {
		case state.Accepted:
			w.recordAcknowledgement(i, o, decided.Generation)
			answer(changeAnswer{code: codeAccepted, generation: decided.Generation})
		case state.VersionMismatch:
			w.checkRejection(i, o, codeMismatch)
			answer(changeAnswer{code: codeMismatch, generation: decided.Current})
		default:
			w.checkRejection(i, o, codeInvalid)
			answer(changeAnswer{code: codeInvalid})
		}
	})
}

// read carries out an operator's call for the newest version.
func (i *instance) read(answer func(any)) {
	i.submit(engine.Input{Barrier: true}, proposalTimeout, func(result engine.Result) {
		if result.Err != nil {
			answer(changeAnswer{code: codeUnavailable})
			return
		}
		generation, _ := i.newest()
		answer(changeAnswer{code: codeAccepted, generation: generation})
	})
}

// heartbeat and left carry out endpoints' calls.
func (i *instance) heartbeat(told protocol.Endpoint, answer func(any)) {
	came := i.world.Now()
	i.host.heartbeat(told, func(taken bool) {
		if taken {
			i.checkHeartbeat(told, came)
		}
		answer(taken)
	})
}

// checkHeartbeat: those of ready endpoints, which bind nobody, are acknowledged for a while without a majority.
func (i *instance) checkHeartbeat(told protocol.Endpoint, came time.Duration) {
	apart := i.isolatedSince
	if told.State == protocol.Ready && apart != never {
		apart += readyGrace
	}
	i.world.checkAnswered(i, came, apart, "a heartbeat of "+told.ID)
}

func (i *instance) deregister(id string, answer func(any)) {
	came := i.world.Now()
	i.host.deregister(id, func(taken bool) {
		if taken {
			i.world.checkAnswered(i, came, i.isolatedSince, "the end of "+id)
		}
		answer(taken)
	})
}

func statusOf(s chain.Status) replica.Status {
	return replica.Status{
		Self: s.Self, View: s.View, CommitIndex: s.CommitIndex, LiveMembers: s.LiveMembers, IsLeader: s.IsLeader,
		LeaseExpiry: instant(s.LeaseExpiry), LeaderSince: instant(s.LeaderSince),
		PreviousLeaseExpiry: instant(s.PreviousLeaseExpiry), ConfirmedAt: instant(s.ConfirmedAt),
	}
}

func (i *instance) origin() protocol.Origin {
	return protocol.Origin{Address: i.address, Incarnation: uint64(i.incarnation)}
}
