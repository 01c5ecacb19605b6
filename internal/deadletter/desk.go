package deadletter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"raventrestle/internal/deadletter/rule"
)

// Filter picks dead letters; what is empty picks all.
type Filter struct {
	IDs       []string      `json:"ids,omitempty"`
	Class     string        `json:"class,omitempty"`
	Hotel     string        `json:"hotel,omitempty"`
	Channel   *int64        `json:"channel,omitempty"`
	State     string        `json:"state,omitempty"`
	Reason    rule.Reason   `json:"reason,omitempty"` // why it may or may not be sent again
	OlderThan time.Duration `json:"older_than,omitempty"`
	NewerThan time.Duration `json:"newer_than,omitempty"`
	Limit     int           `json:"limit,omitempty"` // of what is listed
}

func (f Filter) picks(l *Letter, now time.Time) bool {
	age := now.Sub(time.Unix(0, l.Failed))
	return (len(f.IDs) == 0 || slices.Contains(f.IDs, l.ID)) && (f.Class == "" || f.Class == l.Class) &&
		(f.Hotel == "" || f.Hotel == l.Tenant) && (f.Channel == nil || *f.Channel == l.Dest) &&
		(f.State == "" || f.State == l.State.String()) && (f.OlderThan == 0 || age > f.OlderThan) &&
		(f.NewerThan == 0 || age <= f.NewerThan)
}

// Item is a dead letter as operators see it.
type Item struct {
	*Letter
	StateWord string      `json:"status"`
	Reason    rule.Reason `json:"reason"`
	Sentence  string      `json:"explanation"`
	Never     bool        `json:"never"` // neither time nor an operator can change the reason
	Content   []byte      `json:"body,omitempty"`
}

// Answer says what became of a dead letter that an operator asked something for.
type Answer struct {
	ID       string      `json:"id"`
	Done     bool        `json:"done"`
	Reason   rule.Reason `json:"reason"`
	Sentence string      `json:"explanation"`
}

// Stats are figures of the store.
type Stats struct {
	Letters   int                 `json:"letters"`
	Bytes     int64               `json:"bytes"`
	Unread    int                 `json:"unreadable"`
	States    map[string]int      `json:"by_state"`
	Classes   map[string]int      `json:"by_class"`
	Reasons   map[rule.Reason]int `json:"by_reason"`
	Worth     float64             `json:"worth_held"`
	Oldest    time.Time           `json:"oldest"`
	Kept      int64               `json:"kept"` // what follows is since the courier's start
	Lost      int64               `json:"lost"`
	GaveWay   int64               `json:"gave_way"`
	Expired   int64               `json:"expired"`
	Begun     int64               `json:"resends_begun"`
	Delivered int64               `json:"resends_delivered"`
	Failed    int64               `json:"resends_failed"`
	Yielded   int64               `json:"resends_yielded"`
}

// Desk is what operators can do with dead letters: at a running courier, or at a stopped one's folder.
type Desk interface {
	List(ctx context.Context, f Filter) ([]Item, error)
	Show(ctx context.Context, id string) (*Item, error)
	Resend(ctx context.Context, f Filter, dry bool) ([]Answer, error)
	Discard(ctx context.Context, f Filter, dry bool) ([]Answer, error)
	Stats(ctx context.Context) (*Stats, error)
}

// judge says why a dead letter may or may not be sent again.
type judge func(l *Letter, now time.Time) rule.Reason

func item(l *Letter, r rule.Reason) Item {
	return Item{Letter: l, StateWord: l.State.String(), Reason: r, Sentence: r.Sentence(), Never: r.Never(), Content: l.Body}
}

func (s *Store) list(ctx context.Context, f Filter, j judge) (items []Item, err error) {
	now := time.Now()
	err = s.Each(func(l *Letter) bool {
		if f.picks(l, now) {
			if r := j(l, now); f.Reason == "" || f.Reason == r {
				items = append(items, item(l, r))
			}
		}
		return ctx.Err() == nil && (f.Limit == 0 || len(items) < f.Limit)
	})
	return items, errors.Join(err, ctx.Err())
}

