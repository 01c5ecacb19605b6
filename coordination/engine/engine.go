// Package engine joins the state machine of one member with its log on disk and the replicated machine: it has
// each step's records synced before the step's messages are handed out, applies what is committed, and compacts.
// It works synchronously: no goroutine, clock or socket. The package replica runs it on real ones, the package
// simnet on modelled ones.
package engine

import (
	"errors"
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/internal/mutation"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal"
)

// Sizes of the log.
const (
	DefaultCompactBytes = 4 << 20   // of log after which a snapshot is made, unless the snapshot is larger
	DefaultKeepBytes    = 256 << 10 // of commands kept for members that lack little
	refusedRetry        = 500 * time.Millisecond
)

// ErrUnclear says that a command may or may not have been applied.
var ErrUnclear = errors.New("the command may or may not have been applied")

// Machine is the replicated state.
type Machine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Options sets up an engine.
type Options struct {
	Self         view.Member // Identity is ignored
	Seeds        []string
	Bootstrap    bool
	Faults       int
	FS           wal.FS
	Machine      Machine
	Random       uint64
	Timing       chain.Timing
	CompactBytes int64
	KeepBytes    int // of commands kept in memory behind a snapshot
	SegmentBytes int64
	Mutation     mutation.Set
}

// Input is one thing to take in. Exactly one of the fields beside Token is set.
type Input struct {
	Token    uint64 // names the call in Effects
	Message  *chain.Message
	Address  string // where the message came from
	Command  []byte // to propose; must not be nil
	Barrier  bool
	Withdraw bool // give up the call named by Token
	Leave    bool
}

// Effects is what a step asks of its host.
type Effects struct {
	Messages  []chain.Envelope
	Results   []Result
	Withdrawn []Withdrawn
	DiskError error // the disk refused; the engine goes on without it and tries again
}

// Result ends a call.
type Result struct {
	Token uint64
	Value []byte // of the command
	Index uint64 // of the barrier or the command
	Err   error
}

// Withdrawn tells of a call that was given up whether the command may have been sent.
type Withdrawn struct {
	Token uint64
	Sent  bool
}

// Engine is one member.
type Engine struct {
	options  Options
	node     *chain.Node
	log      *wal.Log
	calls    map[uint64]call   // by number
	numbers  map[uint64]uint64 // by token
	retryAt  time.Duration     // of a disk that refused
	heldBase int64             // of the log right after its newest checkpoint
	snapshot int64             // size of the newest

	records  [][]byte // gathered, not yet synced
	messages []chain.Envelope
	effects  Effects
}

type call struct {
	token   uint64
	barrier bool
}

// Open recovers the member from its disk, or begins one on an empty disk.
func Open(now time.Duration, options Options) (*Engine, error) {
	if options.CompactBytes <= 0 {
		options.CompactBytes = DefaultCompactBytes
	}
	if options.KeepBytes <= 0 {
		options.KeepBytes = DefaultKeepBytes
	}
	log, recovered, err := wal.Open(options.FS, wal.Config{SegmentBytes: options.SegmentBytes})
	if err != nil {
		return nil, fmt.Errorf("engine: opening the log: %w", err)
	}
	e := &Engine{options: options, log: log, calls: map[uint64]call{}, numbers: map[uint64]uint64{}}
	state, err := e.load(recovered)
	if err != nil {
		return nil, fmt.Errorf("engine: recovering: %w", err)
	}
	refused := recovered.WriteError
	if recovered.Empty {
		refused = log.Checkpoint(nil, state.Records())
	}
	e.heldBase = min(log.BytesSinceCheckpoint(), options.CompactBytes/2)
	e.node = chain.New(now, state, chain.Config{
		FaultTolerance: options.Faults, Seeds: options.Seeds, RandomSeed: options.Random, Timing: options.Timing,
		Mutation: options.Mutation,
	})
	e.node.SetSnapshotSize(int(e.snapshot))
	if refused != nil {
		e.refuse(now, refused)
	}
	e.apply()
	return e, nil
}

