package lease

import (
	"slices"
	"time"
)

// least fraction of a part worth a question
const crumb = 1e-6

// Step takes in what has happened and returns what to send. Jitter in [0, 1) spreads the waits of members apart.
func (b *Book) Step(now time.Duration, jitter float64, events []Event) []Send {
	b.stepped = max(b.stepped, now)
	b.reckon(now)
	var out []Send
	relist := false
	for _, e := range events {
		if d := e.Demand; d != nil {
			if w := b.wholes[d.Whole]; w != nil {
				w.want = max(0, d.Want)
			}
		}
		m := e.Message
		if m == nil || m.From == b.cfg.Self {
			continue
		}
		if m.State != nil {
			relist = b.heard(m) || relist
			continue
		}
		p := b.peers[m.From]
		// Only for this life, and not from an earlier life of the sender's.
		if p == nil || m.To != b.cfg.Self || m.ToEpoch != b.epoch || m.FromEpoch < p.epoch {
			continue
		}
		p.epoch = m.FromEpoch
		switch {
		case m.Ask != nil:
			out = append(out, b.asked(now, m))
		case m.Grant != nil:
			b.granted(now, jitter, m)
		case m.Return != nil:
			if w := b.wholes[m.Return.Whole]; w != nil {
				key := Key{m.From, m.FromEpoch, m.Return.Loan}
				w.lent = slices.DeleteFunc(w.lent, func(l lent) bool { return l.key == key })
			}
		}
	}
	if relist {
		b.relist(now)
	}
	for _, w := range b.order {
		w.lent = slices.DeleteFunc(w.lent, func(l lent) bool { return now >= l.end })
		w.loans = slices.DeleteFunc(w.loans, func(l loan) bool { return now >= l.end })
		out = b.seek(out, now, jitter, w)
	}
	if b.changed || now >= b.tellAt {
		out = append(out, Send{Message{From: b.cfg.Self, FromEpoch: b.epoch, State: b.state(now)}, b.changed})
		b.changed = false
		b.tellAt = now + time.Duration(float64(b.cfg.Tell)*(0.75+jitter/2))
	}
	return out
}

// heard takes another's state, and tells whether lists or sizes may count anew. Versions only grow, so a copy that comes
// late changes nothing.
func (b *Book) heard(m *Message) bool {
	p := b.peers[m.From]
	if p == nil || m.FromEpoch < p.epoch {
		return false
	}
	p.epoch = m.FromEpoch
	changed := m.State.List > p.list
	p.list = max(p.list, m.State.List)
	for _, h := range m.State.Wholes {
		w := b.wholes[h.Whole]
		if w == nil {
			continue
		}
		t := w.peers[m.From]
		if h.Generation > t.generation {
			t.generation = h.Generation
			if !changed {
				b.resize(w)
			}
		}
		t.idle = min(max(0, h.Idle), 1)
		w.peers[m.From] = t
	}
	return changed
}

func (b *Book) state(now time.Duration) *State {
	s := &State{List: b.list, Wholes: make([]Held, 0, len(b.order))}
	for _, w := range b.order {
		s.Wholes = append(s.Wholes, Held{w.ID, w.Generation, b.idle(now, w)})
	}
	return s
}

// idle is the fraction of the own part that may be lent: neither out, nor kept, nor wanted, nor used in this window.
func (b *Book) idle(now time.Duration, w *whole) float64 {
	part := b.part(now, w, b.cfg.Self) * w.least
	if part <= 0 || now < b.free || now < w.from {
		return 0
	}
	need := w.want
	if w.Kind == Count {
		w.turn(now, b.drifted(w.Window))
		need = max(need, w.spent())
	}
	return max(0, 1-w.lentNow(now)-max(b.cfg.Keep, need/part))
}

