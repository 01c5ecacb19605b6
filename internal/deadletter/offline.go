package deadletter

// The desk at a stopped courier's folder.

import (
	"context"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"raventrestle/internal/deadletter/rule"
)

// Offline is the desk at the folder of a courier that is not running. Where its destinations stand
// is not known, so a dead letter's reason tells only of its class and its own history.
type Offline struct {
	Store  *Store
	Limits rule.Limits
}

func (o *Offline) judge(l *Letter, now time.Time) rule.Reason {
	place := rule.Endpoint{}
	if l.Ran != nil {
		place = rule.Endpoint{Peer: l.Ran.Peer, Zone: l.Ran.Floor}
	}
	return o.Limits.Check(l.Facts(), now, []rule.Endpoint{place})
}

// List implements Desk.
func (o *Offline) List(ctx context.Context, f Filter) ([]Item, error) {
	return o.Store.list(ctx, f, o.judge)
}

// Show implements Desk.
func (o *Offline) Show(_ context.Context, id string) (*Item, error) { return o.Store.show(id, o.judge) }

// Stats implements Desk.
func (o *Offline) Stats(ctx context.Context) (*Stats, error) { return o.Store.stats(ctx, o.judge) }

// Resend implements Desk: the dead letters go when the courier runs again.
func (o *Offline) Resend(ctx context.Context, f Filter, dry bool) ([]Answer, error) {
	return o.each(ctx, f, func(id string) (Answer, error) { return o.Store.ask(id, time.Now(), dry, o.judge) })
}

// Discard implements Desk.
func (o *Offline) Discard(ctx context.Context, f Filter, dry bool) ([]Answer, error) {
	return o.each(ctx, f, func(id string) (Answer, error) { return o.Store.discard(id, time.Now(), dry) })
}

func (o *Offline) each(ctx context.Context, f Filter, do func(id string) (Answer, error)) ([]Answer, error) {
	items, err := o.List(ctx, f)
	answers := []Answer{}
	for _, it := range items {
		a, err := do(it.ID)
		if err != nil {
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, err
}

// Check reads the whole store and says what is wrong with it. bbolt's own check runs in a goroutine of
// its own, where a spoilt page would end the process; this one walks the same pages.
func (s *Store) Check() (faults []string, err error) {
	defer s.guard(&err, nil)
	err = s.read(func(tx *bbolt.Tx) error {
		known := map[string]string{} // sequence numbers to ids
		for c, k, v := cursor(tx); k != nil; k, v = c.Next() {
			l, err := parse(v)
			if err != nil {
				faults = append(faults, fmt.Sprintf("dead letter %x: %v", k, err))
				continue
			}
			known[string(k)] = l.ID
			if at := tx.Bucket(ids).Get([]byte(l.ID)); string(at) != string(k) {
				faults = append(faults, fmt.Sprintf("dead letter %s is not found by its id", l.ID))
			}
			if _, err := unseal(tx.Bucket(bodies).Get(k)); err != nil {
				faults = append(faults, fmt.Sprintf("body of %s: %v", l.ID, err))
			}
		}
		for _, b := range [][]byte{bodies, ids} {
			if err := tx.Bucket(b).ForEach(func(k, v []byte) error {
				seq := k
				if string(b) == string(ids) {
					seq = v
				}
				if _, ok := known[string(seq)]; !ok {
					faults = append(faults, fmt.Sprintf("%s has %x, and there is no such dead letter", b, k))
				}
				return nil
			}); err != nil {
				return err
			}
		}
		return nil
	})
	return faults, err
}
