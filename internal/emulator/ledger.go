// Package emulator is this project's own model of the systems that couriers serve: discovery,
// channels, clients and the courier processes themselves, on loopback addresses. Its ledger counts
// what takes effect on the receiving side, apart from what couriers say, and checks the rules by it.
//
// Where links, processes or folders have faults, the rules excuse what follows from the plan drawn ahead, and nothing
// else (TestExcuses, TestForgotten, TestSwapped); effects beyond what a class allows are never excused.
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

// Leeway of the rules.
const (
	grace         = 300 * time.Millisecond
	afterRestart  = 1500 * time.Millisecond
	wordOfEnd     = 30 * time.Millisecond
	historyAtMost = 60
)

// Message is one message as its client means it, over all its submissions.
type Message struct {
	Key, Class, Hotel string
	Dest              int64
	Allowed           EffectLimit
	Worth             float64
	Born, Until       time.Time
	Effects           int
	FirstEffect       time.Time
	Delivered         time.Time // an answer of 200 was written to a courier
	FailedAt          time.Time // the platform heard "undeliverable"
	Resent            int       // calls after that
	LateDelivered     time.Time // by a resend
	history           []string
	submissions       []*submission
}

// submission is one sending of a message, under an id of its own.
type submission struct {
	id        string
	msg       *Message
	courier   int
	taken     time.Time // its client read 202
	withdrawn bool      // its client left before that
	over      time.Time // delivered, or the platform was told
	status    string    // that the platform was told first
	toldAt    time.Time
	open      map[int]out // calls with it that are out, by number
	forgotten time.Time   // its courier's folder was lost then
}

// Violation is a broken rule, with all that is known of the message.
type Violation struct {
	Rule, Text string
	History    []string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s\n    %s", v.Rule, v.Text, strings.Join(v.History, "\n    "))
}

// Ledger has every message, from the side of clients, channels and platform. It is safe for use by
// many goroutines.
type Ledger struct {
	mu         sync.Mutex
	start      time.Time
	messages   map[string]*Message
	ids        map[string]*submission
	lives      map[int][]life
	violations []Violation
	excuses    Excuses
	guests     int // the courier whose messages others may submit, -1 for none
	Calls      int // on the receiving side, messages counted one by one
	Refused    int
	counts     Counts
	// Later calls f after d; virtual time has its own.
	Later func(d time.Duration, f func())
}

// Counts are the ledger's figures so far.
type Counts struct {
	Submissions                           int `json:"HandIns"` // by clients; results that are kept have that key
	Taken, TurnedAway, Unanswered         int // of these
	Delivered, Undeliverable, Deferred    int // first ends
	Calls, CallsRefused, Effects, Resends int // on the receiving side
	Lists                                 int // asked of discovery: whole ones and watches
}

// Counts reads the figures so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Calls, c.CallsRefused = l.Calls, l.Refused
	return c
}

// life is the time of one courier's process.
type life struct{ ready, end time.Time }

type out struct {
	resend bool
	floor  string
	at     time.Time
}

// Excuses say what a courier can't be blamed for, in a world whose links and folders have faults.
type Excuses struct {
	// Mute is until when the courier can't be expected to have told an end that was due then: its process was stopped,
	// or word from it did not reach the platform. Zero for no excuse.
	Mute func(courier int, due time.Time) time.Time
	// Unheard says that between the two times the platform's word that it has an end may not have come to the courier,
	// which then tells it again.
	Unheard func(courier int, from, to time.Time) bool
	// Unseen says that between the two times the end of a call may not have come to the floor.
	Unseen func(courier int, floor string, from, to time.Time) bool
}

