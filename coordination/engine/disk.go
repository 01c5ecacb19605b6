package engine

import (
	"fmt"
	"time"

	"raventrestle/coordination/chain"
)

// collect adds the output of the chain state machine to the records and messages of the step. A snapshot from a peer
// is installed at once, because later records depend on it.
func (e *Engine) collect(now time.Duration, out chain.Output) {
	if out.InstallSnapshot != nil {
		e.installSnapshot(now, out)
		return
	}
	e.records = append(e.records, out.Records...)
	e.messages = append(e.messages, out.Messages...)
}

// installSnapshot syncs the records that were collected before, then writes a snapshot from a peer together with the
// state that belongs to it, and restores the replicated state machine from the snapshot.
func (e *Engine) installSnapshot(now time.Duration, out chain.Output) {
	err := e.log.Append(e.records)
	if err == nil {
		err = e.log.Checkpoint(out.InstallSnapshot.Snapshot, out.InstallSnapshot.Records)
	}
	if err != nil {
		e.diskFailed(now, err)
		return
	}
	e.recordCheckpoint(out.InstallSnapshot.Snapshot)
	snapshot, err := chain.DecodeSnapshot(out.InstallSnapshot.Snapshot)
	if err == nil {
		err = e.config.StateMachine.Restore(snapshot.Machine)
	}
	if err != nil { // the applied state differs from the disk: continuing could lose acknowledged commands
		panic(fmt.Sprintf("engine: a snapshot of the group can't be restored: %v", err))
	}
	e.records = nil
	e.messages = append(e.messages, out.Messages...)
	e.release()
}

// flush syncs the collected records and then releases the messages that wait for the sync.
func (e *Engine) flush(now time.Duration) {
	records := e.records
	e.records = nil
	if err := e.log.Append(records); err != nil {
		e.diskFailed(now, err)
		return
	}
	e.release()
}

// release adds the messages that waited for the sync to the output, and applies the entries that are committed now.
func (e *Engine) release() {
	messages := e.messages
	e.messages = nil
	e.node.Persisted()
	for _, envelope := range messages {
		e.send(envelope)
	}
	e.applyCommitted()
}

// send adds a message to the output of the step, with the newest snapshot if it requests that.
func (e *Engine) send(envelope chain.Envelope) {
	if envelope.AttachSnapshot {
		snapshot, err := e.log.Snapshot()
		if err != nil || snapshot == nil {
			return // the peer will fetch again
		}
		envelope.Message.Append.Snapshot = snapshot
	}
	e.output.Messages = append(e.output.Messages, envelope)
}

// diskFailed returns the member to the state on the disk, and drops the records that were not synced and the messages
// that depended on them.
func (e *Engine) diskFailed(now time.Duration, err error) {
	e.records, e.messages = nil, nil
	e.node.PersistFailed(now)
	e.diskRetryAt = now + diskRetryBackoff
	e.output.DiskError = err
}

// retryDisk rewrites the complete state if the disk accepts writes again.
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

// Maintain makes a snapshot if the log has grown enough since the last one, and returns the error of the disk if that
// fails. The host calls it after it has processed the output of a step, so that no message or call is delayed by it.
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

// checkpoint replaces the log with a snapshot of the applied state and the newest entries.
func (e *Engine) checkpoint() error {
	state := e.node.Checkpoint(e.config.KeepBytes)
	_, applied := e.node.Applied()
	snapshot := chain.Snapshot{
		Point: state.Snapshot, RecentCommands: applied, Machine: e.config.StateMachine.Snapshot(),
	}.Encode()
	if err := e.log.Checkpoint(snapshot, state.Records()); err != nil {
		return err
	}
	e.recordCheckpoint(snapshot)
	e.node.Checkpointed(state)
	return nil
}

// recordCheckpoint records the sizes of the log and the snapshot right after a checkpoint. The growth of the log is
// measured from there.
func (e *Engine) recordCheckpoint(snapshot []byte) {
	e.compactedBytes, e.snapshotBytes = e.log.BytesSinceCheckpoint(), int64(len(snapshot))
	e.node.SetSnapshotSize(len(snapshot))
}

// Close closes the log. An error loses nothing, because everything that was acknowledged is already on the disk.
func (e *Engine) Close() error { return e.log.Close() }
