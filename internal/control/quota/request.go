package quota

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// creditRequest is a request for credit from a router or a peer that has not been answered yet.
type creditRequest struct {
	router        Connection // nil: the request is from a peer
	peer          string     // address of the requesting peer; empty: the request is from a router
	id            uint64     // number that the requester gave it
	tenant        string
	amount        float64   // requested in total, including credit for expected requests
	waitingAmount float64   // requested for waiting requests; only this part is requested from peers
	minAmount     float64   // a smaller grant would serve no waiting request
	rank          int       // 0 is the most urgent
	deadline      time.Time // for the answer
	stage         requestStage
	stageDeadline time.Time                   // for the awaited record or peer
	awaitedRecord uint64                      // sequence of the record that the request waits for
	issuedHere    float64                     // amount issued from this holder's shares
	issuedCell    int64                       // cell in which it was counted
	peerGrants    []*protocol.PeerCreditGrant // answers of peers
	retryAfter    time.Duration

	awaitedPeerRequest uint64   // number of the outstanding request to a peer
	awaitedPeer        string   // address of that peer
	requestedPeers     []string // addresses of all peers that received a request
}

// requestStage is what a request for credit waits for.
type requestStage uint8

const (
	unprocessed    requestStage = iota
	awaitingRecord              // until a durable record permits issuing what the shares have left
	awaitingPeer                // until a peer answers
	answered
)

// missing returns the amount that the waiting requests still lack.
func (r *creditRequest) missing() float64 { return r.waitingAmount - r.issuedHere - r.grantedByPeers() }

// grantedByPeers returns the amount that peers have granted for the request.
func (r *creditRequest) grantedByPeers() float64 {
	sum := 0.0
	for _, grant := range r.peerGrants {
		sum += grant.Amount
	}
	return sum
}

// routerRequestReceived handles a router's request for credit.
func (h *Holder) routerRequestReceived(now time.Time, in RouterRequestReceived) {
	request := in.Request
	if !validAmount(request.Amount) || !validAmount(request.Waiting) {
		return
	}
	h.startRequest(now, &creditRequest{
		router: in.Connection, id: request.ID, tenant: request.Tenant, amount: math.Max(request.Amount, request.Waiting),
		waitingAmount: request.Waiting, minAmount: math.Min(request.Minimum, request.Waiting), rank: request.Rank,
		deadline: now.Add(routerRequestTimeout),
	})
}

// peerRequestReceived handles a peer's request for credit. It is answered from this holder's shares only.
func (h *Holder) peerRequestReceived(now time.Time, request *protocol.PeerCreditRequest) {
	if !validAmount(request.Amount) || request.Origin.Address == h.config.Address {
		return
	}
	h.startRequest(now, &creditRequest{
		peer: request.Origin.Address, id: request.ID, tenant: request.Tenant, amount: request.Amount,
		waitingAmount: request.Amount, rank: request.Rank, deadline: now.Add(peerRequestTimeout),
	})
}

func validAmount(amount float64) bool {
	return amount >= 0 && !math.IsInf(amount, 0) && !math.IsNaN(amount)
}

// startRequest issues what this holder's shares permit and continues the request, or makes the request wait for a record.
func (h *Holder) startRequest(now time.Time, request *creditRequest) {
	limit, limited := h.limits[request.tenant]
	if !limited {
		if h.configured {
			request.issuedHere = request.amount // credit of a tenant without a limit is not counted
		}
		h.answer(now, request)
		return
	}
	t := h.tenant(now, request.tenant)
	localLimit := h.localLimit(now, limit)
	available := math.Max(0, localLimit-t.issued.sum-t.reservation.reservedFrom(now, request.rank, localLimit))
	if request.waitingAmount < request.amount { // limits the part for expected requests to a fraction of the available credit
		request.amount = math.Max(request.waitingAmount, math.Min(request.amount, available*maxPrefetchFraction))
	}
	t.largestRequest = math.Max(t.largestRequest, request.amount)
	if needed := math.Min(request.amount, available); needed > h.availableHeadroom(now, t) && !h.stopping {
		t.headroom.awaitedAmount += needed
		h.recorder.hasWaiters = true
		request.awaitedRecord = h.recorder.sequence + 1 // a record that is being written does not include it
		h.await(request, awaitingRecord, now.Add(recordWaitTimeout))
		return
	}
	h.issueFromOwnShares(now, request, t, available)
	h.continueRequest(now, request)
}