// NewLedger returns an empty one.
func NewLedger(start time.Time) *Ledger {
	return &Ledger{
		start: start, messages: map[string]*Message{}, ids: map[string]*submission{}, lives: map[int][]life{}, guests: -1,
		Later: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
}

func (l *Ledger) note(m *Message, at time.Time, format string, args ...any) {
	if len(m.history) < historyAtMost {
		m.history = append(m.history, fmt.Sprintf("%8.3f  ", at.Sub(l.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (l *Ledger) broken(rule string, m *Message, format string, args ...any) {
	v := Violation{Rule: rule, Text: fmt.Sprintf(format, args...)}
	if m != nil {
		v.Text = fmt.Sprintf("%s %s for %d: %s", m.Class, m.Key, m.Dest, v.Text)
		v.History = slices.Clone(m.history)
	}
	l.violations = append(l.violations, v)
}

// Submit says that a client is about to submit a message under the id.
func (l *Ledger) Submit(m *Message, id string, courier int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages[m.Key] = m
	h := &submission{id: id, msg: m, courier: courier}
	l.ids[id] = h
	m.submissions = append(m.submissions, h)
	l.counts.Submissions++
	l.note(m, at, "submitted to n%d as %s", courier, id)
}

// Answered says what the client heard: a code, or 0 for none in its time.
func (l *Ledger) Answered(id string, code int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.ids[id]
	l.note(h.msg, at, "%s answered %d", id, code)
	if code == 200 || code == 202 {
		h.taken = at
		l.counts.Taken++
		return
	}
	if code == 0 {
		l.counts.Unanswered++
	} else {
		l.counts.TurnedAway++
	}
	h.withdrawn = true
}

// Begin says that a channel's endpoint has a whole call with the message, and how to answer it:
// ok false is an answer of 410, since its client has left, or 400, since nobody handed it in.
func (l *Ledger) Begin(id string, dest int64, endpoint, floor string, courier int, at time.Time) (call, code int, resend bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Calls++
	call = l.Calls
	h := l.ids[id]
	if h == nil && courier == l.guests {
		h = &submission{id: id, courier: courier, taken: at, msg: &Message{Key: id, Dest: dest, Born: at, Until: at.Add(time.Hour)}}
		l.ids[id], l.messages[id] = h, h.msg
	}
	if h == nil {
		l.broken("unknown message", nil, "%s was sent to %s by n%d, and nobody handed it in", id, endpoint, courier)
		return call, 400, false
	}
	m := h.msg
	resend = !m.FailedAt.IsZero()
	if resend {
		m.Resent++
		l.counts.Resends++
	}
	l.note(m, at, "n%d calls %s on %s%s", courier, endpoint, floor, map[bool]string{true: " (resend)"}[resend])
	if m.Dest != dest {
		l.broken("own channel", m, "sent to channel %d", dest)
		return call, 400, resend
	}
	if h.courier != courier {
		l.broken("own messages", m, "sent by n%d, which does not have it", courier)
	}
	for earlier, o := range h.open {
		if l.excuses.Unseen != nil && l.excuses.Unseen(courier, o.floor, o.at, at) {
			continue
		}
		// Its connection may have ended already, and word of that be on its way to the ledger.
		l.Later(wordOfEnd, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if _, out := h.open[earlier]; out {
				l.broken("no second copy", m, "sent while a call with it is out")
			}
		})
	}
	if h.open == nil {
		h.open = map[int]out{}
	}
	h.open[call] = out{resend, floor, at}
	if h.withdrawn {
		return call, 410, resend
	}
	return call, 0, resend
}

// End says that a call's answer is written, or that its connection has ended.
func (l *Ledger) End(id string, call, code int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.ids[id]
	if h == nil {
		return
	}
	resend := h.open[call].resend
	delete(h.open, call)
	l.note(h.msg, at, "that call ends with %d", code)
	if code == 429 || code == 503 {
		l.Refused++
	}
	if code != 200 {
		return
	}
	m := h.msg
	if m.Delivered.IsZero() {
		m.Delivered = at
		l.counts.Delivered++
		if resend {
			m.LateDelivered = at
		}
	}
	if h.over.IsZero() {
		h.over = at
	}
}

// Effect says that the message has taken effect, or was dropped as a repeat.
func (l *Ledger) Effect(id, endpoint, floor string, dropped bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.ids[id]
	if h == nil {
		return
	}
	m := h.msg
	if dropped {
		l.note(m, at, "%s drops it as a repeat", endpoint)
		return
	}
	m.Effects++
	l.counts.Effects++
	if m.Effects == 1 {
		m.FirstEffect = at
	}
	l.note(m, at, "takes effect at %s on %s (%d)", endpoint, floor, m.Effects)
	if m.Effects > 1 && m.Allowed != Unlimited {
		l.broken("allowance", m, "took effect %d times", m.Effects)
	}
}

// Notice is an ending that the platform was told. First says that the message had no end before.
func (l *Ledger) Notice(id, status string, courier int, at time.Time) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.ids[id]
	if h == nil {
		l.broken("unknown message", nil, "n%d told %s of %s, which nobody submitted", courier, status, id)
		return false
	}
	m := h.msg
	l.note(m, at, "n%d tells: %s", courier, status)
	// A notice after a delivery breaks nothing: the courier may have given the call up, or died,
	// before the answer reached it.
	switch {
	case h.status == "":
		h.status, h.toldAt = status, at
	case h.status != status:
		l.broken("one final answer", m, "told %s after %s", status, h.status)
	case !l.restarted(courier, h.toldAt, at) && (l.excuses.Unheard == nil || !l.excuses.Unheard(courier, h.toldAt, at)):
		l.broken("one final answer", m, "told %s twice in one life", status)
	}
	if first = h.over.IsZero(); first {
		h.over = at
		if status == "deferred" {
			l.counts.Deferred++
		} else {
			l.counts.Undeliverable++
		}
	}
	if status == "undeliverable" && m.FailedAt.IsZero() && m.Delivered.IsZero() {
		m.FailedAt = at
	}
	return first
}

// Guests lets others than the emulator's clients hand messages in to the courier.
func (l *Ledger) Guests(courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.guests = courier
}

// Of is the message that was submitted under the id, and by how many ids it was.
func (l *Ledger) Of(id string) (m *Message, submissions int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.ids[id]; h != nil {
		return h.msg, len(h.msg.submissions)
	}
	return nil, 0
}

// restarted says whether the courier's process changed between the two times: a notice whose answer
// it did not live to read comes again.
func (l *Ledger) restarted(courier int, from, to time.Time) bool {
	for _, x := range l.lives[courier] {
		if x.ready.After(from) && x.ready.Before(to) {
			return true
		}
	}
	return false
}

// Ready and Ended tell of a courier's process.
func (l *Ledger) Ready(courier int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lives[courier] = append(l.lives[courier], life{ready: at})
}

// Excuse has the ledger ask for excuses from now on.
func (l *Ledger) Excuse(e Excuses) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excuses = e
}

// Forgot says that the courier's folder was lost, and with it what it had taken on.
func (l *Ledger) Forgot(courier int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.ids {
		if h.courier == courier && h.over.IsZero() {
			h.forgotten = at
		}
	}
}

// Swapped says that the two couriers' folders were exchanged, and with them what each has yet to bring to its end, and
// what has come to one without its knowing.
func (l *Ledger) Swapped(a, b int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.ids {
		switch {
		case h.courier != a && h.courier != b:
			continue
		case h.courier == a:
			h.courier = b
		default:
			h.courier = a
		}
		l.note(h.msg, at, "%s is in n%d's hands now", h.id, h.courier)
	}
}

// Listed says that a courier asked discovery.
func (l *Ledger) Listed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Lists++
}

// Ended says that the process of the courier is gone, or was told to go.
func (l *Ledger) Ended(courier int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.lives[courier]); n > 0 && l.lives[courier][n-1].end.IsZero() {
		l.lives[courier][n-1].end = at
	}
}

// Broken takes in what a call broke; id is its first message's.
func (l *Ledger) Broken(all []model.Violation, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range all {
		var m *Message
		if h := l.ids[id]; h != nil && b.OfMessage {
			m = h.msg
		}
		l.broken(b.Rule, m, "%s", b.Text)
	}
}

// Check looks at every message at the end of a run and returns all broken rules.
func (l *Ledger) Check(now time.Time) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.sorted() {
		for _, h := range m.submissions {
			if h.taken.IsZero() {
				continue
			}
			due := l.excused(h.courier, m.Until.Add(grace))
			if l.excuses.Mute != nil {
				if back := l.excuses.Mute(h.courier, due); back.After(due) {
					due = l.excused(h.courier, back)
				}
			}
			switch {
			case h.over.IsZero() && h.taken.Before(h.forgotten):
			case h.over.IsZero() && now.After(due):
				l.broken("one final answer", m, "%s has none, and it was due at %.3f", h.id, due.Sub(l.start).Seconds())
			case h.over.After(due):
				l.broken("on time", m, "%s had its end %.3f s after it was due", h.id, h.over.Sub(due).Seconds())
			}
		}
	}
	return slices.Clone(l.violations)
}

