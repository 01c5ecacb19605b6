package quota

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// ask is a request for credit, of a router or of a peer, until its answer.
type ask struct {
	router     Connection // nil: a peer's
	peer       string     // its address; "": a router's
	id         uint64     // the asker's number
	tenant     string
	amount     float64 // wanted
	waiting    float64 // the part of amount that is worth a request to a peer
	minimum    float64 // less than this is of no use
	rank       int
	deadline   time.Time // of the answer
	stage      askStage
	stageUntil time.Time // end of the wait for a record or a peer
	record     uint64    // sequence of the record that is awaited
	own        float64   // issued here
	ownCell    int64     // cell in which it was issued
	gathered   []*protocol.PeerCreditGrant
	retryAfter time.Duration

	peerRequest uint64   // number of the request to a peer that is awaited
	awaitedPeer string   // its address
	asked       []string // addresses of all peers asked so far
}

// askStage is what an ask waits for.
type askStage uint8

const (
	newAsk         askStage = iota
	awaitingRecord          // until a record allows what this holder's shares have left
	awaitingPeer            // until a peer answers
	answered
)

// lacking is what the requests that wait lack still.
func (a *ask) lacking() float64 { return a.waiting - a.own - a.fromPeers() }

// fromPeers is what peers have issued for the ask.
func (a *ask) fromPeers() float64 {
	sum := 0.0
	for _, grant := range a.gathered {
		sum += grant.Amount
	}
	return sum
}

// routerAsked takes in a router's request for credit.
func (h *Holder) routerAsked(now time.Time, in RouterAsked) {
	request := in.Request
	if !validAmount(request.Amount) || !validAmount(request.Waiting) {
		return
	}
	h.begin(now, &ask{
		router: in.Connection, id: request.ID, tenant: request.Tenant, amount: math.Max(request.Amount, request.Waiting),
		waiting: request.Waiting, minimum: math.Min(request.Minimum, request.Waiting), rank: request.Rank,
		deadline: now.Add(askTimeout),
	})
}

// peerAsked takes in a peer's request for what its own shares lack. It is answered from this holder's shares alone.
func (h *Holder) peerAsked(now time.Time, request *protocol.PeerCreditRequest) {
	if !validAmount(request.Amount) || request.Origin.Address == h.config.Address {
		return
	}
	h.begin(now, &ask{
		peer: request.Origin.Address, id: request.ID, tenant: request.Tenant, amount: request.Amount,
		waiting: request.Amount, rank: request.Rank, deadline: now.Add(peerTimeout),
	})
}

func validAmount(amount float64) bool {
	return amount >= 0 && !math.IsInf(amount, 0) && !math.IsNaN(amount)
}

// begin decides what can be decided of an ask at once.
func (h *Holder) begin(now time.Time, a *ask) {
	limit, limited := h.limits[a.tenant]
	if !limited {
		if h.configured {
			a.own = a.amount // without a limit nothing is counted
		}
		h.answer(now, a)
		return
	}
	t := h.tenant(now, a.tenant)
	part := h.part(now, limit)
	left := math.Max(0, part-t.issued.sum-t.denial.left(now, a.rank, part))
	if a.waiting < a.amount { // for expected requests, only while there is plenty
		a.amount = math.Max(a.waiting, math.Min(a.amount, left*aheadFraction))
	}
	t.largest = math.Max(t.largest, a.amount)
	if wanted := math.Min(a.amount, left); wanted > t.record.available() && !h.stopping {
		t.record.awaited += wanted
		h.recorder.awaited = true
		a.record = h.recorder.sequence + 1 // one that is being written does not have this need
		h.await(a, awaitingRecord, now.Add(recordTimeout))
		return
	}
	h.issueOwn(now, a, t, left)
	h.proceed(now, a)
}

// issueOwn issues from this holder's shares what an ask wants, as far as shares and record allow.
func (h *Holder) issueOwn(now time.Time, a *ask, t *tenant, left float64) {
	amount := math.Min(math.Min(a.amount, left), t.record.available())
	if amount <= 0 {
		return
	}
	t.issued.add(amount)
	t.record.spend(amount)
	a.own, a.ownCell = amount, t.issued.newest
}

// proceed answers an ask, or asks the next peer for what it lacks.
func (h *Holder) proceed(now time.Time, a *ask) {
	if a.router == nil || a.lacking() <= 0 || !now.Before(a.deadline) {
		h.answer(now, a)
		return
	}
	t := h.tenant(now, a.tenant)
	peer, found := h.nextPeer(now, t, a)
	if !found {
		h.answer(now, a)
		return
	}
	h.lastRequest++
	a.peerRequest, a.awaitedPeer = h.lastRequest, peer
	a.asked = append(a.asked, peer)
	h.send(peer, &protocol.PeerCreditRequest{
		Origin: h.origin(now), ID: a.peerRequest, Tenant: a.tenant, Amount: a.lacking(), Rank: a.rank,
	})
	h.await(a, awaitingPeer, now.Add(peerTimeout))
}

// nextPeer returns the address of the peer to be asked next for an ask: those of the own zone first, by turns.
func (h *Holder) nextPeer(now time.Time, t *tenant, a *ask) (address string, found bool) {
	t.askedOf++
	for _, group := range [][]Peer{h.nearPeers, h.farPeers} {
		for i := range group {
			peer := group[(i+t.askedOf)%len(group)]
			if t.mayAsk(now, peer.Address) && !now.Before(h.peerBackoffs[peer.Address].until) && !slices.Contains(a.asked, peer.Address) {
				return peer.Address, true
			}
		}
	}
	return "", false
}

