// Package emulator runs couriers as processes on loopback addresses and emulates the systems around them: discovery,
// channels and clients. Its Recorder counts what takes effect at the receivers, independently of what couriers report,
// and checks the rules against that.
//
// If links, processes or state directories have faults, the rules allow the deviations that follow from the planned
// faults, and no others (TestAllowancesFollowFromPlan, TestLostStateNeedsNoFinalAnswer,
// TestSwappedStateMovesMessages). More effects than a class allows are always a violation.
package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"raventrestle/internal/emulator/model"
)

// Tolerances of the rules.
const (
	noticeTolerance   = 300 * time.Millisecond  // for a final result after the deadline
	restartTolerance  = 1500 * time.Millisecond // for a courier after it is ready again
	callEndTolerance  = 30 * time.Millisecond   // until EndCall is called for a connection that has ended
	maxHistoryEntries = 60                      // per message
)

// Message is a message of a client, with all its submissions and what is known of it.
type Message struct {
	Key, Class, Tenant  string
	Dest                int64
	EffectLimit         EffectLimit
	Value               float64
	CreatedAt, Deadline time.Time
	Effects             int
	FirstEffectAt       time.Time
	DeliveredAt         time.Time // a response with status 200 was written to a courier
	FailedAt            time.Time // the platform received the notice "undeliverable"
	Resends             int       // calls after FailedAt
	ResendDeliveredAt   time.Time // delivered by a resend
	history             []string
	submissions         []*submission
}

// submission is one submission of a message to a courier, with its own id.
type submission struct {
	id           string
	msg          *Message
	courier      int
	acceptedAt   time.Time // its client received status 200 or 202
	clientLeft   bool      // its client received another status or no response
	endedAt      time.Time // delivered, or the platform received a notice
	noticeStatus string    // of the first notice to the platform
	noticeAt     time.Time
	openCalls    map[int]openCall // calls with the message that are in flight, by number
	stateLostAt  time.Time        // when its courier's state directory was lost
}

// Violation is a broken rule, with the history of the message concerned.
type Violation struct {
	Rule, Text string
	History    []string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s\n    %s", v.Rule, v.Text, strings.Join(v.History, "\n    "))
}

// Recorder records what happens to every message, as seen by clients, channels and the platform, and checks the rules.
// It is safe for concurrent use.
type Recorder struct {
	mu              sync.Mutex
	start           time.Time
	messages        map[string]*Message
	submissions     map[string]*submission
	processRuns     map[int][]processRun
	violations      []Violation
	allowances      Allowances
	externalCourier int // courier to which clients outside the emulator may submit; -1 for none
	Calls           int // at the receivers; each message of a call counts
	CallsRejected   int // of these, answered with status 429 or 503
	counts          Counts
	// AfterFunc calls f after d. A simulation replaces it by a function that uses simulated time.
	AfterFunc func(d time.Duration, f func())
}

// Counts are the counters of a Recorder. Stored results and the columns of a run's CSV file use the field names.
type Counts struct {
	Submissions                           int `json:"HandIns"` // by clients; stored results use the name in the tag
	Taken, TurnedAway, Unanswered         int // submissions answered with 200 or 202, with another status, not answered
	Delivered, Undeliverable, Deferred    int // final results; only the first one of a submission counts
	Calls, CallsRefused, Effects, Resends int // at the receivers, by message; refused are those with status 429 or 503
	Lists                                 int // requests to discovery: full lists and watches
}

// Counts returns the current counters.
func (r *Recorder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Calls, c.CallsRefused = r.Calls, r.CallsRejected
	return c
}

// processRun is the time from when a courier's process was ready until it ended.
type processRun struct{ readyAt, endedAt time.Time }

// openCall is a call that is in flight.
type openCall struct {
	resend bool
	floor  string
	at     time.Time
}

// Allowances say which deviations from the rules follow from planned faults of links, processes and directories.
type Allowances struct {
	// NoticeDelayedUntil returns until when the courier may delay a notice that is due at the given time, because its
	// process was suspended or it could not reach the platform. It returns due if it may not delay it.
	NoticeDelayedUntil func(courier int, due time.Time) time.Time
	// AckMayBeLost reports whether between the two times the platform's acknowledgement of a notice may not have reached
	// the courier, which then sends the notice again.
	AckMayBeLost func(courier int, from, to time.Time) bool
	// CallEndMayBeLate reports whether between the two times the floor may not have been informed of the end of a call.
	CallEndMayBeLate func(courier int, floor string, from, to time.Time) bool
}

