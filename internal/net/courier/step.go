package courier

// A step hands the module what has come in, and has its actions carried out.

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
	"raventrestle/internal/net/upstream"
)

// step hands the module all that has come in, answers and the list first.
func (c *Courier) step(ctx context.Context, mail []any) {
	t := now()
	var lists, answers, rest []raventrestle.Event
	var records []journal.Record
	var asked []chan<- Status
	pass := false
	rest = append(rest, c.yield(mail)...)
	for _, m := range mail {
		switch m := m.(type) {
		case upstream.Update:
			lists = append(lists, c.update(ctx, m))
		case raventrestle.Outcome:
			answers = append(answers, m)
			records = append(records, c.outcome(m)...)
		case arrival:
			c.msgs[raventrestle.MessageID(m.ID)] = &message{Message: m.Message}
			if c.passing {
				records = append(records, c.handOver(c.msgs[raventrestle.MessageID(m.ID)]))
				continue
			}
			rest = append(rest, c.arrived(m, t))
		case journal.Kept:
			c.msgs[raventrestle.MessageID(m.ID)] = &message{Message: m.Message, Progress: m.Progress}
			if m.Resend > 0 {
				c.again++
			} else if c.passing { // two upgrades in a row: what is taken over meanwhile goes on to the next one
				records = append(records, c.handOver(c.msgs[raventrestle.MessageID(m.ID)]))
				continue
			}
			rest = append(rest, c.restored(m, t))
		case deadletter.Again:
			if e := c.resend(m, t); e != nil {
				rest = append(rest, e)
			}
		case passMsg:
			pass = !c.passing
		case inheritMsg:
			c.inherited = true
			c.policy.Inherit(m.Learned)
		case heedMsg:
			c.heed(m.waits)
		case elsewhereMsg:
			c.policy.AdjustBusySlots(m.calls - c.theirs)
			c.theirs = m.calls
		case retuneMsg:
			err := c.retune(ctx, m.conf)
			m.done <- err
		case statusMsg:
			asked = append(asked, m.to)
		case closingMsg:
			c.closing = true
			rest = append(rest, raventrestle.Shutdown{At: time.Duration(m.at.UnixNano())})
		}
	}
	if pass {
		c.passing = true
		gone, handed := c.pass()
		rest, records = append(rest, gone...), append(records, handed...)
	}
	events := slices.Concat(lists, answers, rest)
	if c.wake > 0 && c.wake <= t {
		if t-c.wake > 2*c.conf.Settings.MinBatchInterval {
			c.Counts.LateSteps.Add(1)
		}
		c.wake = 0
		events = append(events, raventrestle.Wake{})
	}
	c.Counts.Steps.Add(1)
	c.act(c.decide(t, events), records)
	c.show()
	c.figure()
	c.remember(t)
	for _, to := range asked {
		to <- c.status()
	}
	if (c.closing || c.passing) && c.owed() == 0 {
		select {
		case <-c.quiet:
		default:
			close(c.quiet)
		}
	}
}

// figure brings the figures that are not counted up to date.
func (c *Courier) figure() {
	c.Figures.Members.Store(int64(len(c.peers)))
	c.Figures.MembersUnavailable.Store(int64(c.policy.UnavailableTargets(now())))
}

// decide keeps a fault of the module from ending the process: the batch is lost, not the courier.
func (c *Courier) decide(t time.Duration, events []raventrestle.Event) (actions []raventrestle.Action) {
	defer func() {
		if e := recover(); e != nil {
			c.Counts.Panics.Add(1)
			c.log.Error("courier: the module broke", "panic", fmt.Sprint(e), "stack", string(debug.Stack()))
			actions = []raventrestle.Action{raventrestle.WakeAt{At: t + c.conf.Settings.MinBatchInterval}}
		}
	}()
	return c.policy.Step(t, events)
}

func (c *Courier) arrived(a arrival, t time.Duration) raventrestle.Arrival {
	return raventrestle.Arrival{
		ID: raventrestle.MessageID(a.ID), Class: c.class(a.Message),
		Tenant: config.Index(c.conf.Names.Tenants, a.Tenant), Dest: raventrestle.DestID(a.Dest),
		Budget: time.Duration(a.Until) - t, Resubmitted: a.again, Orphaned: a.orphan,
	}
}

// class is the index of the class that the message was taken with, -1 if it is not known any more.
func (c *Courier) class(m *journal.Message) int {
	i := config.Index(c.conf.Names.Classes, m.Class)
	if m.Terms == "" || i >= 0 && c.conf.Names.Terms[m.Class] == m.Terms {
		return i
	}
	class, err := config.ParseTerms(m.Class, m.Terms)
	if err != nil {
		c.log.Error("courier: a class can't be read", "id", m.ID, "err", err)
	}
	if i := slices.Index(c.conf.Settings.Classes, class); i >= 0 {
		return i
	}
	// Of a life that had other settings: it stands behind the others, and no name leads to it.
	next := *c.conf
	next.Settings.Classes = append(slices.Clone(next.Settings.Classes), class)
	if err := c.policy.Reconfigure(next.Settings); err != nil {
		c.log.Error("courier: a class can't be taken up", "id", m.ID, "class", m.Class, "err", err)
		return i
	}
	c.conf = &next
	return len(next.Settings.Classes) - 1
}

// restored: a try that was out when the last process ended may have run.
func (c *Courier) restored(k journal.Kept, t time.Duration) raventrestle.Restored {
	r := raventrestle.Restored{Arrival: c.arrived(arrival{Message: k.Message}, t), Attempts: k.Tries, HandedOver: k.Handed || c.inherited}
	ran := k.Ran
	if ran == nil {
		ran = k.Out
	} else {
		r.AttemptFailed = true
	}
	if ran != nil {
		r.MayHaveRun, r.RunTarget, r.RunAt = true, raventrestle.TargetID(ran.Peer), time.Duration(ran.At)
		r.RunZone = config.Index(c.conf.Names.Zones, ran.Zone)
	}
	return r
}