// asked decides on a question. A second copy gets the same answer while the loan runs.
func (b *Book) asked(now time.Duration, m *Message) Send {
	a := m.Ask
	g := &Grant{Whole: a.Whole, Number: a.Number, Loan: a.Loan, For: min(a.For, b.cfg.MaxLoan)}
	send := Send{Message{From: b.cfg.Self, FromEpoch: b.epoch, To: m.From, ToEpoch: m.FromEpoch, Grant: g}, true}
	w := b.wholes[a.Whole]
	if w == nil || g.For <= 0 || !(a.Fraction > 0) {
		return send
	}
	end := now + b.margin(g.For)
	if w.Kind == Count && !b.broken.noWindow { // what the borrower used last still counts for a window
		end += b.drifted(w.Window)
	}
	key := Key{m.From, m.FromEpoch, a.Loan}
	for i := range w.lent {
		l := &w.lent[i]
		if l.key != key {
			continue
		}
		// The margin may hold the loan here when the borrower's has long ended; the answer is then worth nothing to it,
		// as it closes the loan before. A renewal is refused when the part is wanted here.
		if a.Number != a.Loan && (now >= l.end || b.crowded(now, w)) {
			return send
		}
		if a.Number > l.lastAsk {
			l.lastAsk, l.end = a.Number, max(l.end, end)
		}
		g.Fraction = l.fraction
		return send
	}
	if a.Number != a.Loan {
		return send
	}
	f := min(a.Fraction, b.idle(now, w))
	if f < crumb {
		return send
	}
	g.Fraction = f
	w.lent = append(w.lent, lent{key: key, lastAsk: a.Number, fraction: f, end: end})
	return send
}

// crowded tells that the own need no longer fits beside what is lent.
func (b *Book) crowded(now time.Duration, w *whole) bool {
	part := b.part(now, w, b.cfg.Self) * w.least
	return w.want > 0 && w.want > part*(1-w.lentNow(now))
}

// granted takes the answer to an open question, once.
func (b *Book) granted(now time.Duration, jitter float64, m *Message) {
	g := m.Grant
	w := b.wholes[g.Whole]
	if w == nil {
		return
	}
	i := slices.IndexFunc(w.open, func(q question) bool { return q.number == g.Number && q.to == m.From && q.epoch == m.FromEpoch })
	if i < 0 {
		return
	}
	q := w.open[i]
	if !b.broken.twice {
		w.open = slices.Delete(w.open, i, i+1)
	}
	end := q.asked + min(q.span, g.For)
	if b.broken.fromReceipt {
		end = now + g.For
	}
	j := slices.IndexFunc(w.loans, func(l loan) bool { return l.from == q.to && l.number == q.loan })
	if q.loan != q.number { // a renewal
		if j >= 0 && g.Fraction > 0 && now < w.loans[j].end {
			w.loans[j].end, w.loans[j].asked = max(w.loans[j].end, end), q.asked
			w.loans[j].renewing = false
		}
		return
	}
	if !(g.Fraction > 0) || now >= end {
		t := w.peers[q.to]
		t.idle = 0 // until it is heard anew
		w.peers[q.to] = t
		w.askAfter = b.later(now, jitter)
		return
	}
	w.loans = append(w.loans, loan{
		from: q.to, epoch: q.epoch, number: q.number, fraction: min(g.Fraction, q.fraction),
		asked: q.asked, end: end,
	})
}

func (b *Book) later(now time.Duration, jitter float64) time.Duration {
	return now + time.Duration(float64(b.cfg.Backoff)*(0.5+jitter))
}

