package deadletter

import (
	"errors"
	"time"

	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

// reconcile makes the store and the journal consistent after a crash:
//   - If the journal still has a message as unfinished, the crash came before its end was written. The journal is
//     authoritative and the dead letter is deleted.
//   - If the client was told to submit the message again because the disk was slow, the dead letter is deleted too.
//   - If the journal has a resend whose dead letter is not being resent, the result was already written. The
//     resend is stale and the journal can delete it.
//   - If a dead letter is being resent but is not in the journal, it was never sent, because the journal is
//     written first. If the journal was lost or truncated, this is not certain and the dead letter counts as
//     one that may have run.
func reconcile(s *Store, journaled []journal.MessageState, journalIntact bool, now time.Time) (live []journal.MessageState, stale []string, err error) {
	inJournal := map[string]bool{}
	var superseded []string
	for _, m := range journaled {
		if m.ResendNumber == 0 {
			if m.PendingNotice == nil || m.PendingNotice.Deferred {
				superseded = append(superseded, m.ID)
			}
			continue
		}
		msg, err := s.Get(m.ID)
		switch {
		case err == nil && msg.State == rule.Resending && int64(len(msg.Resends)) == m.ResendNumber:
			inJournal[m.ID] = true
			live = append(live, m)
		case err == nil || errors.Is(err, ErrMissing):
			stale = append(stale, m.ID)
		default:
			return nil, nil, err
		}
	}
	var orphaned []string
	err = s.Each(func(msg *Message) bool {
		if msg.State == rule.Resending && !inJournal[msg.ID] {
			orphaned = append(orphaned, msg.ID)
		}
		return true
	})
	if err != nil {
		return nil, nil, err
	}
	if len(superseded) > 0 {
		if err := s.Delete(superseded...); err != nil {
			return nil, nil, err
		}
	}
	if len(orphaned) == 0 {
		return live, stale, nil
	}
	return live, stale, s.Change(orphaned, func(msg *Message) error {
		msg.State = rule.Held
		last := len(msg.Resends) - 1
		if journalIntact {
			msg.Resends = msg.Resends[:last]
			return nil
		}
		msg.Resends[last].EndedAt, msg.Resends[last].Result = now.UnixNano(), "unknown: the journal was lost"
		if msg.FirstRun == nil {
			msg.FirstRun = &Attempt{At: msg.Resends[last].StartedAt}
		}
		return nil
	})
}
