package engine

import (
	"fmt"
	"time"

	"raventrestle/coordination/chain"
)

// collect adds the output of the chain state machine to what is synced next. A snapshot from a peer is installed at
// once, because the records that follow build on it.
func (e *Engine) collect(now time.Duration, out chain.Output) {
	if out.InstallSnapshot != nil {
		e.installSnapshot(now, out)
		return
	}
	e.records = append(e.records, out.Records...)
	e.messages = append(e.messages, out.Messages...)
}

// installSnapshot makes durable what was collected before, then a snapshot from a peer with the state beside it, and
// restores the replicated state machine from it.
func (e *Engine) installSnapshot(now time.Duration, out chain.Output) {
	err := e.log.Append(e.records)
	if err == nil {
		err = e.log.Checkpoint(out.InstallSnapshot.Snapshot, out.InstallSnapshot.Records)
	}
	if err != nil {
		e.diskFailed(now, err)
		return
	}
	e.noteCheckpoint(out.InstallSnapshot.Snapshot)
	snapshot, err := chain.DecodeSnapshot(out.InstallSnapshot.Snapshot)
	if err == nil {
		err = e.config.StateMachine.Restore(snapshot.Machine)
	}
	if err != nil { // the applied state no longer agrees with the disk: going on could lose what was acknowledged
		panic(fmt.Sprintf("engine: a snapshot of the group can't be restored: %v", err))
	}
	e.records = nil
	e.messages = append(e.messages, out.Messages...)
	e.release()
}

// flush syncs what was collected and then releases what waited for it.
func (e *Engine) flush(now time.Duration) {
	records := e.records
	e.records = nil
	if err := e.log.Append(records); err != nil {
		e.diskFailed(now, err)
		return
	}
	e.release()
}

// release hands out the messages that waited for the sync, and applies what it has committed.
func (e *Engine) release() {
	messages := e.messages
	e.messages = nil
	e.node.Persisted()
	for _, envelope := range messages {
		e.send(envelope)
	}
	e.applyCommitted()
}

// send adds a message to the output of the step, with the newest snapshot where it asks for that.
func (e *Engine) send(envelope chain.Envelope) {
	if envelope.AttachSnapshot {
		snapshot, err := e.log.Snapshot()
		if err != nil || snapshot == nil {
			return // the peer asks again
		}
		envelope.Message.Append.Snapshot = snapshot
	}
	e.output.Messages = append(e.output.Messages, envelope)
}

// diskFailed falls back to what is on the disk and drops what depended on the rest.
func (e *Engine) diskFailed(now time.Duration, err error) {
	e.records, e.messages = nil, nil
	e.node.PersistFailed(now)
	e.diskRetryAt = now + diskRetryBackoff
	e.output.DiskError = err
}

// retryDisk rewrites the complete state if the disk takes writes again.
func (e *Engine) retryDisk(now time.Duration) {
	e.diskRetryAt = now + diskRetryBackoff
	err := e.log.CheckWritable()
	if err == nil {
		err = e.checkpoint()
	}
	if err != nil {
		e.output.DiskError = err
		return
	}
	e.node.DiskRecovered(now)
}

// Maintain makes a snapshot if the log since the last one has grown enough, and then returns the error of the disk, if
// any. The host calls it after it has carried out the output of a step, so that nothing waits for it.
func (e *Engine) Maintain(now time.Duration) error {
	if e.node.DiskFailing() || e.log.BytesSinceCheckpoint()-e.compactedBytes < max(e.config.CompactBytes, e.snapshotBytes) {
		return nil
	}
	err := e.checkpoint()
	if err != nil {
		e.diskFailed(now, err)
	}
	return err
}

// checkpoint replaces the log by a snapshot of the applied state and the newest entries.
func (e *Engine) checkpoint() error {
	state := e.node.Checkpoint(e.config.KeepBytes)
	_, applied := e.node.Applied()
	snapshot := chain.Snapshot{
		Point: state.Snapshot, RecentCommands: applied, Machine: e.config.StateMachine.Snapshot(),
	}.Encode()
	if err := e.log.Checkpoint(snapshot, state.Records()); err != nil {
		return err
	}
	e.noteCheckpoint(snapshot)
	e.node.Checkpointed(state)
	return nil
}

// noteCheckpoint notes the sizes right after a checkpoint, from which the growth of the log is counted.
func (e *Engine) noteCheckpoint(snapshot []byte) {
	e.compactedBytes, e.snapshotBytes = e.log.BytesSinceCheckpoint(), int64(len(snapshot))
	e.node.SetSnapshotSize(len(snapshot))
}

// Close closes the log. Everything that was acknowledged is on the disk already: an error loses nothing.
func (e *Engine) Close() error { return e.log.Close() }
