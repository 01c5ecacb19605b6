package deadletter

// The Admin interface and the integrity check for the store of a stopped courier.

import (
	"context"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"raventrestle/internal/deadletter/rule"
)

// OfflineAdmin implements Admin for the store of a courier that is not running. It does not know the state of
// the destinations, so the reason for a dead letter depends only on its class and its history.
type OfflineAdmin struct {
	Store  *Store
	Limits rule.Limits
}

func (o *OfflineAdmin) check(msg *Message, now time.Time) rule.Reason {
	endpoint := rule.Endpoint{}
	if msg.FirstRun != nil {
		endpoint = rule.Endpoint{Peer: msg.FirstRun.Peer, Zone: msg.FirstRun.Zone}
	}
	return o.Limits.Check(msg.Facts(), now, []rule.Endpoint{endpoint})
}

// List implements Admin.
func (o *OfflineAdmin) List(ctx context.Context, f Filter) ([]Item, error) {
	return o.Store.list(ctx, f, o.check)
}

// Show implements Admin.
func (o *OfflineAdmin) Show(_ context.Context, id string) (*Item, error) {
	return o.Store.show(id, o.check)
}

// Stats implements Admin.
func (o *OfflineAdmin) Stats(ctx context.Context) (*Stats, error) { return o.Store.stats(ctx, o.check) }

// Resend implements Admin. The dead letters are sent when the courier runs again.
func (o *OfflineAdmin) Resend(ctx context.Context, f Filter, dry bool) ([]ActionResult, error) {
	return o.forEach(ctx, f, func(id string) (ActionResult, error) { return o.Store.requestResend(id, time.Now(), dry, o.check) })
}

// Discard implements Admin.
func (o *OfflineAdmin) Discard(ctx context.Context, f Filter, dry bool) ([]ActionResult, error) {
	return o.forEach(ctx, f, func(id string) (ActionResult, error) { return o.Store.discard(id, time.Now(), dry) })
}

func (o *OfflineAdmin) forEach(ctx context.Context, f Filter, do func(id string) (ActionResult, error)) ([]ActionResult, error) {
	items, err := o.List(ctx, f)
	results := []ActionResult{}
	for _, it := range items {
		a, err := do(it.ID)
		if err != nil {
			return results, err
		}
		results = append(results, a)
	}
	return results, err
}

// Check reads the whole store and returns the inconsistencies that it finds. bbolt's own check runs in a separate
// goroutine, where a panic over a corrupt page would end the process; this one reads the same pages.
func (s *Store) Check() (problems []string, err error) {
	defer s.recoverCorruption(&err, nil)
	err = s.read(func(tx *bbolt.Tx) error {
		idBySeq := map[string]string{} // sequence number to message ID
		for c, k, v := cursor(tx); k != nil; k, v = c.Next() {
			msg, err := decode(v)
			if err != nil {
				problems = append(problems, fmt.Sprintf("dead letter %x: %v", k, err))
				continue
			}
			idBySeq[string(k)] = msg.ID
			if stored := tx.Bucket(ids).Get([]byte(msg.ID)); string(stored) != string(k) {
				problems = append(problems, fmt.Sprintf("dead letter %s is missing from the ID index", msg.ID))
			}
			if _, err := verifyChecksum(tx.Bucket(bodies).Get(k)); err != nil {
				problems = append(problems, fmt.Sprintf("body of %s: %v", msg.ID, err))
			}
		}
		for _, b := range [][]byte{bodies, ids} {
			if err := tx.Bucket(b).ForEach(func(k, v []byte) error {
				seq := k
				if string(b) == string(ids) {
					seq = v
				}
				if _, ok := idBySeq[string(seq)]; !ok {
					problems = append(problems, fmt.Sprintf("bucket %s: %x refers to no dead letter", b, k))
				}
				return nil
			}); err != nil {
				return err
			}
		}
		return nil
	})
	return problems, err
}