// seek renews, returns and asks for one whole.
func (b *Book) seek(out []Send, now time.Duration, jitter float64, w *whole) []Send {
	for i := 0; i < len(w.open); {
		if q := w.open[i]; now >= q.asked+min(b.cfg.Patience, q.span) {
			// Given up, so a late grant finds nothing. For a new loan the lender is told that it is not taken.
			w.open = slices.Delete(w.open, i, i+1)
			w.askAfter = b.later(now, jitter)
			if q.loan == q.number {
				out = append(out, b.giveBack(w, q.to, q.epoch, q.loan))
				if t, ok := w.peers[q.to]; ok {
					t.idle = 0
					w.peers[q.to] = t
				}
			} else if j := slices.IndexFunc(w.loans, func(l loan) bool { return l.from == q.to && l.number == q.loan }); j >= 0 {
				w.loans[j].renewing = false
			}
			continue
		}
		i++
	}
	own := max(0, 1-w.lentNow(now)) * b.part(now, w, b.cfg.Self) * w.least
	if now < b.free || now < w.from {
		own = 0
	}
	have, spent := own, 0.0
	if w.Kind == Count {
		w.turn(now, b.drifted(w.Window))
		spent = w.spent()
	}
	for _, l := range w.loans {
		have += l.fraction * b.part(now, w, l.from) * w.least
	}
	for i := 0; i < len(w.loans); {
		l := &w.loans[i]
		worth := l.fraction * b.part(now, w, l.from) * w.least
		// With what is left the member has what it wants, and in a count what it used lately.
		if have-worth >= max(w.want, spent) && w.want < have*0.9 {
			have -= worth
			out = append(out, b.giveBack(w, l.from, l.epoch, l.number))
			number, from := l.number, l.from
			w.open = slices.DeleteFunc(w.open, func(q question) bool { return q.loan == number && q.to == from })
			w.loans = slices.Delete(w.loans, i, i+1)
			continue
		}
		if !l.renewing && now-l.asked >= b.cfg.MaxLoan/2 {
			l.renewing = true
			out = append(out, b.ask(now, w, l.from, l.epoch, l.number, l.fraction))
		}
		i++
	}
	asks := 0
	for _, q := range w.open {
		if q.loan == q.number {
			asks++
			have += q.fraction * b.part(now, w, q.to) * w.least
		}
	}
	for ; asks < b.cfg.Asks && now >= w.askAfter && w.want > have && w.least > 0; asks++ {
		best, most := "", crumb
		for name, t := range w.peers {
			p := b.peers[name]
			// The most idle; of equals the one that comes next after the own name, so members begin apart.
			if p == nil || b.part(now, w, name) == 0 || p.epoch == 0 || t.idle < most || t.idle == most && !b.nearer(name, best) {
				continue
			}
			best, most = name, t.idle
		}
		if best == "" {
			w.askAfter = b.later(now, jitter)
			break
		}
		part := b.part(now, w, best) * w.least
		f := min(most, (w.want-have)/part)
		t := w.peers[best]
		t.idle = max(0, t.idle-f)
		w.peers[best] = t
		have += f * part
		out = append(out, b.ask(now, w, best, b.peers[best].epoch, 0, f))
	}
	return out
}

// nearer orders names on a ring that begins behind the own one.
func (b *Book) nearer(x, y string) bool {
	if y == "" {
		return true
	}
	if ax, ay := x > b.cfg.Self, y > b.cfg.Self; ax != ay {
		return ax
	}
	return x < y
}

func (b *Book) ask(now time.Duration, w *whole, to string, epoch, number uint64, fraction float64) Send {
	b.number++
	q := question{to: to, epoch: epoch, number: b.number, loan: number, fraction: fraction, asked: now, span: b.cfg.MaxLoan}
	if number == 0 {
		q.loan = q.number
	}
	w.open = append(w.open, q)
	return Send{Message: Message{
		From: b.cfg.Self, FromEpoch: b.epoch, To: to, ToEpoch: epoch,
		Ask: &Ask{Whole: w.ID, Number: q.number, Loan: q.loan, Fraction: fraction, For: q.span},
	}}
}

func (b *Book) giveBack(w *whole, to string, epoch, number uint64) Send {
	return Send{Message: Message{From: b.cfg.Self, FromEpoch: b.epoch, To: to, ToEpoch: epoch, Return: &Return{Whole: w.ID, Loan: number}}}
}