// NewRecorder returns an empty recorder. Times in histories are relative to start.
func NewRecorder(start time.Time) *Recorder {
	return &Recorder{
		start: start, messages: map[string]*Message{}, submissions: map[string]*submission{}, processRuns: map[int][]processRun{}, externalCourier: -1,
		AfterFunc: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
}

// addHistory adds a line with the time to the history of the message, up to maxHistoryEntries.
func (r *Recorder) addHistory(m *Message, at time.Time, format string, args ...any) {
	if len(m.history) < maxHistoryEntries {
		m.history = append(m.history, fmt.Sprintf("%8.3f  ", at.Sub(r.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// addViolation records a violation, with the history of the message unless m is nil.
func (r *Recorder) addViolation(rule string, m *Message, format string, args ...any) {
	v := Violation{Rule: rule, Text: fmt.Sprintf(format, args...)}
	if m != nil {
		v.Text = fmt.Sprintf("%s %s for %d: %s", m.Class, m.Key, m.Dest, v.Text)
		v.History = slices.Clone(m.history)
	}
	r.violations = append(r.violations, v)
}

// Submit records that a client is about to submit a message with the id.
func (r *Recorder) Submit(m *Message, id string, courier int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages[m.Key] = m
	sub := &submission{id: id, msg: m, courier: courier}
	r.submissions[id] = sub
	m.submissions = append(m.submissions, sub)
	r.counts.Submissions++
	r.addHistory(m, at, "submitted to n%d as %s", courier, id)
}

// ClientAnswered records the status code that the client received, or 0 if it received none before its timeout.
func (r *Recorder) ClientAnswered(id string, code int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := r.submissions[id]
	r.addHistory(sub.msg, at, "%s answered %d", id, code)
	if code == 200 || code == 202 {
		sub.acceptedAt = at
		r.counts.Taken++
		return
	}
	if code == 0 {
		r.counts.Unanswered++
	} else {
		r.counts.TurnedAway++
	}
	sub.clientLeft = true
}

// BeginCall records that an endpoint has completely received a call with the message. It returns the number of the
// call and the status with which to answer for the message: 0 if it may take effect, 410 if its client has left, or
// 400 if no client submitted it or it belongs to another channel.
func (r *Recorder) BeginCall(id string, dest int64, endpoint, floor string, courier int, at time.Time) (call, code int, resend bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls++
	call = r.Calls
	sub := r.submissions[id]
	if sub == nil && courier == r.externalCourier {
		sub = &submission{id: id, courier: courier, acceptedAt: at, msg: &Message{Key: id, Dest: dest, CreatedAt: at, Deadline: at.Add(time.Hour)}}
		r.submissions[id], r.messages[id] = sub, sub.msg
	}
	if sub == nil {
		r.addViolation("unknown message", nil, "%s was sent to %s by n%d, and no client submitted it", id, endpoint, courier)
		return call, 400, false
	}
	m := sub.msg
	resend = !m.FailedAt.IsZero()
	if resend {
		m.Resends++
		r.counts.Resends++
	}
	r.addHistory(m, at, "n%d calls %s on %s%s", courier, endpoint, floor, map[bool]string{true: " (resend)"}[resend])
	if m.Dest != dest {
		r.addViolation("own channel", m, "sent to channel %d", dest)
		return call, 400, resend
	}
	if sub.courier != courier {
		r.addViolation("own messages", m, "sent by n%d, which does not have it", courier)
	}
	for earlier, o := range sub.openCalls {
		if r.allowances.CallEndMayBeLate != nil && r.allowances.CallEndMayBeLate(courier, o.floor, o.at, at) {
			continue
		}
		// The connection of the earlier call may have ended already without EndCall having been called yet.
		r.AfterFunc(callEndTolerance, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if _, open := sub.openCalls[earlier]; open {
				r.addViolation("no second copy", m, "sent while a call with it is out")
			}
		})
	}
	if sub.openCalls == nil {
		sub.openCalls = map[int]openCall{}
	}
	sub.openCalls[call] = openCall{resend, floor, at}
	if sub.clientLeft {
		return call, 410, resend
	}
	return call, 0, resend
}

// EndCall records that the response to a call was written, or with code 0 that its connection has ended.
func (r *Recorder) EndCall(id string, call, code int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := r.submissions[id]
	if sub == nil {
		return
	}
	resend := sub.openCalls[call].resend
	delete(sub.openCalls, call)
	r.addHistory(sub.msg, at, "that call ends with %d", code)
	if code == 429 || code == 503 {
		r.CallsRejected++
	}
	if code != 200 {
		return
	}
	m := sub.msg
	if m.DeliveredAt.IsZero() {
		m.DeliveredAt = at
		r.counts.Delivered++
		if resend {
			m.ResendDeliveredAt = at
		}
	}
	if sub.endedAt.IsZero() {
		sub.endedAt = at
	}
}

// RecordEffect records that the message has taken effect, or was dropped as a duplicate.
func (r *Recorder) RecordEffect(id, endpoint, floor string, dropped bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := r.submissions[id]
	if sub == nil {
		return
	}
	m := sub.msg
	if dropped {
		r.addHistory(m, at, "%s drops it as a duplicate", endpoint)
		return
	}
	m.Effects++
	r.counts.Effects++
	if m.Effects == 1 {
		m.FirstEffectAt = at
	}
	r.addHistory(m, at, "takes effect at %s on %s (%d)", endpoint, floor, m.Effects)
	if m.Effects > 1 && m.EffectLimit != Unlimited {
		r.addViolation("allowance", m, "took effect %d times", m.Effects)
	}
}

// RecordNotice records a notice from a courier to the platform about the final result of a message. It reports whether
// the submission had no final result before.
func (r *Recorder) RecordNotice(id, status string, courier int, at time.Time) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := r.submissions[id]
	if sub == nil {
		r.addViolation("unknown message", nil, "n%d told %s of %s, which no client submitted", courier, status, id)
		return false
	}
	m := sub.msg
	r.addHistory(m, at, "n%d tells: %s", courier, status)
	// A notice after a delivery breaks no rule: the courier may have given the call up, or have been killed, before the
	// response reached it.
	switch {
	case sub.noticeStatus == "":
		sub.noticeStatus, sub.noticeAt = status, at
	case sub.noticeStatus != status:
		r.addViolation("one final answer", m, "told %s after %s", status, sub.noticeStatus)
	case !r.restartedBetween(courier, sub.noticeAt, at) && (r.allowances.AckMayBeLost == nil || !r.allowances.AckMayBeLost(courier, sub.noticeAt, at)):
		r.addViolation("one final answer", m, "told %s twice without a restart", status)
	}
	if first = sub.endedAt.IsZero(); first {
		sub.endedAt = at
		if status == "deferred" {
			r.counts.Deferred++
		} else {
			r.counts.Undeliverable++
		}
	}
	if status == "undeliverable" && m.FailedAt.IsZero() && m.DeliveredAt.IsZero() {
		m.FailedAt = at
	}
	return first
}

// AllowExternalMessages allows clients outside the emulator to submit messages to the courier.
func (r *Recorder) AllowExternalMessages(courier int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.externalCourier = courier
}

// MessageOf returns the message that was submitted with the id, and the number of its submissions.
func (r *Recorder) MessageOf(id string) (m *Message, submissions int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sub := r.submissions[id]; sub != nil {
		return sub.msg, len(sub.msg.submissions)
	}
	return nil, 0
}

// restartedBetween reports whether the courier was restarted between the two times. A courier that was killed before
// it read the acknowledgement of a notice sends the notice again.
func (r *Recorder) restartedBetween(courier int, from, to time.Time) bool {
	for _, run := range r.processRuns[courier] {
		if run.readyAt.After(from) && run.readyAt.Before(to) {
			return true
		}
	}
	return false
}

// CourierReady records that a process of the courier has become ready.
func (r *Recorder) CourierReady(courier int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processRuns[courier] = append(r.processRuns[courier], processRun{readyAt: at})
}

// SetAllowances sets the allowances that the checks apply from now on.
func (r *Recorder) SetAllowances(allowances Allowances) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowances = allowances
}

// StateLost records that the courier's state directory was lost, and with it the messages that it had accepted.
func (r *Recorder) StateLost(courier int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sub := range r.submissions {
		if sub.courier == courier && sub.endedAt.IsZero() {
			sub.stateLostAt = at
		}
	}
}

// StateSwapped records that the state directories of two couriers were exchanged, and with them all their messages,
// including those whose final result a courier does not know yet.
func (r *Recorder) StateSwapped(a, b int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sub := range r.submissions {
		switch {
		case sub.courier != a && sub.courier != b:
			continue
		case sub.courier == a:
			sub.courier = b
		default:
			sub.courier = a
		}
		r.addHistory(sub.msg, at, "%s now belongs to n%d", sub.id, sub.courier)
	}
}

// CountListRequest counts a courier's request for the list or a watch.
func (r *Recorder) CountListRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Lists++
}

// CourierEnded records that the process of the courier has ended or was asked to end.
func (r *Recorder) CourierEnded(courier int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.processRuns[courier]); n > 0 && r.processRuns[courier][n-1].endedAt.IsZero() {
		r.processRuns[courier][n-1].endedAt = at
	}
}

// AddViolations adds the violations of a call; id is that of the call's first message.
func (r *Recorder) AddViolations(violations []model.Violation, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range violations {
		var m *Message
		if sub := r.submissions[id]; sub != nil && v.OfMessage {
			m = sub.msg
		}
		r.addViolation(v.Rule, m, "%s", v.Text)
	}
}

// Check checks every message at the end of a run and returns all violations.
func (r *Recorder) Check(now time.Time) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.sortedMessages() {
		for _, sub := range m.submissions {
			if sub.acceptedAt.IsZero() {
				continue
			}
			due := r.deadlineAfterDowntime(sub.courier, m.Deadline.Add(noticeTolerance))
			if r.allowances.NoticeDelayedUntil != nil {
				if delayedUntil := r.allowances.NoticeDelayedUntil(sub.courier, due); delayedUntil.After(due) {
					due = r.deadlineAfterDowntime(sub.courier, delayedUntil)
				}
			}
			switch {
			case sub.endedAt.IsZero() && sub.acceptedAt.Before(sub.stateLostAt):
			case sub.endedAt.IsZero() && now.After(due):
				r.addViolation("one final answer", m, "%s has none, and it was due at %.3f", sub.id, due.Sub(r.start).Seconds())
			case sub.endedAt.After(due):
				r.addViolation("on time", m, "%s had its final result %.3f s after it was due", sub.id, sub.endedAt.Sub(due).Seconds())
			}
		}
	}
	return slices.Clone(r.violations)
}