// issueFromOwnShares issues the requested amount as far as this holder's shares and the headroom permit.
func (h *Holder) issueFromOwnShares(now time.Time, request *creditRequest, t *tenant, available float64) {
	amount := math.Min(math.Min(request.amount, available), h.availableHeadroom(now, t))
	if amount <= 0 {
		return
	}
	t.issued.add(amount)
	t.headroom.spend(amount)
	request.issuedHere, request.issuedCell = amount, t.issued.newest
}

// continueRequest answers a request, or requests the missing amount from the next peer.
func (h *Holder) continueRequest(now time.Time, request *creditRequest) {
	if request.router == nil || request.missing() <= 0 || !now.Before(request.deadline) {
		h.answer(now, request)
		return
	}
	t := h.tenant(now, request.tenant)
	peer, found := h.nextPeer(now, t, request)
	if !found {
		h.answer(now, request)
		return
	}
	h.lastPeerRequest++
	request.awaitedPeerRequest, request.awaitedPeer = h.lastPeerRequest, peer
	request.requestedPeers = append(request.requestedPeers, peer)
	h.send(peer, &protocol.PeerCreditRequest{
		Origin: h.origin(now), ID: request.awaitedPeerRequest, Tenant: request.tenant, Amount: request.missing(), Rank: request.rank,
	})
	h.await(request, awaitingPeer, now.Add(peerRequestTimeout))
}

// nextPeer selects the next peer to request credit from: peers in this holder's zone first, round robin within each group.
func (h *Holder) nextPeer(now time.Time, t *tenant, request *creditRequest) (address string, found bool) {
	t.peerRequests++
	for _, group := range [][]Peer{h.nearPeers, h.farPeers} {
		for i := range group {
			peer := group[(i+t.peerRequests)%len(group)]
			if t.mayRequestFrom(now, peer.Address) && !now.Before(h.peerBackoffs[peer.Address].until) &&
				!slices.Contains(request.requestedPeers, peer.Address) {
				return peer.Address, true
			}
		}
	}
	return "", false
}

// await makes a request wait until the deadline, or until the deadline of the request if that is earlier.
func (h *Holder) await(request *creditRequest, stage requestStage, deadline time.Time) {
	request.stage = stage
	if request.stageDeadline = deadline; request.deadline.Before(deadline) {
		request.stageDeadline = request.deadline
	}
	if !slices.Contains(h.requests, request) {
		h.requests = append(h.requests, request)
	}
}

// peerGrantReceived handles a peer's answer.
func (h *Holder) peerGrantReceived(now time.Time, grant *protocol.PeerCreditGrant) {
	delete(h.peerBackoffs, grant.Origin.Address)
	index := slices.IndexFunc(h.requests, func(r *creditRequest) bool {
		return r.stage == awaitingPeer && r.awaitedPeerRequest == grant.ID
	})
	if !validAmount(grant.Amount) {
		return
	}
	if index < 0 { // the request was answered after its timeout
		h.returnCredit(now, grant)
		return
	}
	request := h.requests[index]
	if grant.Amount < request.missing() {
		h.tenant(now, request.tenant).noteExhausted(now, grant.Origin.Address)
		request.lowerRetryAfter(grant.RetryAfter)
	}
	request.peerGrants = append(request.peerGrants, grant)
	h.continueRequest(now, request)
	h.removeAnswered()
}

// resumeRequests resumes the requests that match.
func (h *Holder) resumeRequests(now time.Time, matches func(*creditRequest) bool) {
	for _, request := range slices.Clone(h.requests) {
		if matches(request) {
			h.resumeRequest(now, request)
		}
	}
	h.removeAnswered()
}

// resumeRequest continues a request whose record is durable or abandoned, or whose wait has timed out.
func (h *Holder) resumeRequest(now time.Time, request *creditRequest) {
	if request.stage == awaitingPeer {
		h.backOff(now, request.awaitedPeer)
		h.continueRequest(now, request)
		return
	}
	t := h.tenant(now, request.tenant)
	localLimit := h.localLimit(now, h.limits[request.tenant])
	h.issueFromOwnShares(now, request, t, math.Max(0, localLimit-t.issued.sum-t.reservation.reservedFrom(now, request.rank, localLimit)))
	h.continueRequest(now, request)
}