func (s *Store) stats(ctx context.Context, j judge) (*Stats, error) {
	now := time.Now()
	st := &Stats{Unread: s.Spoilt, States: map[string]int{}, Classes: map[string]int{}, Reasons: map[rule.Reason]int{}}
	err := s.Each(func(l *Letter) bool {
		st.Letters++
		st.Bytes += int64(l.BodySize)
		st.States[l.State.String()]++
		st.Classes[l.Class]++
		st.Reasons[j(l, now)]++
		if !l.State.Settled() {
			st.Worth += float64(l.Worth)
		}
		if at := time.Unix(0, l.Failed); st.Oldest.IsZero() || at.Before(st.Oldest) {
			st.Oldest = at
		}
		return ctx.Err() == nil
	})
	return st, errors.Join(err, ctx.Err())
}

// errSkip leaves one dead letter of a change as it was.
var errSkip = errors.New("left as it was")

// ask has a dead letter sent again, if its class allows that at all. It is sent when its destination's
// pace and the courier's load permit.
func (s *Store) ask(id string, now time.Time, dry bool, j judge) (a Answer, err error) {
	a.ID = id
	err = s.change(id, dry, func(l *Letter) bool {
		switch l.State {
		case rule.Out:
			a.Reason = rule.BeingSent
			return false
		case rule.Held:
		default:
			a.Reason = rule.HasEnd
			return false
		}
		asked := *l
		asked.Asked, asked.NotBefore = true, 0
		if a.Reason = j(&asked, now); a.Reason.Never() || a.Reason == rule.ClassGone {
			return false
		}
		a.Done, a.Reason = true, rule.Allowed
		l.Asked, l.NotBefore = true, 0
		return true
	})
	a.Sentence = a.Reason.Sentence()
	return a, err
}

// discard ends a dead letter that is not out.
func (s *Store) discard(id string, now time.Time, dry bool) (a Answer, err error) {
	a.ID = id
	err = s.change(id, dry, func(l *Letter) bool {
		switch {
		case l.State == rule.Out:
			a.Reason = rule.BeingSent
			return false
		case l.State.Settled():
			a.Reason = rule.HasEnd
			return false
		}
		a.Done, a.Reason = true, rule.HasEnd
		l.settle(rule.Discarded, now)
		return true
	})
	if a.Sentence = a.Reason.Sentence(); a.Done {
		a.Sentence = "discarded"
	}
	return a, err
}

// change reads a dead letter, has it changed and, unless dry, writes it.
func (s *Store) change(id string, dry bool, f func(*Letter) bool) error {
	if dry {
		l, err := s.Get(id)
		if err == nil {
			f(l)
		}
		return err
	}
	err := s.Change([]string{id}, func(l *Letter) error {
		if !f(l) {
			return errSkip
		}
		return nil
	})
	if errors.Is(err, errSkip) {
		return nil
	}
	return err
}

// ---- at a running courier ----

// reading returns the open store, which may be read beside the actor, and a judge for it.
func (k *Keeper) reading(ctx context.Context) (*Store, judge, error) {
	var s *Store
	var limits rule.Limits // SIGHUP may change the keeper's
	paces := map[int64]rule.Reason{}
	now := time.Now()
	if err := k.look(ctx, func() {
		s, limits = k.store, k.Limits
		for dest, p := range k.paces {
			paces[dest] = p.May(now, false)
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

func (s *Store) show(id string, j judge) (*Item, error) {
	l, err := s.Get(id)
	if err != nil {
		return nil, err
	}
	it := item(l, j(l, time.Now()))
	return &it, nil
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

// ---- at a stopped courier's folder ----

// Offline is the desk at the folder of a courier that is not running. Where its destinations stand
// is not known, so a dead letter's reason tells only of its class and its own history.
type Offline struct {
	Store  *Store
	Limits rule.Limits
}

func (o *Offline) judge(l *Letter, now time.Time) rule.Reason {
	place := rule.Place{}
	if l.Ran != nil {
		place = rule.Place{Peer: l.Ran.Peer, Floor: l.Ran.Floor}
	}
	return o.Limits.May(l.Facts(), now, []rule.Place{place})
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