// load makes the state from the records and the snapshot, or a new one on an empty disk.
func (e *Engine) load(recovered wal.Recovered) (chain.State, error) {
	if recovered.Empty {
		return e.found(), nil
	}
	state, err := chain.Restore(recovered.Records)
	if err != nil {
		return chain.State{}, err
	}
	identity := state.Self.Identity
	state.Self = e.options.Self
	state.Self.Identity = identity
	if recovered.Snapshot == nil {
		return state, nil
	}
	snapshot, err := chain.DecodeSnapshot(recovered.Snapshot)
	if err != nil {
		return chain.State{}, err
	}
	if snapshot.Point != state.Snapshot {
		return chain.State{}, fmt.Errorf("%w: the snapshot reaches to %v, the log builds on %v",
			wal.ErrCorrupt, snapshot.Point, state.Snapshot)
	}
	state.RecentCommands = snapshot.RecentCommands
	e.snapshot = int64(len(recovered.Snapshot))
	if err := e.options.Machine.Restore(snapshot.Machine); err != nil {
		return chain.State{}, fmt.Errorf("restoring the machine: %w", err)
	}
	return state, nil
}

func (e *Engine) found() chain.State {
	state, founder := chain.Bootstrap(e.options.Self, e.options.Seeds)
	if founder && (e.options.Bootstrap || e.options.Mutation.VoteAfterWipe) {
		return state
	}
	return chain.JoinAsLearner(e.options.Self, fmt.Sprintf("%016x", e.options.Random))
}

// Step takes the inputs in order, syncs once for all of them, and returns what they have led to. Without inputs
// it lets timers act.
func (e *Engine) Step(now time.Duration, inputs []Input) Effects {
	e.effects = Effects{}
	if e.node.DiskFailing() && now >= e.retryAt {
		e.retryDisk(now)
	}
	for _, input := range inputs {
		e.take(now, input)
	}
	e.gather(now, e.node.Tick(now))
	e.flush(now)
	return e.effects
}

// Maintain makes a snapshot when the log since the last one has grown enough. The host calls it after it has
// carried out the effects of a step, so that nothing waits for it.
func (e *Engine) Maintain(now time.Duration) error {
	if e.node.DiskFailing() || e.log.BytesSinceCheckpoint()-e.heldBase < max(e.options.CompactBytes, e.snapshot) {
		return nil
	}
	err := e.checkpoint()
	if err != nil {
		e.refuse(now, err)
	}
	return err
}

func (e *Engine) take(now time.Duration, input Input) {
	switch {
	case input.Message != nil:
		e.gather(now, e.node.Receive(now, input.Address, *input.Message))
	case input.Command != nil:
		number, out := e.node.Propose(now, input.Command)
		e.calls[number], e.numbers[input.Token] = call{token: input.Token}, number
		e.gather(now, out)
	case input.Barrier:
		number, out := e.node.Barrier(now)
		e.calls[number], e.numbers[input.Token] = call{token: input.Token, barrier: true}, number
		e.gather(now, out)
	case input.Withdraw:
		e.withdraw(input.Token)
	case input.Leave:
		e.gather(now, e.node.Leave(now))
	}
}

func (e *Engine) withdraw(token uint64) {
	number, open := e.numbers[token]
	if !open {
		return
	}
	sent := false
	if e.calls[number].barrier {
		e.node.CancelBarrier(number)
	} else {
		sent = e.node.CancelProposal(number)
	}
	delete(e.calls, number)
	delete(e.numbers, token)
	e.effects.Withdrawn = append(e.effects.Withdrawn, Withdrawn{Token: token, Sent: sent})
}

// gather adds a step's output to what is synced next. A snapshot from a peer is written at once.
func (e *Engine) gather(now time.Duration, out chain.Output) {
	if out.InstallSnapshot != nil {
		e.install(now, out)
		return
	}
	e.records = append(e.records, out.Records...)
	e.messages = append(e.messages, out.Messages...)
}

// install writes what was gathered before, then a snapshot from a peer with the state beside it, and restores the
// machine from it.
func (e *Engine) install(now time.Duration, out chain.Output) {
	err := e.log.Append(e.records)
	if err == nil {
		err = e.log.Checkpoint(out.InstallSnapshot.Snapshot, out.InstallSnapshot.Records)
	}
	if err != nil {
		e.refuse(now, err)
		return
	}
	e.keep(out.InstallSnapshot.Snapshot)
	snapshot, err := chain.DecodeSnapshot(out.InstallSnapshot.Snapshot)
	if err == nil {
		err = e.options.Machine.Restore(snapshot.Machine)
	}
	if err != nil {
		panic(fmt.Sprintf("engine: a snapshot of the group can't be restored: %v", err)) // state and disk now differ
	}
	e.records = nil
	e.messages = append(e.messages, out.Messages...)
	e.finish()
}