// deadlineAfterDowntime returns due, or if the courier was down at that time or not ready for restartTolerance, the
// time at which it had been ready for that long.
func (r *Recorder) deadlineAfterDowntime(courier int, due time.Time) time.Time {
	runs := r.processRuns[courier]
	for i, run := range runs {
		down, up := run.endedAt, time.Time{}
		if down.IsZero() {
			continue
		}
		if i+1 < len(runs) {
			up = runs[i+1].readyAt
		} else { // it was not started again
			return due.Add(24 * time.Hour)
		}
		if tolerated := up.Add(restartTolerance); due.After(down) && due.Before(tolerated) {
			due = tolerated
		}
	}
	return due
}

// Messages calls f for each message, in order of creation.
func (r *Recorder) Messages(f func(Message)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.sortedMessages() {
		f(*m)
	}
}

// sortedMessages returns all messages in order of creation.
func (r *Recorder) sortedMessages() []*Message {
	all := slices.Collect(maps.Values(r.messages))
	slices.SortFunc(all, func(a, b *Message) int { return cmp.Or(a.CreatedAt.Compare(b.CreatedAt), cmp.Compare(a.Key, b.Key)) })
	return all
}

// Accepted reports whether a courier accepted the message.
func (m Message) Accepted() bool {
	return slices.ContainsFunc(m.submissions, func(sub *submission) bool { return !sub.acceptedAt.IsZero() })
}

// IDs returns the ids of the message's submissions.
func (m Message) IDs() []string {
	ids := make([]string, len(m.submissions))
	for i, sub := range m.submissions {
		ids[i] = sub.id
	}
	return ids
}

// History returns the recorded events of the message, one line each, at most maxHistoryEntries.
func (m Message) History() []string { return slices.Clone(m.history) }
