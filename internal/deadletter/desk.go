package deadletter

import (
	"context"
	"errors"
	"slices"
	"time"

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
	return Item{Letter: l, StateWord: l.State.String(), Reason: r, Sentence: r.Explanation(), Never: r.Permanent(), Content: l.Body}
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
		if !l.State.Final() {
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
		case rule.Resending:
			a.Reason = rule.BeingSent
			return false
		case rule.Held:
		default:
			a.Reason = rule.AlreadyFinal
			return false
		}
		asked := *l
		asked.Asked, asked.NotBefore = true, 0
		if a.Reason = j(&asked, now); a.Reason.Permanent() || a.Reason == rule.UnknownClass {
			return false
		}
		a.Done, a.Reason = true, rule.Allowed
		l.Asked, l.NotBefore = true, 0
		return true
	})
	a.Sentence = a.Reason.Explanation()
	return a, err
}

// discard ends a dead letter that is not out.
func (s *Store) discard(id string, now time.Time, dry bool) (a Answer, err error) {
	a.ID = id
	err = s.change(id, dry, func(l *Letter) bool {
		switch {
		case l.State == rule.Resending:
			a.Reason = rule.BeingSent
			return false
		case l.State.Final():
			a.Reason = rule.AlreadyFinal
			return false
		}
		a.Done, a.Reason = true, rule.AlreadyFinal
		l.settle(rule.Discarded, now)
		return true
	})
	if a.Sentence = a.Reason.Explanation(); a.Done {
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

func (s *Store) show(id string, j judge) (*Item, error) {
	l, err := s.Get(id)
	if err != nil {
		return nil, err
	}
	it := item(l, j(l, time.Now()))
	return &it, nil
}