// flush syncs what was gathered; then its messages may leave and what it committed may be applied.
func (e *Engine) flush(now time.Duration) {
	records := e.records
	e.records = nil
	if err := e.log.Append(records); err != nil {
		e.refuse(now, err)
		return
	}
	e.finish()
}

// finish carries out what waited for the disk.
func (e *Engine) finish() {
	messages := e.messages
	e.messages = nil
	e.node.Persisted()
	for _, envelope := range messages {
		e.emit(envelope)
	}
	e.apply()
}

func (e *Engine) emit(envelope chain.Envelope) {
	if envelope.AttachSnapshot {
		snapshot, err := e.log.Snapshot()
		if err != nil || snapshot == nil {
			return // the peer asks again
		}
		envelope.Message.Append.Snapshot = snapshot
	}
	e.effects.Messages = append(e.effects.Messages, envelope)
}

// refuse falls back to what is on disk and drops what was to follow from the rest.
func (e *Engine) refuse(now time.Duration, err error) {
	e.records, e.messages = nil, nil
	e.node.PersistFailed(now)
	e.retryAt = now + refusedRetry
	e.effects.DiskError = err
}

// retryDisk writes the whole state anew once the disk takes writes again.
func (e *Engine) retryDisk(now time.Duration) {
	e.retryAt = now + refusedRetry
	err := e.log.CheckWritable()
	if err == nil {
		err = e.checkpoint()
	}
	if err != nil {
		e.effects.DiskError = err
		return
	}
	e.node.DiskRecovered(now)
}

// apply applies what is committed and ends the calls that wait for it.
func (e *Engine) apply() {
	for _, entry := range e.node.TakeCommitted() {
		var value []byte
		if !entry.Duplicate {
			value = e.options.Machine.Apply(entry.Index, entry.Command)
		}
		if e.node.IsOwnCommand(entry.ID) && !entry.Duplicate {
			e.end(entry.ID.Number, Result{Value: value, Index: entry.Index})
		}
	}
	for _, number := range e.node.TakeUnknownOutcomes() {
		e.end(number, Result{Err: ErrUnclear})
	}
	for _, passed := range e.node.TakeBarrierResults() {
		e.end(passed.RequestID, Result{Index: passed.Index})
	}
}

func (e *Engine) end(number uint64, result Result) {
	c, open := e.calls[number]
	if !open {
		return
	}
	delete(e.calls, number)
	delete(e.numbers, c.token)
	result.Token = c.token
	e.effects.Results = append(e.effects.Results, result)
}

func (e *Engine) checkpoint() error {
	state := e.node.Checkpoint(e.options.KeepBytes)
	_, applied := e.node.Applied()
	snapshot := chain.Snapshot{Point: state.Snapshot, RecentCommands: applied, Machine: e.options.Machine.Snapshot()}.Encode()
	if err := e.log.Checkpoint(snapshot, state.Records()); err != nil {
		return err
	}
	e.keep(snapshot)
	e.node.Checkpointed(state)
	return nil
}

// keep notes the sizes right after a checkpoint.
func (e *Engine) keep(snapshot []byte) {
	e.heldBase, e.snapshot = e.log.BytesSinceCheckpoint(), int64(len(snapshot))
	e.node.SetSnapshotSize(len(snapshot))
}

// Wake returns when the next Step is due.
func (e *Engine) Wake() time.Duration {
	if e.node.DiskFailing() {
		return min(e.node.NextTick(), e.retryAt)
	}
	return e.node.NextTick()
}

// Status returns what the member knows of itself.
func (e *Engine) Status(now time.Duration) chain.Status { return e.node.Status(now) }

// Leads tells whether the member may act as leader now.
func (e *Engine) Leads(now time.Duration) bool { return e.node.IsLeader(now) }

// Left tells whether the member may go after Leave, even with its disk.
func (e *Engine) Left() bool { return e.node.SafeToLeave() }

// Staying tells why the member can't go yet; it is empty once it can.
func (e *Engine) Staying() string { return e.node.LeaveBlocker() }

// Node returns the state machine, for checks that look inside.
func (e *Engine) Node() *chain.Node { return e.node }

// Close closes the log.
func (e *Engine) Close() { e.log.Close() }
