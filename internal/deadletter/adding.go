package deadletter

// Adding dead letters to the store, and handling a corrupt store.

import (
	"errors"
	"slices"
	"time"
)

// add stores a batch of dead letters and reports the result to each caller. It skips those whose caller has
// already deferred the message because the disk was slow.
func (mgr *Manager) add(batch []addMsg) {
	batch = slices.DeleteFunc(batch, func(m addMsg) bool { return m.deferOnError && m.answered.Load() })
	if len(batch) == 0 {
		return
	}
	messages := make([]*Message, len(batch))
	for i, m := range batch {
		messages[i] = m.msg
	}
	evicted, err := mgr.put(messages)
	if err != nil && mgr.store != nil && len(batch) > 1 { // retry one by one: a single one may have failed the batch
		for _, m := range batch {
			mgr.add([]addMsg{m})
		}
		return
	}
	if err != nil {
		mgr.Counts.Lost.Add(int64(len(batch)))
		mgr.Log.Error("undeliverable: could not store dead letters", "n", len(batch), "id", batch[0].msg.ID, "err", err)
	} else {
		mgr.Counts.Added.Add(int64(len(batch)))
		for _, msg := range messages { // create the pacer now, so that a failure starts its backoff before the first dead letter is due
			mgr.pacer(msg.Dest, true)
		}
	}
	mgr.logEvicted(evicted)
	for _, m := range batch {
		timedOut := m.answered.Load()
		m.done(err)
		if timedOut && m.deferOnError && err == nil && mgr.store != nil {
			deleteErr := mgr.store.Delete(m.msg.ID)
			mgr.handleCorruption(deleteErr)
			mgr.Log.Warn("undeliverable: deleted after a slow write, the client was told to submit again", "id", m.msg.ID, "err", deleteErr)
		}
	}
}

func (mgr *Manager) put(messages []*Message) ([]Message, error) {
	if mgr.store == nil {
		return nil, ErrUnavailable
	}
	evicted, err := mgr.store.Put(messages...)
	mgr.handleCorruption(err)
	return evicted, err
}

func (mgr *Manager) logEvicted(evicted []Message) {
	for _, msg := range evicted {
		mgr.Counts.Evicted.Add(1)
		mgr.Log.Warn("undeliverable: evicted from the full store", "id", msg.ID, "class", msg.Class, "state", msg.State.String(),
			"failed", time.Unix(0, msg.FailedAt))
	}
}

// handleCorruption closes and quarantines the store if err is ErrCorrupt; the courier goes on without a store.
// Other errors, such as a full disk, are considered temporary and are ignored.
func (mgr *Manager) handleCorruption(err error) {
	if !errors.Is(err, ErrCorrupt) || mgr.store == nil {
		return
	}
	store := mgr.store
	mgr.store = nil
	closeErr := store.Close()
	name, moved := Quarantine(mgr.Dir, time.Now())
	mgr.Log.Error("undeliverable: the store is corrupt and was quarantined; no dead letters are stored until the next start",
		"err", err, "as", name, "moved", moved, "closed", closeErr)
}
