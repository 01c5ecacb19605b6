package deadletter

// The Admin interface of a running courier.

import (
	"context"
	"errors"
	"time"

	"raventrestle/internal/deadletter/rule"
)

// readState returns the open store, which may be read concurrently with the manager, and a check of its dead
// letters against the present limits, pacers and endpoints.
func (mgr *Manager) readState(ctx context.Context) (*Store, checkFunc, error) {
	var s *Store
	var limits rule.Limits // a copy, because SIGHUP may change mgr.Limits meanwhile
	pacing := map[int64]rule.Reason{}
	now := time.Now()
	if err := mgr.exec(ctx, func() {
		s, limits = mgr.store, mgr.Limits
		for dest, p := range mgr.pacers {
			pacing[dest] = p.Check(now, false)
		}
	}); err != nil {
		return nil, nil, err
	}
	if s == nil {
		return nil, nil, ErrUnavailable
	}
	courier := mgr.courierState.Load()
	return s, func(msg *Message, now time.Time) rule.Reason {
		_, r := mgr.check(limits, msg, now, courier.Endpoints[msg.Dest])
		if p, ok := pacing[msg.Dest]; ok && r == rule.Allowed && p != rule.Allowed && !msg.Requested {
			return p
		}
		return r
	}, nil
}

// List implements Admin.
func (mgr *Manager) List(ctx context.Context, f Filter) ([]Item, error) {
	s, check, err := mgr.readState(ctx)
	if err != nil {
		return nil, err
	}
	return s.list(ctx, f, check)
}

// Show implements Admin.
func (mgr *Manager) Show(ctx context.Context, id string) (*Item, error) {
	s, check, err := mgr.readState(ctx)
	if err != nil {
		return nil, err
	}
	return s.show(id, check)
}

// Stats implements Admin.
func (mgr *Manager) Stats(ctx context.Context) (*Stats, error) {
	s, check, err := mgr.readState(ctx)
	if err != nil {
		return nil, err
	}
	st, err := s.stats(ctx, check)
	if err != nil {
		return nil, err
	}
	n := &mgr.Counts
	st.Added, st.Lost, st.Evicted, st.Expired = n.Added.Load(), n.Lost.Load(), n.Evicted.Load(), n.Expired.Load()
	st.ResendsBegun, st.ResendsDelivered, st.ResendsFailed, st.ResendsYielded = n.ResendsBegun.Load(), n.ResendsDelivered.Load(), n.ResendsFailed.Load(), n.ResendsYielded.Load()
	return st, nil
}

// Resend implements Admin.
func (mgr *Manager) Resend(ctx context.Context, f Filter, dry bool) ([]ActionResult, error) {
	return mgr.forEach(ctx, f, func(id string) (ActionResult, error) {
		now := time.Now()
		endpoints := mgr.courierState.Load().Endpoints
		a, err := mgr.store.requestResend(id, now, dry, func(msg *Message, now time.Time) rule.Reason {
			_, r := mgr.check(mgr.Limits, msg, now, endpoints[msg.Dest])
			return r
		})
		return a, err
	})
}

// Discard implements Admin.
func (mgr *Manager) Discard(ctx context.Context, f Filter, dry bool) ([]ActionResult, error) {
	return mgr.forEach(ctx, f, func(id string) (ActionResult, error) { return mgr.store.discard(id, time.Now(), dry) })
}

// forEach calls do for each dead letter that the filter matches. Each call runs in the manager's goroutine, so
// that nothing changes the dead letter between its check and its change.
func (mgr *Manager) forEach(ctx context.Context, f Filter, do func(id string) (ActionResult, error)) ([]ActionResult, error) {
	items, err := mgr.List(ctx, f)
	if err != nil {
		return nil, err
	}
	results := []ActionResult{}
	for _, it := range items {
		var a ActionResult
		var actionErr error
		err := mgr.exec(ctx, func() {
			if mgr.store == nil {
				actionErr = ErrUnavailable
				return
			}
			a, actionErr = do(it.ID)
			mgr.handleCorruption(actionErr)
		})
		if err = errors.Join(err, actionErr); errors.Is(err, ErrMissing) {
			continue // it was evicted or expired meanwhile
		} else if err != nil {
			return results, err
		}
		results = append(results, a)
	}
	return results, nil
}
