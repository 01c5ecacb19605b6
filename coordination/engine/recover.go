package engine

import (
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/wal"
)

// Open recovers the member from its disk, or creates a new member on an empty disk. Errors wrap those of package wal,
// or state which part of the state can't be read. A disk that can be read but not written is not an error.
func Open(now time.Duration, config Config) (*Engine, error) {
	config = config.withDefaults()
	log, recovered, err := wal.Open(config.FS, wal.Config{SegmentBytes: config.SegmentBytes})
	if err != nil {
		return nil, fmt.Errorf("engine: opening the log: %w", err)
	}
	e := &Engine{config: config, log: log, calls: newCalls()}
	state, err := e.recoverState(recovered)
	if err != nil {
		return nil, fmt.Errorf("engine: recovering: %w", err)
	}
	writeError := recovered.WriteError
	if recovered.Empty {
		writeError = log.Checkpoint(nil, state.Records())
	}
	e.compactedBytes = min(log.BytesSinceCheckpoint(), config.CompactBytes/2)
	e.node = chain.New(now, state, chain.Config{
		FaultTolerance: config.FaultTolerance, Seeds: config.Seeds, RandomSeed: config.RandomSeed, Timing: config.Timing,
		Mutation: config.Mutation,
	})
	e.node.SetSnapshotSize(int(e.snapshotBytes))
	if writeError != nil {
		e.diskFailed(now, writeError)
	}
	e.applyCommitted()
	return e, nil
}

// recoverState rebuilds the state from the records and the snapshot, and restores the replicated state machine from
// the snapshot. On an empty disk it returns a new state.
func (e *Engine) recoverState(recovered wal.Recovered) (chain.State, error) {
	if recovered.Empty {
		return e.newState(), nil
	}
	state, err := chain.Restore(recovered.Records)
	if err != nil {
		return chain.State{}, err
	}
	identity := state.Self.Identity
	state.Self = e.config.Self
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
	e.snapshotBytes = int64(len(recovered.Snapshot))
	if err := e.config.StateMachine.Restore(snapshot.Machine); err != nil {
		return chain.State{}, fmt.Errorf("restoring the state machine: %w", err)
	}
	return state, nil
}

// newState returns the state of a member that starts on an empty disk: a founder's, or a learner's with a new identity.
func (e *Engine) newState() chain.State {
	state, founder := chain.Bootstrap(e.config.Self, e.config.Seeds)
	if founder && (e.config.Bootstrap || e.config.Mutation.VoteAfterWipe) {
		return state
	}
	return chain.JoinAsLearner(e.config.Self, fmt.Sprintf("%016x", e.config.RandomSeed))
}
