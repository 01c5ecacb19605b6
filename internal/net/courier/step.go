package courier

// A step passes all queued events to the policy and carries out its actions.

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/discovery"
)

// step passes the queued messages to the policy: first list updates, then outcomes, then the rest.
func (c *Courier) step(ctx context.Context, queued []any) {
	t := now()
	var lists, outcomes, others []raventrestle.Event
	var records []journal.Record
	var statusReplies []chan<- Status
	handOverRequested := false
	fresh := c.freshArrivals(queued)
	others = append(others, c.yieldResends(fresh)...)
	for _, m := range queued {
		switch m := m.(type) {
		case discovery.Update:
			lists = append(lists, c.applyList(ctx, m))
		case raventrestle.Outcome:
			outcomes = append(outcomes, m)
			records = append(records, c.recordOutcome(m)...)
		case arrival:
			c.msgs[raventrestle.MessageID(m.ID)] = &message{Message: m.Message}
			if c.handingOver {
				records = append(records, c.handOverMessage(c.msgs[raventrestle.MessageID(m.ID)]))
				continue
			}
			others = append(others, c.arrivalEvent(m, t))
		case journal.MessageState:
			c.msgs[raventrestle.MessageID(m.ID)] = &message{Message: m.Message, Progress: m.Progress}
			if m.ResendNumber > 0 {
				c.activeResends++
			} else if c.handingOver { // two upgrades in a row: a message adopted meanwhile is handed on
				records = append(records, c.handOverMessage(c.msgs[raventrestle.MessageID(m.ID)]))
				continue
			}
			others = append(others, c.restoredEvent(m, t))
		case deadletter.ResendRequest:
			if e := c.startResend(m, t, fresh); e != nil {
				others = append(others, e)
			}
		case handOverMsg:
			handOverRequested = !c.handingOver
		case inheritMsg:
			c.inherited = true
			c.policy.Inherit(m.Learned)
		case retryAfterMsg:
			c.applyRetryAfter(m.waitUntil)
		case otherProcessMsg:
			c.policy.AdjustBusySlots(m.calls - c.otherProcessSlots)
			c.otherProcessSlots = m.calls
		case reconfigureMsg:
			err := c.reconfigure(ctx, m.conf)
			m.done <- err
		case statusMsg:
			statusReplies = append(statusReplies, m.reply)
		case shutdownMsg:
			c.closing = true
			others = append(others, raventrestle.Shutdown{At: time.Duration(m.deadline.UnixNano())})
		}
	}
	if handOverRequested {
		c.handingOver = true
		withdrawn, handOvers := c.startHandover()
		others, records = append(others, withdrawn...), append(records, handOvers...)
	}
	events := slices.Concat(lists, outcomes, others)
	if c.wakeAt > 0 && c.wakeAt <= t {
		if t-c.wakeAt > 2*c.conf.Settings.MinBatchInterval {
			c.Counts.LateSteps.Add(1)
		}
		c.wakeAt = 0
		events = append(events, raventrestle.Wake{})
	}
	c.Counts.Steps.Add(1)
	c.applyActions(c.runPolicy(t, events), records)
	c.sendView()
	c.updateGauges()
	c.saveLearned(t)
	for _, reply := range statusReplies {
		reply <- c.status()
	}
	if (c.closing || c.handingOver) && c.pendingCount() == 0 {
		select {
		case <-c.drained:
		default:
			close(c.drained)
		}
	}
}

// updateGauges sets the metrics that are current values, not counters.
func (c *Courier) updateGauges() {
	c.Metrics.Members.Store(int64(len(c.peers)))
	c.Metrics.MembersUnavailable.Store(int64(c.policy.UnavailableTargets(now())))
}

// runPolicy runs one step of the policy. If the policy panics, the batch is lost but the process goes on.
func (c *Courier) runPolicy(t time.Duration, events []raventrestle.Event) (actions []raventrestle.Action) {
	defer func() {
		if e := recover(); e != nil {
			c.Counts.Panics.Add(1)
			c.log.Error("courier: panic in the policy", "panic", fmt.Sprint(e), "stack", string(debug.Stack()))
			actions = []raventrestle.Action{raventrestle.WakeAt{At: t + c.conf.Settings.MinBatchInterval}}
		}
	}()
	return c.policy.Step(t, events)
}

func (c *Courier) arrivalEvent(a arrival, t time.Duration) raventrestle.Arrival {
	return raventrestle.Arrival{
		ID: raventrestle.MessageID(a.ID), Class: c.classIndex(a.Message),
		Tenant: config.Index(c.conf.Names.Tenants, a.Tenant), Dest: raventrestle.DestID(a.Dest),
		Budget: time.Duration(a.ExpiresAt) - t, Resubmitted: a.resubmitted, Orphaned: a.orphaned,
	}
}

// classIndex returns the index of the class that the message was accepted with, -1 if it is unknown.
func (c *Courier) classIndex(m *journal.Message) int {
	i := config.Index(c.conf.Names.Classes, m.Class)
	if m.ClassTerms == "" || i >= 0 && c.conf.Names.Terms[m.Class] == m.ClassTerms {
		return i
	}
	class, err := config.ParseTerms(m.Class, m.ClassTerms)
	if err != nil {
		c.log.Error("courier: a stored class can't be read", "id", m.ID, "err", err)
	}
	if i := slices.Index(c.conf.Settings.Classes, class); i >= 0 {
		return i
	}
	// The class comes from a process with other settings. It is appended to the classes without an entry in Names, so new
	// messages can't refer to it.
	next := *c.conf
	next.Settings.Classes = append(slices.Clone(next.Settings.Classes), class)
	if err := c.policy.Reconfigure(next.Settings); err != nil {
		c.log.Error("courier: a stored class can't be added", "id", m.ID, "class", m.Class, "err", err)
		return i
	}
	c.conf = &next
	return len(next.Settings.Classes) - 1
}

// restoredEvent treats an attempt that was in flight when the last process ended as one that may have run.
func (c *Courier) restoredEvent(k journal.MessageState, t time.Duration) raventrestle.Restored {
	r := raventrestle.Restored{Arrival: c.arrivalEvent(arrival{Message: k.Message}, t), Attempts: k.AttemptCount, HandedOver: k.HandedOver || c.inherited}
	ran := k.FirstRun
	if ran == nil {
		ran = k.InFlight
	} else {
		r.AttemptFailed = true
	}
	if ran != nil {
		r.MayHaveRun, r.RunTarget, r.RunAt = true, raventrestle.TargetID(ran.Peer), time.Duration(ran.At)
		r.RunZone = config.Index(c.conf.Names.Zones, ran.Zone)
	}
	return r
}
