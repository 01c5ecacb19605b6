package deadletter

// The desk at a running courier.

import (
	"context"
	"errors"
	"time"

	"raventrestle/internal/deadletter/rule"
)

// reading returns the open store, which may be read beside the actor, and a judge for it.
func (k *Keeper) reading(ctx context.Context) (*Store, judge, error) {
	var s *Store
	var limits rule.Limits // SIGHUP may change the keeper's
	paces := map[int64]rule.Reason{}
	now := time.Now()
	if err := k.look(ctx, func() {
		s, limits = k.store, k.Limits
		for dest, p := range k.paces {
			paces[dest] = p.Check(now, false)
		}
	}); err != nil {
		return nil, nil, err
	}
	if s == nil {
		return nil, nil, ErrOff
	}
	v := k.view.Load()
	return s, func(l *Letter, now time.Time) rule.Reason {
		_, r := k.judge(limits, l, now, v.Places[l.Dest])
		if p, ok := paces[l.Dest]; ok && r == rule.Allowed && p != rule.Allowed && !l.Asked {
			return p
		}
		return r
	}, nil
}

// List implements Desk.
func (k *Keeper) List(ctx context.Context, f Filter) ([]Item, error) {
	s, j, err := k.reading(ctx)
	if err != nil {
		return nil, err
	}
	return s.list(ctx, f, j)
}

// Show implements Desk.
func (k *Keeper) Show(ctx context.Context, id string) (*Item, error) {
	s, j, err := k.reading(ctx)
	if err != nil {
		return nil, err
	}
	return s.show(id, j)
}

// Stats implements Desk.
func (k *Keeper) Stats(ctx context.Context) (*Stats, error) {
	s, j, err := k.reading(ctx)
	if err != nil {
		return nil, err
	}
	st, err := s.stats(ctx, j)
	if err != nil {
		return nil, err
	}
	n := &k.Counts
	st.Kept, st.Lost, st.GaveWay, st.Expired = n.Kept.Load(), n.Lost.Load(), n.GaveWay.Load(), n.Expired.Load()
	st.Begun, st.Delivered, st.Failed, st.Yielded = n.Begun.Load(), n.Delivered.Load(), n.Failed.Load(), n.Yielded.Load()
	return st, nil
}

// Resend implements Desk.
func (k *Keeper) Resend(ctx context.Context, f Filter, dry bool) ([]Answer, error) {
	return k.each(ctx, f, func(id string) (Answer, error) {
		now := time.Now()
		places := k.view.Load().Places
		a, err := k.store.ask(id, now, dry, func(l *Letter, now time.Time) rule.Reason {
			_, r := k.judge(k.Limits, l, now, places[l.Dest])
			return r
		})
		return a, err
	})
}

// Discard implements Desk.
func (k *Keeper) Discard(ctx context.Context, f Filter, dry bool) ([]Answer, error) {
	return k.each(ctx, f, func(id string) (Answer, error) { return k.store.discard(id, time.Now(), dry) })
}

// each does something with the dead letters that the filter picks, one after the other in the actor's
// goroutine, where nothing can come between the look at a dead letter and its change.
func (k *Keeper) each(ctx context.Context, f Filter, do func(id string) (Answer, error)) ([]Answer, error) {
	items, err := k.List(ctx, f)
	if err != nil {
		return nil, err
	}
	answers := []Answer{}
	for _, it := range items {
		var a Answer
		var failed error
		err := k.look(ctx, func() {
			if k.store == nil {
				failed = ErrOff
				return
			}
			a, failed = do(it.ID)
			k.broke(failed)
		})
		if err = errors.Join(err, failed); errors.Is(err, ErrMissing) {
			continue // it gave way meanwhile
		} else if err != nil {
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}
