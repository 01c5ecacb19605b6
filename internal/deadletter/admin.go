package deadletter

import (
	"context"
	"errors"
	"slices"
	"time"

	"raventrestle/internal/deadletter/rule"
)

// Filter selects dead letters. An empty field matches all of them.
type Filter struct {
	IDs       []string      `json:"ids,omitempty"`
	Class     string        `json:"class,omitempty"`
	Tenant    string        `json:"hotel,omitempty"`
	Dest      *int64        `json:"channel,omitempty"`
	State     string        `json:"state,omitempty"`
	Reason    rule.Reason   `json:"reason,omitempty"` // why it may or may not be sent again
	OlderThan time.Duration `json:"older_than,omitempty"`
	NewerThan time.Duration `json:"newer_than,omitempty"`
	Limit     int           `json:"limit,omitempty"` // maximum number of listed dead letters; 0 for no limit
}

func (f Filter) matches(msg *Message, now time.Time) bool {
	age := now.Sub(time.Unix(0, msg.FailedAt))
	return (len(f.IDs) == 0 || slices.Contains(f.IDs, msg.ID)) && (f.Class == "" || f.Class == msg.Class) &&
		(f.Tenant == "" || f.Tenant == msg.Tenant) && (f.Dest == nil || *f.Dest == msg.Dest) &&
		(f.State == "" || f.State == msg.State.String()) && (f.OlderThan == 0 || age > f.OlderThan) &&
		(f.NewerThan == 0 || age <= f.NewerThan)
}

// Item is a dead letter as operators see it.
type Item struct {
	*Message
	StateName   string      `json:"status"`
	Reason      rule.Reason `json:"reason"`
	Explanation string      `json:"explanation"`
	Permanent   bool        `json:"never"` // neither an operator nor the passing of time can change the reason
	Content     []byte      `json:"body,omitempty"`
}

// ActionResult is the result of an operator's request for one dead letter.
type ActionResult struct {
	ID          string      `json:"id"`
	Done        bool        `json:"done"`
	Reason      rule.Reason `json:"reason"`
	Explanation string      `json:"explanation"`
}

// Stats are the statistics of the store.
type Stats struct {
	Count            int                 `json:"letters"`
	Bytes            int64               `json:"bytes"`
	Unreadable       int                 `json:"unreadable"`
	ByState          map[string]int      `json:"by_state"`
	ByClass          map[string]int      `json:"by_class"`
	ByReason         map[rule.Reason]int `json:"by_reason"`
	HeldValue        float64             `json:"worth_held"`
	Oldest           time.Time           `json:"oldest"`
	Added            int64               `json:"kept"` // this and the counts below: since the courier's start
	Lost             int64               `json:"lost"`
	Evicted          int64               `json:"gave_way"`
	Expired          int64               `json:"expired"`
	ResendsBegun     int64               `json:"resends_begun"`
	ResendsDelivered int64               `json:"resends_delivered"`
	ResendsFailed    int64               `json:"resends_failed"`
	ResendsYielded   int64               `json:"resends_yielded"`
}

// Admin is the operators' interface to the dead letters of a running courier (Manager) or of a stopped one
// (OfflineAdmin). A dry run reports what Resend or Discard would do and changes nothing.
type Admin interface {
	List(ctx context.Context, f Filter) ([]Item, error)
	Show(ctx context.Context, id string) (*Item, error)
	Resend(ctx context.Context, f Filter, dry bool) ([]ActionResult, error)
	Discard(ctx context.Context, f Filter, dry bool) ([]ActionResult, error)
	Stats(ctx context.Context) (*Stats, error)
}

// checkFunc reports why a dead letter may or may not be sent again.
type checkFunc func(msg *Message, now time.Time) rule.Reason

func newItem(msg *Message, r rule.Reason) Item {
	return Item{Message: msg, StateName: msg.State.String(), Reason: r, Explanation: r.Explanation(), Permanent: r.Permanent(), Content: msg.Body}
}

