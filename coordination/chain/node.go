package chain

import (
	"math/rand/v2"
	"time"

	"raventrestle/coordination/view"
)

// A node's step: every exported method that takes the time enters the step with enterStep, changes the state, and
// ends with finish, which lets all timers act and returns the step's output.
//
// Invariants:
//
//   - No message leaves the member before the state that it depends on is on disk: the messages of an Output are sent
//     only after its records are synced.
//   - A member answers and accepts only messages of its own epoch (checkEpoch). Once it has promised a proposal for a
//     later epoch, it accepts none that could lead to a commit (sealed).

// Node is the state machine of one member: its part in the chain, in the decisions on views, and in failure
// detection.
//
// A Node has no clock, disk, network or goroutine, and it is not safe for concurrent use. Its owner calls one method
// at a time, carries out the Output, and calls Persisted or PersistFailed before the next one. All times are readings
// of one steady clock of the owner. The same calls with the same Config have the same results.
type Node struct {
	config      Config
	timing      Timing
	random      *rand.Rand
	incarnation uint64 // drawn at each start; also CommandID.Proposer of its own commands

	durableState    // after the steps so far
	persisted       durableState
	diskFailing     bool // the disk rejects writes: accept nothing that must be synced
	unsavedProgress bool // commitIndex or knownMembers differ from the disk's; saved with the next record
	appliedIndex    uint64
	recent          recentCommands
	snapshotBytes   int           // size of the newest snapshot on disk
	beforeInstall   *appliedState // set while a snapshot from another member is not on disk yet
	leaving         bool
	// priorLeasesExpired is set when no leader of an earlier epoch than the view's can still regard its lease as
	// valid.
	priorLeasesExpired bool
	lastStep           time.Duration
	nextTick           time.Duration
	startedAt          time.Duration

	logMatched      bool   // the log was compared in this epoch and is a prefix of the upstream member's
	epochStartIndex uint64 // a log that matches up to it is complete in this epoch

	peers              []*peer // in the order in which they became known
	membershipVersion  uint64
	membership         membershipTable
	detector           failureDetector
	freshness          freshness
	receiptGenerations uint64 // number of receipt generations started in this incarnation
	viewChange         viewChange
	catchUp            catchUp
	pending            pendingRequests

	out Output // of the current step
}

const (
	idleTickInterval = time.Second          // maximum time between two steps
	minTickInterval  = 2 * time.Millisecond // minimum time until the next step
)

// New returns a node that continues from the state on disk. A zero Config.Timing is replaced by DefaultTiming.
func New(now time.Duration, state State, config Config) *Node {
	if config.Timing == (Timing{}) {
		config.Timing = DefaultTiming()
	}
	random := rand.New(rand.NewPCG(config.RandomSeed, 0x9e3779b97f4a7c15))
	n := &Node{config: config, timing: config.Timing, random: random, incarnation: random.Uint64() | 1}
	n.durableState = durableState{
		self:          state.Self,
		view:          state.View,
		acceptor:      state.Acceptor,
		completeEpoch: state.CompleteEpoch,
		commitIndex:   state.CommitIndex,
		snapshot:      state.Snapshot,
		log:           memoryLog{baseIndex: state.BaseIndex, baseEpoch: state.BaseEpoch, entries: state.Entries},
		knownMembers:  state.KnownMembers,
	}
	n.persisted = n.durableState
	n.appliedIndex = state.Snapshot.Index
	n.recent = newRecentCommands(state.RecentCommands)
	n.startedAt, n.lastStep = now, now
	n.membershipVersion = random.Uint64() >> 1
	if state.View.Epoch > 1 {
		n.detector.previousLeaseExpiry = now + n.timing.LeaseTTL + leaseMargin
	}
	n.pending.lastID = random.Uint64() >> 1
	n.catchUp.lastRequestID = random.Uint64() >> 1
	n.resetVolatile(now)
	n.resetLastHeard(now)
	return n
}

// Tick lets timers act. The owner calls it at the time that NextTick returned.
func (n *Node) Tick(now time.Duration) Output {
	n.enterStep(now)
	return n.finish(now)
}

// Receive handles a message that came from the transport address.
func (n *Node) Receive(now time.Duration, address string, message Message) Output {
	n.enterStep(now)
	n.receive(now, address, message)
	return n.finish(now)
}

// NextTick returns when Tick is due, on the owner's clock.
func (n *Node) NextTick() time.Duration { return n.nextTick }

// enterStep begins a step. If the process was stopped for a while, what it knows about the other members is out of
// date, and it must not act on a lease that has expired meanwhile.
func (n *Node) enterStep(now time.Duration) {
	late := now - max(n.lastStep, n.nextTick)
	if n.lastStep > 0 && late > n.timing.StallTimeout {
		n.recoverFromStall(now)
	}
	n.lastStep = now
}

// finish runs everything that may be due after a change or by time, and returns the output of the step.
func (n *Node) finish(now time.Duration) Output {
	n.nextTick = now + idleTickInterval
	n.updateFreshness(now)
	n.runFailureDetector(now)
	n.runViewChange(now)
	n.runCatchUp(now)
	n.runPendingRequests(now)
	n.nextTick = max(n.nextTick, now+minTickInterval)
	if n.out.InstallSnapshot != nil { // the complete state replaces the step's records
		state := n.State()
		n.out.InstallSnapshot.Records, n.out.Records = state.Records(), nil
		n.unsavedProgress = false
	}
	out := n.out
	n.out = Output{}
	return out
}

// wakeBy ensures that the next step comes no later than at the given time.
func (n *Node) wakeBy(at time.Duration) { n.nextTick = min(n.nextTick, at) }

// persist adds a record to the output, with unsaved progress where there is some.
func (n *Node) persist(r record) {
	if n.unsavedProgress && !n.diskFailing {
		n.unsavedProgress = false
		r.CommitIndex, r.KnownMembers = n.commitIndex, n.knownMembers
	}
	n.out.Records = append(n.out.Records, encodeRecord(r))
}

// send queues a message to a member whose identity is known.
func (n *Node) send(to view.Member, message Message) {
	if to.Identity == n.self.Identity || to.Address == "" {
		return
	}
	message.To = to.Identity
	n.sendTo(to.Address, message)
}

// sendTo queues a message to an address.
func (n *Node) sendTo(address string, message Message) {
	message.From, message.Epoch = n.self.Identity, n.view.Epoch
	n.out.Messages = append(n.out.Messages, Envelope{Address: address, Message: message})
}

// jitter returns a random duration up to the bound, inclusive.
func (n *Node) jitter(bound time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(bound) + 1))
}
