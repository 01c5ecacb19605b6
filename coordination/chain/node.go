package chain

import (
	"math/rand/v2"
	"time"

	"raventrestle/coordination/view"
)

// Node is the pure state machine of one member: chain, view and the watch over the other members. Its owner
// calls one method at a time, carries out the Output, and then calls Persisted or Refused.
type Node struct {
	config      Config
	timing      Timing
	random      *rand.Rand
	incarnation uint64 // of this start; also the proposer of its commands

	durableState    // as the steps have made it
	persisted       durableState
	diskFailing     bool // the disk refuses writes: take nothing that must be synced
	unsavedProgress bool // Committed or Known differ from the disk's; saved with the next records
	appliedIndex    uint64
	recent          recentCommands
	// snapshotBytes is the size of the newest snapshot on disk.
	snapshotBytes      int
	beforeInstall      *appliedState // by a snapshot that is not on disk yet
	leaving            bool
	priorLeasesExpired bool // no leader of an epoch before the view's can still believe in its lease
	lastStep           time.Duration
	nextTick           time.Duration
	startedAt          time.Duration

	logMatched      bool   // the log is a beginning of the upstream member's, checked in this epoch
	epochStartIndex uint64 // a log that matches up to here is whole in this epoch

	peers              []*peer // in the order in which they became known
	membershipVersion  uint64
	membership         membershipTable
	detector           failureDetector
	freshness          freshness
	receiptGenerations uint64 // numbers given to receipts in this life
	viewChange         viewChange
	catchUp            catchUp
	pending            pendingRequests

	out Output
}

// durableState is the part of the state that is on disk once the records are synced.
type durableState struct {
	self          view.Member
	view          view.View
	acceptor      view.Acceptor
	completeEpoch uint64
	commitIndex   uint64
	snapshot      SnapshotPoint
	log           memoryLog
	knownMembers  []view.Member
}

// appliedState is what a snapshot from a peer replaces.
type appliedState struct {
	appliedIndex uint64
	recent       recentCommands
}

// New returns a node that continues from the state on disk.
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
	n.recent = newRecent(state.RecentCommands)
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

// State returns the durable state as it stands on disk, with the entries that a checkpoint must keep. Recent
// is left out.
func (n *Node) State() State {
	d := n.durableState
	return State{
		Self: d.self, View: d.view, Acceptor: d.acceptor, CompleteEpoch: d.completeEpoch, CommitIndex: d.commitIndex,
		BaseIndex: d.log.baseIndex, BaseEpoch: d.log.baseEpoch, Entries: d.log.entries, Snapshot: d.snapshot, KnownMembers: d.knownMembers,
	}
}

// Tick lets timers act. The owner calls it at the time that Wake told.
func (n *Node) Tick(now time.Duration) Output {
	n.enterStep(now)
	return n.finish(now)
}

// Receive takes in a message that came from the address.
func (n *Node) Receive(now time.Duration, address string, message Message) Output {
	n.enterStep(now)
	n.receive(now, address, message)
	return n.finish(now)
}

// enterStep notices that the process stood still: then nothing that it knew of the others is fresh, and it
// must not act on a lease.
func (n *Node) enterStep(now time.Duration) {
	late := now - max(n.lastStep, n.nextTick)
	if n.lastStep > 0 && late > n.timing.StallTimeout {
		n.recoverFromStall(now)
	}
	n.lastStep = now
}

// finish runs what follows from any change and hands out the output.
func (n *Node) finish(now time.Duration) Output {
	n.nextTick = now + idleWake
	n.updateFreshness(now)
	n.runFailureDetector(now)
	n.runViewChange(now)
	n.runCatchUp(now)
	n.runPendingRequests(now)
	n.nextTick = max(n.nextTick, now+wakeGrain)
	if n.out.InstallSnapshot != nil { // the whole state takes the place of the step's records
		state := n.State()
		n.out.InstallSnapshot.Records, n.out.Records = state.Records(), nil
		n.unsavedProgress = false
	}
	out := n.out
	n.out = Output{}
	return out
}

// idleWake is the longest time between two steps; wakeGrain the shortest that a timer asks for.
const (
	idleWake  = time.Second
	wakeGrain = 2 * time.Millisecond
)

// wakeBy sees that the next step comes by then.
func (n *Node) wakeBy(at time.Duration) { n.nextTick = min(n.nextTick, at) }

// NextTick returns when Tick is due, on the same clock as now.
func (n *Node) NextTick() time.Duration { return n.nextTick }

// Persisted tells that everything that the outputs so far asked for is on disk.
func (n *Node) Persisted() { n.persisted, n.beforeInstall = n.durableState, nil }

// PersistFailed tells that the disk did not take the records of the last outputs. The node falls back to what is on
// disk and takes nothing more that must be synced until Restored.
func (n *Node) PersistFailed(now time.Duration) {
	n.durableState = n.persisted
	if n.beforeInstall != nil {
		n.appliedIndex, n.recent, n.beforeInstall = n.beforeInstall.appliedIndex, n.beforeInstall.recent, nil
	}
	n.diskFailing = true
	n.resetVolatile(now)
}

// DiskFailing tells whether the disk refuses writes.
func (n *Node) DiskFailing() bool { return n.diskFailing }

// DiskRecovered tells that the disk takes writes again and Checkpointed was called for all of the state.
func (n *Node) DiskRecovered(now time.Duration) {
	n.diskFailing = false
	n.resetLastHeard(now)
	n.resetVolatile(now)
}