// await keeps an ask until something happens, or until the time.
func (h *Holder) await(a *ask, stage askStage, until time.Time) {
	a.stage = stage
	if a.stageUntil = until; a.deadline.Before(until) {
		a.stageUntil = a.deadline
	}
	if !slices.Contains(h.asks, a) {
		h.asks = append(h.asks, a)
	}
}

// peerGranted takes in a peer's answer.
func (h *Holder) peerGranted(now time.Time, grant *protocol.PeerCreditGrant) {
	delete(h.peerBackoffs, grant.Origin.Address)
	at := slices.IndexFunc(h.asks, func(a *ask) bool { return a.stage == awaitingPeer && a.peerRequest == grant.ID })
	if !validAmount(grant.Amount) {
		return
	}
	if at < 0 { // too late
		h.giveBack(now, grant)
		return
	}
	a := h.asks[at]
	if grant.Amount < a.lacking() {
		h.tenant(now, a.tenant).noteExhausted(now, grant.Origin.Address)
		a.noteRetry(grant.RetryAfter)
	}
	a.gathered = append(a.gathered, grant)
	h.proceed(now, a)
	h.dropAnswered()
}

// resumeAsks goes on with those asks that match.
func (h *Holder) resumeAsks(now time.Time, matches func(*ask) bool) {
	for _, a := range slices.Clone(h.asks) {
		if matches(a) {
			h.resume(now, a)
		}
	}
	h.dropAnswered()
}

// resume goes on with an ask whose record is synced, or whose wait is over.
func (h *Holder) resume(now time.Time, a *ask) {
	if a.stage == awaitingPeer {
		h.backOff(now, a.awaitedPeer)
		h.proceed(now, a)
		return
	}
	t := h.tenant(now, a.tenant)
	part := h.part(now, h.limits[a.tenant])
	h.issueOwn(now, a, t, math.Max(0, part-t.issued.sum-t.denial.left(now, a.rank, part)))
	h.proceed(now, a)
}

// backOff leaves a peer alone that did not answer in time, the longer the more often in a row.
func (h *Holder) backOff(now time.Time, peer string) {
	noted := h.peerBackoffs[peer]
	if now.Before(noted.until) {
		return // of another ask, sent before
	}
	interval := min(max(2*noted.interval, minPeerBackoff), maxPeerBackoff)
	h.peerBackoffs[peer] = peerBackoff{interval: interval, until: now.Add(interval)}
}

func (h *Holder) dropAnswered() {
	h.asks = slices.DeleteFunc(h.asks, func(a *ask) bool { return a.stage == answered })
}

// answer ends an ask. What would serve no request is taken back.
func (h *Holder) answer(now time.Time, a *ask) {
	a.stage = answered
	total := a.own + a.fromPeers()
	limit, limited := h.limits[a.tenant]
	if limited {
		t := h.tenant(now, a.tenant)
		if total < a.minimum && total > 0 {
			h.takeBack(now, a, t)
			total = 0
		}
		if missing := a.waiting - total; missing > 0 {
			t.denied += missing
			if a.router != nil {
				t.denial.note(now, a.rank, a.waiting)
			}
			h.estimateRetry(now, a, t, limit, missing)
		}
		t.granted += a.own
	}
	if a.router != nil {
		h.out.RouterGrants = append(h.out.RouterGrants, RouterGrant{Connection: a.router, Grant: &protocol.CreditGrant{
			ID: a.id, Tenant: a.tenant, Amount: total, RetryAfter: a.retryAfter,
		}})
		return
	}
	h.send(a.peer, &protocol.PeerCreditGrant{
		Origin: h.origin(now), ID: a.id, Tenant: a.tenant, Amount: total, RetryAfter: a.retryAfter, Cell: a.ownCell,
	})
}

// takeBack undoes what was issued for an ask, here and by peers: nobody got it.
func (h *Holder) takeBack(now time.Time, a *ask, t *tenant) {
	t.issued.remove(a.ownCell, a.own)
	a.own = 0
	for _, grant := range a.gathered {
		h.giveBack(now, grant)
	}
	a.gathered = nil
}

// giveBack returns to a peer what it issued and nobody got.
func (h *Holder) giveBack(now time.Time, grant *protocol.PeerCreditGrant) {
	if grant.Amount <= 0 {
		return
	}
	h.send(grant.Origin.Address, &protocol.PeerCreditReturn{
		Origin: h.origin(now), Tenant: grant.Tenant, Amount: grant.Amount, Cell: grant.Cell, Incarnation: grant.Origin.Incarnation,
	})
}

// peerReturned takes back what this process issued to a peer.
func (h *Holder) peerReturned(now time.Time, back *protocol.PeerCreditReturn) {
	if t, known := h.tenants[back.Tenant]; known && back.Incarnation == h.config.Incarnation && validAmount(back.Amount) {
		t.issued.advance(int64(now.Sub(h.started) / cellLength))
		t.issued.remove(back.Cell, back.Amount)
	}
}

// estimateRetry estimates when what is missing may be issued, if this holder has to issue its part of it.
func (h *Holder) estimateRetry(now time.Time, a *ask, t *tenant, limit Limit, missing float64) {
	excess := t.issued.sum + missing*h.ownership.usable(now) - h.part(now, limit)
	a.noteRetry(t.issued.untilFreed(excess))
	a.retryAfter = min(max(a.retryAfter, minRetryAfter), maxRetryAfter)
}

// noteRetry takes in how long it takes until one holder can issue again: the soonest counts.
func (a *ask) noteRetry(after time.Duration) {
	if after > 0 && (a.retryAfter == 0 || after < a.retryAfter) {
		a.retryAfter = after
	}
}
