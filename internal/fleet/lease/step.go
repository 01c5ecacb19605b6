package lease

import (
	"slices"
	"time"
)

// minFraction is the smallest fraction of a share that is worth a request.
const minFraction = 1e-6

// Step handles events and returns the messages to send. Jitter in [0, 1) varies the waits of different members.
func (a *Allocator) Step(now time.Duration, jitter float64, events []Event) []Outgoing {
	a.lastStep = max(a.lastStep, now)
	a.recompute(now)
	var out []Outgoing
	sharesChanged := false
	for _, e := range events {
		if d := e.Demand; d != nil {
			if qs := a.quotas[d.Quota]; qs != nil {
				qs.demand = max(0, d.Want)
			}
		}
		m := e.Message
		if m == nil || m.From == a.cfg.Self {
			continue
		}
		if m.State != nil {
			sharesChanged = a.handleState(m) || sharesChanged
			continue
		}
		p := a.peers[m.From]
		// Accept only messages to this incarnation, and none from an earlier incarnation of the sender.
		if p == nil || m.To != a.cfg.Self || m.ToEpoch != a.epoch || m.FromEpoch < p.epoch {
			continue
		}
		p.epoch = m.FromEpoch
		switch {
		case m.Request != nil:
			out = append(out, a.handleRequest(now, m))
		case m.Grant != nil:
			a.handleGrant(now, jitter, m)
		case m.Return != nil:
			if qs := a.quotas[m.Return.Quota]; qs != nil {
				key := LoanKey{m.From, m.FromEpoch, m.Return.Loan}
				qs.lent = slices.DeleteFunc(qs.lent, func(l lentLoan) bool { return l.key == key })
			}
		}
	}
	if sharesChanged {
		a.recomputeShares(now)
	}
	for _, qs := range a.sortedQuotas {
		qs.lent = slices.DeleteFunc(qs.lent, func(l lentLoan) bool { return now >= l.end })
		qs.borrowed = slices.DeleteFunc(qs.borrowed, func(l borrowedLoan) bool { return now >= l.end })
		out = a.manageLoans(out, now, jitter, qs)
	}
	if a.stateChanged || now >= a.nextStateAt {
		out = append(out, Outgoing{Message{From: a.cfg.Self, FromEpoch: a.epoch, State: a.currentState(now)}, a.stateChanged})
		a.stateChanged = false
		a.nextStateAt = now + time.Duration(float64(a.cfg.StateInterval)*(0.75+jitter/2))
	}
	return out
}

// handleState records the state of another member and reports whether shares may have changed. Versions only increase,
// so a late copy changes nothing.
func (a *Allocator) handleState(m *Message) bool {
	p := a.peers[m.From]
	if p == nil || m.FromEpoch < p.epoch {
		return false
	}
	p.epoch = m.FromEpoch
	changed := m.State.List > p.list
	p.list = max(p.list, m.State.List)
	for _, status := range m.State.Quotas {
		qs := a.quotas[status.Quota]
		if qs == nil {
			continue
		}
		t := qs.peers[m.From]
		if status.Generation > t.generation {
			t.generation = status.Generation
			if !changed {
				a.recomputeMinSize(qs)
			}
		}
		t.idle = min(max(0, status.Idle), 1)
		qs.peers[m.From] = t
	}
	return changed
}

func (a *Allocator) currentState(now time.Duration) *State {
	s := &State{List: a.newestList, Quotas: make([]QuotaStatus, 0, len(a.sortedQuotas))}
	for _, qs := range a.sortedQuotas {
		s.Quotas = append(s.Quotas, QuotaStatus{qs.ID, qs.Generation, a.idleFraction(now, qs)})
	}
	return s
}

// idleFraction returns the fraction of the own share that may be lent: not lent, reserved, demanded, or used in the
// current window.
func (a *Allocator) idleFraction(now time.Duration, qs *quotaState) float64 {
	share := a.share(now, qs, a.cfg.Self) * qs.minSize
	if share <= 0 || now < a.usableFrom || now < qs.usableFrom {
		return 0
	}
	need := qs.demand
	if qs.Kind == Count {
		qs.advanceWindow(now, a.withDrift(qs.Window))
		need = max(need, qs.usedInWindow())
	}
	return max(0, 1-qs.lentFraction(now)-max(a.cfg.ReservedFraction, need/share))
}

