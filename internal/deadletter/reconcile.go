package deadletter

import (
	"errors"
	"time"

	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

// reconcile puts right what a crash left between the store and the journal:
//   - a dead letter of a message that the journal still holds: the crash came before the message's end was
//     written, so the journal answers and the dead letter goes;
//   - a dead letter of a message whose client was told to come again, as the disk was slow: it goes too;
//   - a resend in the journal whose dead letter is not out: its end is written, so the journal may forget it;
//   - a dead letter that is out but not in the journal: it was never sent, since the journal comes first.
//     Where the journal was lost or torn that is not known, and the dead letter counts as one that ran.
func reconcile(s *Store, kept []journal.Kept, sound bool, now time.Time) (live []journal.Kept, stale []string, err error) {
	resent := map[string]bool{}
	var drop []string
	for _, k := range kept {
		if k.Resend == 0 {
			if k.Owed == nil || k.Owed.Deferred {
				drop = append(drop, k.ID)
			}
			continue
		}
		l, err := s.Get(k.ID)
		switch {
		case err == nil && l.State == rule.Resending && int64(len(l.Resends)) == k.Resend:
			resent[k.ID] = true
			live = append(live, k)
		case err == nil || errors.Is(err, ErrMissing):
			stale = append(stale, k.ID)
		default:
			return nil, nil, err
		}
	}
	var lost []string
	err = s.Each(func(l *Letter) bool {
		if l.State == rule.Resending && !resent[l.ID] {
			lost = append(lost, l.ID)
		}
		return true
	})
	if err != nil {
		return nil, nil, err
	}
	if len(drop) > 0 {
		if err := s.Delete(drop...); err != nil {
			return nil, nil, err
		}
	}
	if len(lost) == 0 {
		return live, stale, nil
	}
	return live, stale, s.Change(lost, func(l *Letter) error {
		l.State = rule.Held
		last := len(l.Resends) - 1
		if sound {
			l.Resends = l.Resends[:last]
			return nil
		}
		l.Resends[last].Ended, l.Resends[last].Result = now.UnixNano(), "unknown: the journal was lost"
		if l.Ran == nil {
			l.Ran = &Try{At: l.Resends[last].Began}
		}
		return nil
	})
}
