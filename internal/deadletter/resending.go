package deadletter

// Dead letters that are sent again: when, and what becomes of them.

import (
	"fmt"
	"time"

	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

// work begins what may begin and drops what has outlived its time.
func (k *Keeper) work(now time.Time) {
	if k.store == nil {
		return
	}
	if now.Sub(k.swept) > sweep {
		k.swept = now
		gone, err := k.store.Expire(now, k.MaxAge, k.Settled, 1024)
		k.broke(err)
		k.Counts.Expired.Add(int64(len(gone)))
		for _, l := range gone {
			if !l.State.Final() {
				k.Log.Warn("undeliverable: expired", "id", l.ID, "class", l.Class)
			}
		}
		for dest, p := range k.paces {
			if k.store != nil && k.store.shelves[dest] == nil && p.Idle(now) {
				delete(k.paces, dest)
			}
		}
		if k.store == nil {
			return
		}
	}
	v := k.view.Load()
	room := k.Limits.ResendCapacity(v.Load)
	for dest, p := range k.paces { // in no order: each destination has its own pace
		if room <= 0 {
			return
		}
		if v.Waiting[dest] > 0 { // fresh messages first
			continue
		}
		if k.begin(dest, p, v, now) {
			room--
		}
		if k.store == nil {
			return
		}
	}
}

// pace is the destination's, made on demand; nil where it has no dead letters and none is wanted.
func (k *Keeper) pace(dest int64, wanted bool) *rule.Pacer {
	p := k.paces[dest]
	if p == nil && (wanted || k.store != nil && k.store.shelves[dest] != nil) {
		p = rule.NewPacer(k.Limits)
		k.paces[dest] = p
	}
	return p
}

// begin sends the first dead letter of the destination that may be sent.
func (k *Keeper) begin(dest int64, p *rule.Pacer, v *View, now time.Time) bool {
	if p.Check(now, true) != rule.Allowed {
		return false
	}
	for _, e := range k.store.next(dest, now, lookAt) {
		if p.Check(now, e.asked) != rule.Allowed {
			return false
		}
		l, err := k.store.bySeq(e.seq)
		if k.broke(err); k.store == nil {
			return false
		}
		if err != nil {
			e.due = now.Add(time.Minute).UnixNano()
			continue
		}
		facts, reason := k.judge(k.Limits, l, now, v.Places[dest])
		switch {
		case reason == rule.Allowed:
			p.Acquire(now)
			k.send(l, facts, now)
			return true
		case reason.Permanent(), reason == rule.ResendsUsed, reason == rule.TooOld, reason == rule.ManualOnly, reason == rule.UnknownClass:
			e.never = true // until an operator asks, which shelves it anew
		default:
			e.due = now.Add(backAfter).UnixNano()
		}
	}
	return false
}

// judge asks the rule about a dead letter, under its class as it is now.
func (k *Keeper) judge(limits rule.Limits, l *Letter, now time.Time, places []rule.Endpoint) (rule.Facts, rule.Reason) {
	class, known := k.Class(l.Class)
	if !known {
		return l.Facts(), rule.UnknownClass
	}
	f := l.Stricter(class)
	return f, limits.Check(f, now, places)
}

// send marks the dead letter out, writes it into the journal and hands it to the courier, in that order.
func (k *Keeper) send(l *Letter, f rule.Facts, now time.Time) {
	began := now.UnixNano()
	err := k.store.Change([]string{l.ID}, func(x *Letter) error {
		x.State, x.Resends = rule.Resending, append(x.Resends, Resend{Began: began})
		body := l.Body
		*l = *x
		l.Body = body
		return nil
	})
	k.broke(err)
	if err != nil {
		k.Log.Error("undeliverable: not sent again", "id", l.ID, "err", err)
		k.back(l.Dest)
		return
	}
	class, _ := k.Class(l.Class)
	m := l.Message(now.Add(k.Limits.ResendTimeout(f, max(class.Deadline, time.Millisecond), now)))
	again := Again{Message: m, Dest: l.Dest}
	records := []journal.Record{journal.Taken(m)}
	if l.Ran != nil {
		again.MayRun, again.Ran = true, journal.Try{Peer: l.Ran.Peer, Zone: l.Ran.Floor, At: l.Ran.At}
		records = append(records, journal.Prior(m.ID, again.Ran))
	}
	none := Result{ID: l.ID, Dest: l.Dest, What: "yielded"}
	written := func(err error) {
		if err == nil && k.Begin(again) {
			k.Counts.Begun.Add(1)
			return
		}
		// It was not sent. Its end first, then the journal forgets it.
		k.Finish(none, func(end error) {
			if err == nil && end == nil {
				k.Append([]journal.Record{journal.Over(m.ID)}, nil)
			}
		})
	}
	if err := k.Append(records, written); err != nil {
		written(err)
	}
}

func (k *Keeper) back(dest int64) {
	if p := k.pace(dest, false); p != nil {
		p.Release()
	}
}

func (k *Keeper) finish(r Result, now time.Time) error {
	if k.store == nil {
		return ErrOff
	}
	tried := len(r.List) > 0
	err := k.store.Change([]string{r.ID}, func(l *Letter) error {
		if l.State != rule.Resending {
			return fmt.Errorf("deadletter: %s is %s, not out", l.ID, l.State)
		}
		last := &l.Resends[len(l.Resends)-1]
		last.Ended, last.Result, last.Tries = now.UnixNano(), r.What, r.List
		l.ran(r.List)
		switch {
		case r.What == "delivered":
			l.settle(rule.Delivered, now)
		case r.What == "void":
			l.settle(rule.Void, now)
		case !tried: // as if it had not begun
			l.State, l.Resends = rule.Held, l.Resends[:len(l.Resends)-1]
			l.NotBefore = now.Add(backAfter).UnixNano()
		default:
			l.State, l.Asked = rule.Held, false
			l.NotBefore = now.Add(k.Limits.BackoffAfter(len(l.Resends), k.rnd.Float64())).UnixNano()
		}
		return nil
	})
	k.broke(err)
	if err != nil {
		k.Log.Error("undeliverable: a resend's end is not written", "id", r.ID, "what", r.What, "err", err)
		return err
	}
	p := k.pace(r.Dest, true)
	switch {
	case !tried:
		k.Counts.Yielded.Add(1)
		p.Release()
	case r.What == "delivered":
		k.Counts.Delivered.Add(1)
		p.RecordCall(now, true, true, k.rnd.Float64())
	case r.What == "void":
		k.Counts.Voids.Add(1)
		p.RecordCall(now, true, true, k.rnd.Float64()) // the endpoint did answer
	default:
		k.Counts.Failed.Add(1)
		p.RecordCall(now, false, true, k.rnd.Float64())
	}
	k.Log.Info("undeliverable: resent", "id", r.ID, "result", r.What, "tries", len(r.List))
	return nil
}