// handleRequest decides on a request. A duplicate gets the same answer while the loan runs.
func (a *Allocator) handleRequest(now time.Duration, m *Message) Outgoing {
	req := m.Request
	g := &Grant{Quota: req.Quota, Number: req.Number, Loan: req.Loan, Duration: min(req.Duration, a.cfg.MaxLoanDuration)}
	reply := Outgoing{Message{From: a.cfg.Self, FromEpoch: a.epoch, To: m.From, ToEpoch: m.FromEpoch, Grant: g}, true}
	qs := a.quotas[req.Quota]
	if qs == nil || g.Duration <= 0 || !(req.Fraction > 0) {
		return reply
	}
	end := now + a.lenderDuration(g.Duration)
	if qs.Kind == Count && !a.disabled.noWindowWait { // the borrower's last uses count for one more window
		end += a.withDrift(qs.Window)
	}
	key := LoanKey{m.From, m.FromEpoch, req.Loan}
	for i := range qs.lent {
		l := &qs.lent[i]
		if l.key != key {
			continue
		}
		// Because of the margin, the loan may still run here after it ended for the borrower. The grant is then useless to
		// the borrower, which has already removed the loan. A renewal is refused if this member needs its share.
		if req.Number != req.Loan && (now >= l.end || a.overcommitted(now, qs)) {
			return reply
		}
		if req.Number > l.lastRequest {
			l.lastRequest, l.end = req.Number, max(l.end, end)
		}
		g.Fraction = l.fraction
		return reply
	}
	if req.Number != req.Loan {
		return reply
	}
	f := min(req.Fraction, a.idleFraction(now, qs))
	if f < minFraction {
		return reply
	}
	g.Fraction = f
	qs.lent = append(qs.lent, lentLoan{key: key, lastRequest: req.Number, fraction: f, end: end})
	return reply
}

// overcommitted reports whether the own demand exceeds the part of the own share that is not lent.
func (a *Allocator) overcommitted(now time.Duration, qs *quotaState) bool {
	share := a.share(now, qs, a.cfg.Self) * qs.minSize
	return qs.demand > 0 && qs.demand > share*(1-qs.lentFraction(now))
}

// handleGrant handles the answer to a pending request, once.
func (a *Allocator) handleGrant(now time.Duration, jitter float64, m *Message) {
	g := m.Grant
	qs := a.quotas[g.Quota]
	if qs == nil {
		return
	}
	i := slices.IndexFunc(qs.pending, func(q pendingRequest) bool { return q.number == g.Number && q.to == m.From && q.epoch == m.FromEpoch })
	if i < 0 {
		return
	}
	q := qs.pending[i]
	if !a.disabled.duplicateGrant {
		qs.pending = slices.Delete(qs.pending, i, i+1)
	}
	end := q.requestedAt + min(q.duration, g.Duration)
	if a.disabled.durationFromReceipt {
		end = now + g.Duration
	}
	j := slices.IndexFunc(qs.borrowed, func(l borrowedLoan) bool { return l.from == q.to && l.number == q.loan })
	if q.loan != q.number { // renewal
		if j >= 0 && g.Fraction > 0 && now < qs.borrowed[j].end {
			qs.borrowed[j].end, qs.borrowed[j].requestedAt = max(qs.borrowed[j].end, end), q.requestedAt
			qs.borrowed[j].renewing = false
		}
		return
	}
	if !(g.Fraction > 0) || now >= end {
		t := qs.peers[q.to]
		t.idle = 0 // unknown until its next State
		qs.peers[q.to] = t
		qs.requestAfter = a.retryTime(now, jitter)
		return
	}
	qs.borrowed = append(qs.borrowed, borrowedLoan{
		from: q.to, epoch: q.epoch, number: q.number, fraction: min(g.Fraction, q.fraction),
		requestedAt: q.requestedAt, end: end,
	})
}

func (a *Allocator) retryTime(now time.Duration, jitter float64) time.Duration {
	return now + time.Duration(float64(a.cfg.RetryBackoff)*(0.5+jitter))
}

