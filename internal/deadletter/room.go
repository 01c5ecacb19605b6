package deadletter

// What leaves the store.

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"raventrestle/internal/deadletter/rule"
)

// makeRoom drops dead letters, by the rule's order, where so many bytes and dead letters more would be over
// the caps; one in 64 more than needed, so that a full store is not sorted for each dead letter.
func (s *Store) makeRoom(bytes int64, letters int) ([]Letter, error) {
	overBytes, over := s.Bytes+bytes-s.MaxBytes, s.Letters+letters-s.MaxLetters
	if overBytes <= 0 && over <= 0 {
		return nil, nil
	}
	if overBytes > 0 {
		overBytes = min(overBytes+s.MaxBytes/64, s.Bytes)
	}
	if over > 0 {
		over = min(over+s.MaxLetters/64, s.Letters)
	}
	type spot struct {
		rule.EvictionRank
		dest int64
		seq  uint64
		size uint32
	}
	var all []spot
	for dest, sh := range s.shelves {
		for _, e := range sh.entries {
			if e.state != rule.Resending { // the journal answers for it, and will come back to it
				all = append(all, spot{rule.EvictionRank{Final: e.state.Final(), Value: e.worth, FailedAt: e.failed}, dest, e.seq, e.size})
			}
		}
	}
	slices.SortFunc(all, func(a, b spot) int { return a.Compare(b.EvictionRank) })
	var seqs []uint64
	for _, x := range all {
		if overBytes <= 0 && over <= 0 {
			break
		}
		overBytes, over = overBytes-int64(x.size), over-1
		seqs = append(seqs, x.seq)
	}
	return s.drop(seqs)
}

func (s *Store) drop(seqs []uint64) (gone []Letter, err error) {
	if len(seqs) == 0 {
		return nil, nil
	}
	err = s.write(func(tx *bbolt.Tx) error {
		for _, seq := range seqs {
			l, err := parse(tx.Bucket(heads).Get(number(seq)))
			if err != nil {
				return err
			}
			gone = append(gone, *l)
			err = errors.Join(tx.Bucket(heads).Delete(number(seq)), tx.Bucket(bodies).Delete(number(seq)),
				tx.Bucket(ids).Delete([]byte(l.ID)))
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for i := range gone {
		s.unshelve(gone[i].Dest, seqs[i])
	}
	return gone, nil
}

// Expire drops the dead letters that have outlived their time, at most so many.
func (s *Store) Expire(now time.Time, age, settled time.Duration, most int) (gone []Letter, err error) {
	defer s.guard(&err, nil)
	var seqs []uint64
	for _, sh := range s.shelves {
		for _, e := range sh.entries {
			limit := age
			if e.state.Final() {
				limit = min(age, settled) // due is when it was settled, see Letter.settle
			}
			from := e.failed
			if e.state.Final() {
				from = e.due
			}
			if e.state != rule.Resending && now.Sub(time.Unix(0, from)) > limit && len(seqs) < most {
				seqs = append(seqs, e.seq)
			}
		}
	}
	return s.drop(seqs)
}

// Delete forgets dead letters; those that are not there are passed over.
func (s *Store) Delete(which ...string) (err error) {
	defer s.guard(&err, nil)
	var seqs []uint64
	err = s.read(func(tx *bbolt.Tx) error {
		for _, id := range which {
			if at := tx.Bucket(ids).Get([]byte(id)); len(at) == 8 {
				seqs = append(seqs, binary.BigEndian.Uint64(at))
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	_, err = s.drop(seqs)
	return err
}