// Checkpoint returns the state to write beside a snapshot of the applied state. It keeps the newest entries, up
// to keepBytes of commands, for members that lack little.
func (n *Node) Checkpoint(keepBytes int) State {
	base, bytes := n.appliedIndex, 0
	for base > n.log.baseIndex {
		bytes += len(n.log.entries[base-n.log.baseIndex-1].Command)
		if bytes > keepBytes {
			break
		}
		base--
	}
	state := n.State()
	trimmed := n.log
	trimmed.compact(base)
	state.BaseIndex, state.BaseEpoch, state.Entries = trimmed.baseIndex, trimmed.baseEpoch, trimmed.entries
	state.Snapshot, _ = n.Applied()
	return state
}

// Checkpointed tells that the state that Checkpoint returned is on disk, with the snapshot beside it.
func (n *Node) Checkpointed(state State) {
	n.log = memoryLog{baseIndex: state.BaseIndex, baseEpoch: state.BaseEpoch, entries: state.Entries}
	n.snapshot = state.Snapshot
	n.unsavedProgress = false
	n.persisted = n.durableState
}

// SetSnapshotSize tells the size of the newest snapshot on disk.
func (n *Node) SetSnapshotSize(bytes int) { n.snapshotBytes = bytes }

// Applied returns how far the node has handed out entries, and the identities to put into a snapshot there.
func (n *Node) Applied() (SnapshotPoint, []CommandID) {
	epoch, _ := n.log.epochAt(n.appliedIndex)
	return SnapshotPoint{Index: n.appliedIndex, Epoch: epoch}, n.recent.order
}

// TakeCommitted returns the entries to apply now, in order. Call it after Persisted.
func (n *Node) TakeCommitted() []Applied {
	if n.commitIndex <= n.appliedIndex {
		return nil
	}
	var list []Applied
	for _, entry := range n.log.after(n.appliedIndex)[:n.commitIndex-n.appliedIndex] {
		repeated := n.recent.has(entry.ID)
		if !repeated {
			n.recent.add(entry.ID)
		}
		n.pending.commandApplied(entry.ID, n.incarnation)
		list = append(list, Applied{Entry: entry, Duplicate: repeated})
	}
	n.appliedIndex = n.commitIndex
	return list
}

// persist adds a record to the output.
func (n *Node) persist(r record) {
	if n.unsavedProgress && !n.diskFailing {
		n.unsavedProgress = false
		r.CommitIndex, r.KnownMembers = n.commitIndex, n.knownMembers
	}
	n.out.Records = append(n.out.Records, encodeRecord(r))
}

// send queues a message to a known member.
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

// sealed tells whether the node has promised to decide a later epoch: it takes part in its own no more.
func (n *Node) sealed() bool {
	return n.acceptor.Epoch > n.view.Epoch && !n.acceptor.Promised.IsZero() && !n.config.Mutation.NoEpochCheck
}

// isHead tells whether the node is the head of its view.
func (n *Node) isHead() bool {
	return n.view.Epoch > 0 && n.view.Head().Identity == n.self.Identity
}

// isTail tells whether the node is the tail of its view.
func (n *Node) isTail() bool {
	return n.view.Epoch > 0 && n.view.Tail().Identity == n.self.Identity
}

// inChain tells whether the node is a member of the chain of its view.
func (n *Node) inChain() bool { return n.view.ChainIndex(n.self.Identity) >= 0 }

// complete tells whether the node's log was made whole in its epoch.
func (n *Node) complete() bool {
	return n.view.Epoch > 0 && n.completeEpoch == n.view.Epoch && n.inChain()
}

// chainMayCommit tells whether the chain is long enough to commit.
func (n *Node) chainMayCommit() bool { return len(n.view.Chain) >= n.minChainLength() }

// minChainLength is the shortest chain that may commit.
func (n *Node) minChainLength() int { return n.view.MinChainLength(n.config.FaultTolerance) }

// upstream is the member from which this one takes entries: its predecessor in the chain, else the head.
func (n *Node) upstream() view.Member {
	if place := n.view.ChainIndex(n.self.Identity); place > 0 {
		return n.view.Chain[place-1]
	}
	return n.view.Head()
}

// successor is the next member down the chain; the zero Member at the tail and outside the chain.
func (n *Node) successor() view.Member {
	place := n.view.ChainIndex(n.self.Identity)
	if place < 0 || place+1 >= len(n.view.Chain) {
		return view.Member{}
	}
	return n.view.Chain[place+1]
}

// HasDurable tells whether the command is on this member's disk at the index, in its log or behind its snapshot.
func (n *Node) HasDurable(index uint64, command string) bool {
	if index > n.persisted.log.lastIndex() {
		return false
	}
	return index <= n.persisted.log.baseIndex || string(n.persisted.log.after(index - 1)[0].Command) == command
}

// IsComplete tells whether the node is in the chain with a log that was made whole in its epoch.
func (n *Node) IsComplete() bool { return n.complete() }

// CompleteEpoch returns the newest epoch in whose chain the log was made whole, as it stands on disk.
func (n *Node) CompleteEpoch() uint64 { return n.persisted.completeEpoch }

// View returns the node's view.
func (n *Node) View() view.View { return n.view }

// Epoch returns the epoch of the node's view, as it stands on disk.
func (n *Node) Epoch() uint64 { return n.persisted.view.Epoch }

// PromisedEpoch returns the newest epoch that the node has promised to decide, as it stands on disk.
func (n *Node) PromisedEpoch() uint64 {
	if n.persisted.acceptor.Promised.IsZero() {
		return 0
	}
	return n.persisted.acceptor.Epoch
}

// Self returns the node's own member.
func (n *Node) Self() view.Member { return n.self }