// backOff stops requests to a peer that did not answer in time. The backoff doubles with each consecutive timeout.
func (h *Holder) backOff(now time.Time, peer string) {
	current := h.peerBackoffs[peer]
	if now.Before(current.until) {
		return // the timeout of another request, sent before the backoff began
	}
	interval := min(max(2*current.interval, minPeerBackoff), maxPeerBackoff)
	h.peerBackoffs[peer] = peerBackoff{interval: interval, until: now.Add(interval)}
}

func (h *Holder) removeAnswered() {
	h.requests = slices.DeleteFunc(h.requests, func(r *creditRequest) bool { return r.stage == answered })
}

// answer answers a request. If the total is too little for any waiting request, it is returned and the answer grants nothing.
func (h *Holder) answer(now time.Time, request *creditRequest) {
	request.stage = answered
	total := request.issuedHere + request.grantedByPeers()
	limit, limited := h.limits[request.tenant]
	if limited {
		t := h.tenant(now, request.tenant)
		if total < request.minAmount && total > 0 {
			h.cancelIssuedCredit(now, request, t)
			total = 0
		}
		if missing := request.waitingAmount - total; missing > 0 {
			t.denied += missing
			if request.router != nil {
				t.reservation.recordDenial(now, request.rank, request.waitingAmount)
			}
			h.estimateRetryAfter(now, request, t, limit, missing)
		}
		t.granted += request.issuedHere
	}
	if request.router != nil {
		h.output.RouterGrants = append(h.output.RouterGrants, RouterGrant{Connection: request.router, Grant: &protocol.CreditGrant{
			ID: request.id, Tenant: request.tenant, Amount: total, RetryAfter: request.retryAfter,
		}})
		return
	}
	h.send(request.peer, &protocol.PeerCreditGrant{
		Origin: h.origin(now), ID: request.id, Tenant: request.tenant, Amount: total, RetryAfter: request.retryAfter,
		Cell: request.issuedCell,
	})
}

// cancelIssuedCredit undoes what was issued for a request, here and at peers, because it is not granted.
func (h *Holder) cancelIssuedCredit(now time.Time, request *creditRequest, t *tenant) {
	t.issued.remove(request.issuedCell, request.issuedHere)
	request.issuedHere = 0
	for _, grant := range request.peerGrants {
		h.returnCredit(now, grant)
	}
	request.peerGrants = nil
}

// returnCredit returns the amount of a peer's grant that is not used.
func (h *Holder) returnCredit(now time.Time, grant *protocol.PeerCreditGrant) {
	if grant.Amount <= 0 {
		return
	}
	h.send(grant.Origin.Address, &protocol.PeerCreditReturn{
		Origin: h.origin(now), Tenant: grant.Tenant, Amount: grant.Amount, Cell: grant.Cell, Incarnation: grant.Origin.Incarnation,
	})
}

// peerReturnReceived subtracts what this process issued to a peer and the peer did not use.
func (h *Holder) peerReturnReceived(now time.Time, returned *protocol.PeerCreditReturn) {
	if t, known := h.tenants[returned.Tenant]; known && returned.Incarnation == h.config.Incarnation && validAmount(returned.Amount) {
		t.issued.advance(int64(now.Sub(h.startedAt) / cellLength))
		t.issued.remove(returned.Cell, returned.Amount)
	}
}

// estimateRetryAfter estimates when the missing amount can be issued, if this holder has to issue its part of it.
func (h *Holder) estimateRetryAfter(now time.Time, request *creditRequest, t *tenant, limit Limit, missing float64) {
	excess := t.issued.sum + missing*h.ownership.usableFraction(now) - h.localLimit(now, limit)
	request.lowerRetryAfter(t.issued.timeUntilExpired(excess))
	request.retryAfter = min(max(request.retryAfter, minRetryAfter), maxRetryAfter)
}

// lowerRetryAfter records how long it takes until some holder can issue more. The shortest time is kept.
func (r *creditRequest) lowerRetryAfter(after time.Duration) {
	if after > 0 && (r.retryAfter == 0 || after < r.retryAfter) {
		r.retryAfter = after
	}
}
