package quota

import (
	"math"
	"time"
)

// tenant is the state of one limit at this holder. Tenants without issued credit in the interval have no state.
type tenant struct {
	name           string
	issued         issuance
	headroom       headroom
	largestRequest float64 // largest recent request, reduced by largestRequestDecay with each record
	reservation    priorityReservation
	exhaustedUntil map[string]time.Time // until when peers that granted too little get no request for this tenant, by address
	peerRequests   int                  // number of requests to peers so far, for round robin

	granted, denied float64 // since the process started
}

// priorityReservation keeps credit available for requests of a rank that was recently denied. A small request finds enough credit
// more often than a large one, so for reservationTTL less urgent requests must leave as much as one denied request needs.
type priorityReservation struct {
	rank               int     // of the most urgent denied request; 0 is the most urgent
	meanAmount         float64 // moving average of what the denied requests needed
	expiresAt          time.Time
	lessUrgentRequests int // since the process started
}

const (
	reservationTTL             = time.Second
	reservationSmoothing       = 0.25 // weight of the newest denied request in the average
	reservationExemptionPeriod = 8    // one in this many less urgent requests is exempt
	maxReservationFraction     = 0.5  // maximum of the reserved amount, as a fraction of the holder's limit
)

// recordDenial renews the reservation for a denied request. It ignores a request that is less urgent than an active reservation.
func (r *priorityReservation) recordDenial(now time.Time, rank int, amount float64) {
	active := now.Before(r.expiresAt)
	if active && rank > r.rank {
		return
	}
	if !active || rank < r.rank {
		r.meanAmount = amount
	}
	r.rank = rank
	r.meanAmount += (amount - r.meanAmount) * reservationSmoothing
	r.expiresAt = now.Add(reservationTTL)
}

// reservedFrom returns the amount that a request of the given rank must leave of the holder's limit.
func (r *priorityReservation) reservedFrom(now time.Time, rank int, localLimit float64) float64 {
	if !now.Before(r.expiresAt) || rank <= r.rank {
		return 0
	}
	if r.lessUrgentRequests++; r.lessUrgentRequests%reservationExemptionPeriod == 0 {
		return 0
	}
	return math.Min(r.meanAmount, maxReservationFraction*localLimit)
}

// mayRequestFrom reports whether this tenant's credit may be requested from a peer now.
func (t *tenant) mayRequestFrom(now time.Time, peer string) bool {
	return !now.Before(t.exhaustedUntil[peer])
}

// noteExhausted prevents further requests to a peer for this tenant until exhaustedPeerBackoff has passed.
func (t *tenant) noteExhausted(now time.Time, peer string) {
	if t.exhaustedUntil == nil {
		t.exhaustedUntil = make(map[string]time.Time)
	}
	t.exhaustedUntil[peer] = now.Add(exhaustedPeerBackoff)
}
