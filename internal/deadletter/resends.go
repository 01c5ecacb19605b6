package deadletter

// Scheduling of resends, and the processing of their results.

import (
	"fmt"
	"time"

	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

// resendDue starts the resends that are due and, every expiryInterval, removes expired dead letters.
func (mgr *Manager) resendDue(now time.Time) {
	if mgr.store == nil {
		return
	}
	if now.Sub(mgr.lastExpiry) > expiryInterval {
		mgr.lastExpiry = now
		expired, err := mgr.store.Expire(now, mgr.MaxAge, mgr.MaxFinalAge, 1024)
		mgr.handleCorruption(err)
		mgr.Counts.Expired.Add(int64(len(expired)))
		for _, msg := range expired {
			if !msg.State.Final() {
				mgr.Log.Warn("undeliverable: expired", "id", msg.ID, "class", msg.Class)
			}
		}
		for dest, p := range mgr.pacers {
			if mgr.store != nil && mgr.store.indexes[dest] == nil && p.Idle(now) {
				delete(mgr.pacers, dest)
			}
		}
		if mgr.store == nil {
			return
		}
	}
	courier := mgr.courierState.Load()
	capacity := mgr.Limits.ResendCapacity(courier.Load)
	for dest, p := range mgr.pacers { // in any order: each destination has its own pacer
		if capacity <= 0 {
			return
		}
		if courier.Waiting[dest] > 0 { // fresh messages first
			continue
		}
		if mgr.resendNext(dest, p, courier, now) {
			capacity--
		}
		if mgr.store == nil {
			return
		}
	}
}

// pacer returns the pacer of the destination and creates it if the destination has dead letters or create is
// true. Otherwise it may return nil.
func (mgr *Manager) pacer(dest int64, create bool) *rule.Pacer {
	p := mgr.pacers[dest]
	if p == nil && (create || mgr.store != nil && mgr.store.indexes[dest] != nil) {
		p = rule.NewPacer(mgr.Limits)
		mgr.pacers[dest] = p
	}
	return p
}

// resendNext starts the resend of the most urgent dead letter of the destination that may be sent. It reports
// whether it started one.
func (mgr *Manager) resendNext(dest int64, p *rule.Pacer, courier *CourierState, now time.Time) bool {
	if p.Check(now, true) != rule.Allowed {
		return false
	}
	for _, e := range mgr.store.candidates(dest, now, maxCandidates) {
		if p.Check(now, e.requested) != rule.Allowed {
			return false
		}
		msg, err := mgr.store.bySeq(e.seq)
		if mgr.handleCorruption(err); mgr.store == nil {
			return false
		}
		if err != nil {
			e.checkAfter = now.Add(time.Minute).UnixNano()
			continue
		}
		facts, reason := mgr.check(mgr.Limits, msg, now, courier.Endpoints[dest])
		switch {
		case reason == rule.Allowed:
			p.Acquire(now)
			mgr.startResend(msg, facts, now)
			return true
		case reason.Permanent(), reason == rule.ResendsUsed, reason == rule.TooOld, reason == rule.ManualOnly, reason == rule.UnknownClass:
			e.parked = true // until an operator requests it, which replaces the index entry
		default:
			e.checkAfter = now.Add(recheckDelay).UnixNano()
		}
	}
	return false
}

// check applies the limits to a dead letter, under the stricter of its stored and its configured class.
func (mgr *Manager) check(limits rule.Limits, msg *Message, now time.Time, endpoints []rule.Endpoint) (rule.Facts, rule.Reason) {
	class, known := mgr.LookupClass(msg.Class)
	if !known {
		return msg.Facts(), rule.UnknownClass
	}
	f := msg.StrictestFacts(class)
	return f, limits.Check(f, now, endpoints)
}

// startResend marks the dead letter as being resent, writes it to the journal and hands it to the courier, in
// that order.
func (mgr *Manager) startResend(msg *Message, f rule.Facts, now time.Time) {
	startedAt := now.UnixNano()
	err := mgr.store.Change([]string{msg.ID}, func(x *Message) error {
		x.State, x.Resends = rule.Resending, append(x.Resends, Resend{StartedAt: startedAt})
		body := msg.Body
		*msg = *x
		msg.Body = body
		return nil
	})
	mgr.handleCorruption(err)
	if err != nil {
		mgr.Log.Error("undeliverable: could not start a resend", "id", msg.ID, "err", err)
		mgr.releaseSlot(msg.Dest)
		return
	}
	class, _ := mgr.LookupClass(msg.Class)
	journalMessage := msg.JournalMessage(now.Add(mgr.Limits.ResendTimeout(f, max(class.Deadline, time.Millisecond), now)))
	request := ResendRequest{Message: journalMessage, Dest: msg.Dest}
	records := []journal.Record{journal.Accepted(journalMessage)}
	if msg.FirstRun != nil {
		request.MayHaveRun, request.FirstRun = true, journal.Attempt{Peer: msg.FirstRun.Peer, Zone: msg.FirstRun.Zone, At: msg.FirstRun.At}
		records = append(records, journal.PriorRun(journalMessage.ID, request.FirstRun))
	}
	yielded := ResendResult{ID: msg.ID, Dest: msg.Dest, Result: "yielded"}
	written := func(err error) {
		if err == nil && mgr.SubmitResend(request) {
			mgr.Counts.ResendsBegun.Add(1)
			return
		}
		// The dead letter was not sent. Store the result first, then delete the message from the journal.
		mgr.Finish(yielded, func(finishErr error) {
			if err == nil && finishErr == nil {
				mgr.AppendJournal([]journal.Record{journal.Done(journalMessage.ID)}, nil)
			}
		})
	}
	if err := mgr.AppendJournal(records, written); err != nil {
		written(err)
	}
}

func (mgr *Manager) releaseSlot(dest int64) {
	if p := mgr.pacer(dest, false); p != nil {
		p.Release()
	}
}

// finish stores the result of a resend, returns the slot to the pacer and counts the result.
func (mgr *Manager) finish(r ResendResult, now time.Time) error {
	if mgr.store == nil {
		return ErrUnavailable
	}
	attempted := len(r.Attempts) > 0
	err := mgr.store.Change([]string{r.ID}, func(msg *Message) error {
		if msg.State != rule.Resending {
			return fmt.Errorf("deadletter: %s is %s, not being resent", msg.ID, msg.State)
		}
		last := &msg.Resends[len(msg.Resends)-1]
		last.EndedAt, last.Result, last.Attempts = now.UnixNano(), r.Result, r.Attempts
		msg.recordFirstRun(r.Attempts)
		switch {
		case r.Result == "delivered":
			msg.setFinal(rule.Delivered, now)
		case r.Result == "void":
			msg.setFinal(rule.Void, now)
		case !attempted: // treated as if the resend had not begun
			msg.State, msg.Resends = rule.Held, msg.Resends[:len(msg.Resends)-1]
			msg.NotBefore = now.Add(recheckDelay).UnixNano()
		default:
			msg.State, msg.Requested = rule.Held, false
			msg.NotBefore = now.Add(mgr.Limits.BackoffAfter(len(msg.Resends), mgr.rng.Float64())).UnixNano()
		}
		return nil
	})
	mgr.handleCorruption(err)
	if err != nil {
		mgr.Log.Error("undeliverable: could not store the result of a resend", "id", r.ID, "what", r.Result, "err", err)
		return err
	}
	p := mgr.pacer(r.Dest, true)
	switch {
	case !attempted:
		mgr.Counts.ResendsYielded.Add(1)
		p.Release()
	case r.Result == "delivered":
		mgr.Counts.ResendsDelivered.Add(1)
		p.RecordCall(now, true, true, mgr.rng.Float64())
	case r.Result == "void":
		mgr.Counts.ResendsVoid.Add(1)
		p.RecordCall(now, true, true, mgr.rng.Float64()) // the endpoint answered, so the destination works
	default:
		mgr.Counts.ResendsFailed.Add(1)
		p.RecordCall(now, false, true, mgr.rng.Float64())
	}
	mgr.Log.Info("undeliverable: resend ended", "id", r.ID, "result", r.Result, "tries", len(r.Attempts))
	return nil
}