// excused moves a time at which the courier was down to when it had been ready again for a while.
func (l *Ledger) excused(courier int, due time.Time) time.Time {
	lives := l.lives[courier]
	for i, x := range lives {
		down, up := x.end, time.Time{}
		if down.IsZero() {
			continue
		}
		if i+1 < len(lives) {
			up = lives[i+1].ready
		} else { // it did not come back
			return due.Add(24 * time.Hour)
		}
		if back := up.Add(afterRestart); due.After(down) && due.Before(back) {
			due = back
		}
	}
	return due
}

// Messages calls f for each message, in the order of their birth.
func (l *Ledger) Messages(f func(Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.sorted() {
		f(*m)
	}
}

// sorted are all messages in the order of their birth.
func (l *Ledger) sorted() []*Message {
	all := slices.Collect(maps.Values(l.messages))
	slices.SortFunc(all, func(a, b *Message) int { return cmp.Or(a.Born.Compare(b.Born), cmp.Compare(a.Key, b.Key)) })
	return all
}

// Taken says whether a courier took the message on.
func (m Message) Taken() bool {
	return slices.ContainsFunc(m.submissions, func(h *submission) bool { return !h.taken.IsZero() })
}

// IDs are the ids under which the message was submitted.
func (m Message) IDs() []string {
	ids := make([]string, len(m.submissions))
	for i, h := range m.submissions {
		ids[i] = h.id
	}
	return ids
}

// History is what is known of the message, a line for each event.
func (m Message) History() []string { return slices.Clone(m.history) }
