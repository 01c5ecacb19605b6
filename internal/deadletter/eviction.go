package deadletter

// Eviction, expiry and deletion of dead letters.

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"raventrestle/internal/deadletter/rule"
)

// evict removes dead letters in the order of rule.EvictionRank until count more messages of the given total size fit
// within the limits. It frees 1/64 of the limit more than needed, so that a full store is not sorted again for
// each new dead letter.
func (s *Store) evict(bytes int64, count int) ([]Message, error) {
	overBytes, overCount := s.Bytes+bytes-s.MaxBytes, s.Count+count-s.MaxMessages
	if overBytes <= 0 && overCount <= 0 {
		return nil, nil
	}
	if overBytes > 0 {
		overBytes = min(overBytes+s.MaxBytes/64, s.Bytes)
	}
	if overCount > 0 {
		overCount = min(overCount+s.MaxMessages/64, s.Count)
	}
	type candidate struct {
		rule.EvictionRank
		dest int64
		seq  uint64
		size uint32
	}
	var candidates []candidate
	for dest, index := range s.indexes {
		for _, e := range index.entries {
			if e.state != rule.Resending { // the journal is authoritative for it, and its result is still to be written
				candidates = append(candidates, candidate{rule.EvictionRank{Final: e.state.Final(), Value: e.value, FailedAt: e.failedAt}, dest, e.seq, e.size})
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.Compare(b.EvictionRank) })
	var seqs []uint64
	for _, c := range candidates {
		if overBytes <= 0 && overCount <= 0 {
			break
		}
		overBytes, overCount = overBytes-int64(c.size), overCount-1
		seqs = append(seqs, c.seq)
	}
	return s.remove(seqs)
}

// remove deletes dead letters by sequence number, in one transaction, and returns them.
func (s *Store) remove(seqs []uint64) (removed []Message, err error) {
	if len(seqs) == 0 {
		return nil, nil
	}
	err = s.write(func(tx *bbolt.Tx) error {
		for _, seq := range seqs {
			msg, err := decode(tx.Bucket(headers).Get(seqKey(seq)))
			if err != nil {
				return err
			}
			removed = append(removed, *msg)
			err = errors.Join(tx.Bucket(headers).Delete(seqKey(seq)), tx.Bucket(bodies).Delete(seqKey(seq)),
				tx.Bucket(ids).Delete([]byte(msg.ID)))
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for i := range removed {
		s.removeFromIndex(removed[i].Dest, seqs[i])
	}
	return removed, nil
}

// Expire removes up to maxCount dead letters that are older than maxAge, counted from their failure, or that
// reached a final state longer than maxFinalAge ago.
func (s *Store) Expire(now time.Time, maxAge, maxFinalAge time.Duration, maxCount int) (removed []Message, err error) {
	defer s.recoverCorruption(&err, nil)
	var seqs []uint64
	for _, index := range s.indexes {
		for _, e := range index.entries {
			limit := maxAge
			if e.state.Final() {
				limit = min(maxAge, maxFinalAge) // in a final state checkAfter is the time at which it was reached, see setFinal
			}
			since := e.failedAt
			if e.state.Final() {
				since = e.checkAfter
			}
			if e.state != rule.Resending && now.Sub(time.Unix(0, since)) > limit && len(seqs) < maxCount {
				seqs = append(seqs, e.seq)
			}
		}
	}
	return s.remove(seqs)
}

// Delete removes dead letters by ID and ignores IDs that are not in the store.
func (s *Store) Delete(messageIDs ...string) (err error) {
	defer s.recoverCorruption(&err, nil)
	var seqs []uint64
	err = s.read(func(tx *bbolt.Tx) error {
		for _, id := range messageIDs {
			if seq := tx.Bucket(ids).Get([]byte(id)); len(seq) == 8 {
				seqs = append(seqs, binary.BigEndian.Uint64(seq))
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	_, err = s.remove(seqs)
	return err
}