// manageLoans times out requests and then returns, renews and requests loans of one quota.
func (a *Allocator) manageLoans(out []Outgoing, now time.Duration, jitter float64, qs *quotaState) []Outgoing {
	for i := 0; i < len(qs.pending); {
		if q := qs.pending[i]; now >= q.requestedAt+min(a.cfg.RequestTimeout, q.duration) {
			// Give up, so that a late grant finds no pending request. Tell the lender that a new loan is not accepted.
			qs.pending = slices.Delete(qs.pending, i, i+1)
			qs.requestAfter = a.retryTime(now, jitter)
			if q.loan == q.number {
				out = append(out, a.newReturn(qs, q.to, q.epoch, q.loan))
				if t, ok := qs.peers[q.to]; ok {
					t.idle = 0
					qs.peers[q.to] = t
				}
			} else if j := slices.IndexFunc(qs.borrowed, func(l borrowedLoan) bool { return l.from == q.to && l.number == q.loan }); j >= 0 {
				qs.borrowed[j].renewing = false
			}
			continue
		}
		i++
	}
	own := max(0, 1-qs.lentFraction(now)) * a.share(now, qs, a.cfg.Self) * qs.minSize
	if now < a.usableFrom || now < qs.usableFrom {
		own = 0
	}
	available, used := own, 0.0
	if qs.Kind == Count {
		qs.advanceWindow(now, a.withDrift(qs.Window))
		used = qs.usedInWindow()
	}
	for _, l := range qs.borrowed {
		available += l.fraction * a.share(now, qs, l.from) * qs.minSize
	}
	for i := 0; i < len(qs.borrowed); {
		l := &qs.borrowed[i]
		amount := l.fraction * a.share(now, qs, l.from) * qs.minSize
		// Without this loan the member still has what it demands and, for a Count, what it used recently.
		if available-amount >= max(qs.demand, used) && qs.demand < available*0.9 {
			available -= amount
			out = append(out, a.newReturn(qs, l.from, l.epoch, l.number))
			number, from := l.number, l.from
			qs.pending = slices.DeleteFunc(qs.pending, func(q pendingRequest) bool { return q.loan == number && q.to == from })
			qs.borrowed = slices.Delete(qs.borrowed, i, i+1)
			continue
		}
		if !l.renewing && now-l.requestedAt >= a.cfg.MaxLoanDuration/2 {
			l.renewing = true
			out = append(out, a.newRequest(now, qs, l.from, l.epoch, l.number, l.fraction))
		}
		i++
	}
	newLoans := 0
	for _, q := range qs.pending {
		if q.loan == q.number {
			newLoans++
			available += q.fraction * a.share(now, qs, q.to) * qs.minSize
		}
	}
	for ; newLoans < a.cfg.MaxPendingRequests && now >= qs.requestAfter && qs.demand > available && qs.minSize > 0; newLoans++ {
		lender, maxIdle := "", minFraction
		for name, t := range qs.peers {
			p := a.peers[name]
			// Prefer the highest idle fraction. Among equals take the next one after the own name, so that members
			// start with different lenders.
			if p == nil || a.share(now, qs, name) == 0 || p.epoch == 0 || t.idle < maxIdle || t.idle == maxIdle && !a.precedesOnRing(name, lender) {
				continue
			}
			lender, maxIdle = name, t.idle
		}
		if lender == "" {
			qs.requestAfter = a.retryTime(now, jitter)
			break
		}
		share := a.share(now, qs, lender) * qs.minSize
		f := min(maxIdle, (qs.demand-available)/share)
		t := qs.peers[lender]
		t.idle = max(0, t.idle-f)
		qs.peers[lender] = t
		available += f * share
		out = append(out, a.newRequest(now, qs, lender, a.peers[lender].epoch, 0, f))
	}
	return out
}

// precedesOnRing reports whether x comes before y in the order of names that starts after the own name and wraps around.
func (a *Allocator) precedesOnRing(x, y string) bool {
	if y == "" {
		return true
	}
	if ax, ay := x > a.cfg.Self, y > a.cfg.Self; ax != ay {
		return ax
	}
	return x < y
}

func (a *Allocator) newRequest(now time.Duration, qs *quotaState, to string, epoch, number uint64, fraction float64) Outgoing {
	a.lastNumber++
	q := pendingRequest{to: to, epoch: epoch, number: a.lastNumber, loan: number, fraction: fraction, requestedAt: now, duration: a.cfg.MaxLoanDuration}
	if number == 0 {
		q.loan = q.number
	}
	qs.pending = append(qs.pending, q)
	return Outgoing{Message: Message{
		From: a.cfg.Self, FromEpoch: a.epoch, To: to, ToEpoch: epoch,
		Request: &Request{Quota: qs.ID, Number: q.number, Loan: q.loan, Fraction: fraction, Duration: q.duration},
	}}
}

func (a *Allocator) newReturn(qs *quotaState, to string, epoch, number uint64) Outgoing {
	return Outgoing{Message: Message{From: a.cfg.Self, FromEpoch: a.epoch, To: to, ToEpoch: epoch, Return: &Return{Quota: qs.ID, Loan: number}}}
}