func (s *Store) list(ctx context.Context, f Filter, check checkFunc) (items []Item, err error) {
	now := time.Now()
	err = s.Each(func(msg *Message) bool {
		if f.matches(msg, now) {
			if r := check(msg, now); f.Reason == "" || f.Reason == r {
				items = append(items, newItem(msg, r))
			}
		}
		return ctx.Err() == nil && (f.Limit == 0 || len(items) < f.Limit)
	})
	return items, errors.Join(err, ctx.Err())
}

func (s *Store) stats(ctx context.Context, check checkFunc) (*Stats, error) {
	now := time.Now()
	st := &Stats{Unreadable: s.Unreadable, ByState: map[string]int{}, ByClass: map[string]int{}, ByReason: map[rule.Reason]int{}}
	err := s.Each(func(msg *Message) bool {
		st.Count++
		st.Bytes += int64(msg.BodySize)
		st.ByState[msg.State.String()]++
		st.ByClass[msg.Class]++
		st.ByReason[check(msg, now)]++
		if !msg.State.Final() {
			st.HeldValue += float64(msg.Value)
		}
		if at := time.Unix(0, msg.FailedAt); st.Oldest.IsZero() || at.Before(st.Oldest) {
			st.Oldest = at
		}
		return ctx.Err() == nil
	})
	return st, errors.Join(err, ctx.Err())
}

// errUnchanged makes Store.Change leave the dead letter as it is.
var errUnchanged = errors.New("unchanged")

// requestResend records an operator's request to send a dead letter again, unless that can never be allowed.
// The dead letter is sent as soon as its destination's pacer and the courier's load permit it.
func (s *Store) requestResend(id string, now time.Time, dry bool, check checkFunc) (a ActionResult, err error) {
	a.ID = id
	err = s.changeOne(id, dry, func(msg *Message) bool {
		switch msg.State {
		case rule.Resending:
			a.Reason = rule.BeingSent
			return false
		case rule.Held:
		default:
			a.Reason = rule.AlreadyFinal
			return false
		}
		requested := *msg
		requested.Requested, requested.NotBefore = true, 0
		if a.Reason = check(&requested, now); a.Reason.Permanent() || a.Reason == rule.UnknownClass {
			return false
		}
		a.Done, a.Reason = true, rule.Allowed
		msg.Requested, msg.NotBefore = true, 0
		return true
	})
	a.Explanation = a.Reason.Explanation()
	return a, err
}

// discard moves a dead letter to its final state Discarded, unless it is being sent again.
func (s *Store) discard(id string, now time.Time, dry bool) (a ActionResult, err error) {
	a.ID = id
	err = s.changeOne(id, dry, func(msg *Message) bool {
		switch {
		case msg.State == rule.Resending:
			a.Reason = rule.BeingSent
			return false
		case msg.State.Final():
			a.Reason = rule.AlreadyFinal
			return false
		}
		a.Done, a.Reason = true, rule.AlreadyFinal
		msg.setFinal(rule.Discarded, now)
		return true
	})
	if a.Explanation = a.Reason.Explanation(); a.Done {
		a.Explanation = "discarded"
	}
	return a, err
}

// changeOne reads a dead letter, passes it to f and writes it back if f returns true and dry is false.
func (s *Store) changeOne(id string, dry bool, f func(*Message) bool) error {
	if dry {
		msg, err := s.Get(id)
		if err == nil {
			f(msg)
		}
		return err
	}
	err := s.Change([]string{id}, func(msg *Message) error {
		if !f(msg) {
			return errUnchanged
		}
		return nil
	})
	if errors.Is(err, errUnchanged) {
		return nil
	}
	return err
}

func (s *Store) show(id string, check checkFunc) (*Item, error) {
	msg, err := s.Get(id)
	if err != nil {
		return nil, err
	}
	it := newItem(msg, check(msg, time.Now()))
	return &it, nil
}
