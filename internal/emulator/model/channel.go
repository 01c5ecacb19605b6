// Package model defines how the emulated channels behave: whether a call is accepted, when it ends and which
// messages take effect. It does no input or output: times are arguments, random values come from a seed, and the
// results are returned. Package emulator, which uses sockets, and package virtual, which uses simulated time, share
// this model, so that a difference between their results never comes from the channels.
package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Mode says whether and how an endpoint fails.
type Mode string

// The modes of an endpoint.
const (
	ModeHealthy         Mode = "well"
	ModeErrors          Mode = "errors" // 80% of the calls fail; half of those take effect
	ModeUnavailable     Mode = "shut"   // every call is rejected
	ModeNoResponse      Mode = "hang"   // calls are accepted and never answered; half take effect
	ModeSlow            Mode = "slow"   // calls take ten times as long
	ModeResetAfterCall  Mode = "cut"    // connections are reset after the call; half of the calls take effect
	ModeResetDuringCall Mode = "torn"   // connections are reset while the call is read; none takes effect
	ModeMalformed       Mode = "broken" // the response is malformed; all calls take effect
)

// outage reports whether the endpoint has reduced capacity for a while after the mode ends.
func (m Mode) outage() bool { return m != ModeHealthy && m != ModeSlow }

// EffectLimit says how many times a message of a class may take effect.
type EffectLimit uint8

// The limits on effects.
const (
	Unlimited    EffectLimit = iota // class "free"
	OncePerFloor                    // class "guarded": duplicates on one floor are dropped within a window
	OnceOverall                     // class "single_shot"
)

// ChannelSpec describes a channel, a destination with one or more endpoints.
type ChannelSpec struct {
	Dest             int64
	Kind             string
	Floors           []string                    // one endpoint on each
	Service          map[string][2]time.Duration // bounds of the uniformly distributed service time, by class
	Limit            float64                     // calls per second from all couriers; per endpoint if RoutePerEndpoint, else for the channel; 0 for no limit
	Capacity         int                         // calls that an endpoint serves concurrently
	Queue            int                         // calls that may wait for a free slot
	RetryAfterShare  float64                     `json:"TellsWait"` // share of rejections with status 429, or 503 in an outage, that tell the courier to wait
	RetryAfter       time.Duration               `json:"Wait"`      // the wait that they tell
	RoutePerEndpoint bool                        `json:"Apart"`     // each endpoint is a route with its own limit, waits and outages
	Connections      int                         // maximum number of open connections of an endpoint; 0 for no limit
	RecoveryTime     time.Duration               `json:"ColdFor"` // time after an outage in which the capacity rises from StartShare to all
	StartShare       float64                     // share of the capacity that is available just after an outage
	Window           time.Duration               // in which duplicates of guarded messages are dropped
	Bulk             int                         // maximum number of messages in a call
	Weight           float64                     // relative share of the messages among the channels; 0 means 1
	ErrorShare       float64                     `json:"Fails"` // share of the calls that take effect but return an error while the endpoint is healthy
	Reports          bool                        // responses report the limit and how much of it is unused
}

// Limits of the checks: when a recovering endpoint is overloaded, and how late a courier may act on a wait or a drain.
const (
	overloadFactor = 2.5
	overloadWindow = 2 * time.Second
	waitTolerance  = 100 * time.Millisecond
	drainTolerance = time.Second + 50*time.Millisecond
)

// Message is one message of a call.
type Message struct {
	Class       string
	EffectLimit EffectLimit
	Key         string
	Rejected    bool // it takes no effect: its client has left, or no client submitted it
	Resend      bool
}

// Outcome says how a call ends that the endpoint has accepted.
type Outcome uint8

const (
	OutcomeOK         Outcome = iota // status 200
	OutcomeError                     // status 500
	OutcomeReset                     // the connection is reset
	OutcomeMalformed                 // a malformed response, after which the connection is closed
	OutcomeNoResponse                // no response until the courier gives up
)

// CallResult says what happens to a call.
type CallResult struct {
	RejectCode  int           // status with which the call is rejected at once; 0 if it is accepted
	RetryAfter  time.Duration // how long the rejection tells the courier to wait; 0 if it does not
	EndsAt      time.Time     // end of the call at the endpoint; for OutcomeNoResponse the time of its effect
	Outcome     Outcome
	TakesEffect bool        // at EndsAt
	Duplicate   []bool      // for each message whether it is dropped as a duplicate
	Report      LimitReport // sent with every response
}

// LimitReport is what a response reports about the limit. Limit is 0 if it reports nothing.
type LimitReport struct {
	UnusedShare float64 // share of the limiter's tokens, one second's worth, that is available
	Limit       float64 // calls per second from all couriers
}

// Violation is a rule that a call broke.
type Violation struct {
	Rule, Text string
	OfMessage  bool // the rule concerns the first message of the call, not the channel
}

// Channel is a destination and the state of its endpoints.
type Channel struct {
	ChannelSpec
	Endpoints []*Endpoint
	firstSent map[string]time.Time // floor and key of each guarded message, and when the call that took effect arrived
}

// Endpoint is one endpoint of a channel.
type Endpoint struct {
	Name, Floor      string
	channel          *Channel
	rnd              *rand.Rand
	mode             Mode
	recoveredAt      time.Time // end of the last outage
	limiter          *rate.Limiter
	recoveryLimiter  *rate.Limiter
	slotFreeAt       []time.Time       // when each of its Capacity slots is free
	callEnds         []time.Time       // of the calls that are in service or queued
	waits            map[int]retryWait // the last wait that each courier was told
	drainingSince    map[int]time.Time // when each courier was told that the endpoint drains
	firstFailureSeen map[int]time.Time // when each courier first saw a call fail here in the last outage
	recentCalls      []arrival         // calls of the last overloadWindow since the end of the outage
	overloaded       bool
}

// retryWait is a wait that a courier was told.
type retryWait struct{ issuedAt, until time.Time }

type arrival struct {
	at      time.Time
	courier int
	resend  bool
}

// New returns a channel whose random values are drawn from the seed.
func New(spec ChannelSpec, seed uint64) *Channel {
	c := &Channel{ChannelSpec: spec, firstSent: map[string]time.Time{}}
	for i, floor := range spec.Floors {
		e := &Endpoint{
			Name: fmt.Sprintf("s-%d-%d", spec.Dest, i), Floor: floor, channel: c, mode: ModeHealthy,
			rnd:        rand.New(rand.NewPCG(seed, uint64(spec.Dest)<<8|uint64(i))),
			slotFreeAt: make([]time.Time, max(spec.Capacity, 1)),
			waits:      map[int]retryWait{}, drainingSince: map[int]time.Time{}, firstFailureSeen: map[int]time.Time{},
		}
		limit := rate.Inf
		if spec.Limit > 0 {
			limit = rate.Limit(spec.Limit)
		}
		e.limiter = rate.NewLimiter(limit, max(int(spec.Limit), 1))
		e.recoveryLimiter = rate.NewLimiter(rate.Limit(e.serviceRate()), 1)
		c.Endpoints = append(c.Endpoints, e)
	}
	if !spec.RoutePerEndpoint { // the endpoints share one limit
		for _, e := range c.Endpoints[1:] {
			e.limiter = c.Endpoints[0].limiter
		}
	}
	return c
}

// serviceRate returns the approximate capacity of the endpoint in calls per second.
func (e *Endpoint) serviceRate() float64 {
	mean, n := 0.0, 0.0
	for _, r := range e.channel.Service {
		mean, n = mean+(r[0]+r[1]).Seconds()/2, n+1
	}
	return float64(e.channel.Capacity) * n / mean
}

// Mode returns the current mode of the endpoint.
func (e *Endpoint) Mode() Mode { return e.mode }

// Overloaded reports whether the endpoint failed again because of too many calls after an outage.
func (e *Endpoint) Overloaded() bool { return e.overloaded }

// SetMode changes the mode of the endpoint.
func (e *Endpoint) SetMode(m Mode, at time.Time) {
	if e.mode.outage() && !m.outage() {
		e.recoveredAt, e.recentCalls = at, nil
	}
	if m.outage() && !e.mode.outage() {
		clear(e.firstFailureSeen)
		e.recoveredAt, e.overloaded = time.Time{}, false
	}
	e.mode = m
}

// NoteDraining records that the courier has been told that the endpoint accepts no new calls.
func (e *Endpoint) NoteDraining(courier int, at time.Time) {
	if e.drainingSince[courier].IsZero() {
		e.drainingSince[courier] = at
	}
}

// NoteServing records that the courier has been told that the endpoint accepts calls again.
func (e *Endpoint) NoteServing(courier int) { delete(e.drainingSince, courier) }

// KnownDraining reports whether the courier has been told that the endpoint drains.
func (e *Endpoint) KnownDraining(courier int) bool { return !e.drainingSince[courier].IsZero() }

// ClearWaits forgets the wait that the courier was told; it does not know it any more after a restart.
func (e *Endpoint) ClearWaits(courier int) { delete(e.waits, courier) }

// Call processes a call of a courier whose first byte arrived at firstByteAt and whose last byte arrived at now.
func (e *Endpoint) Call(courier int, messages []Message, firstByteAt, now time.Time) (result CallResult, violations []Violation) {
	violations = e.checkInstructions(courier, firstByteAt)
	resend := slices.ContainsFunc(messages, func(m Message) bool { return m.Resend })
	mode, code, retryAfter, admitViolations := e.admit(courier, resend, now)
	violations = append(violations, admitViolations...)
	report := e.limitReport(now)
	if code != 0 {
		if retryAfter > 0 {
			e.waits[courier] = retryWait{now, now.Add(retryAfter)}
		}
		return CallResult{RejectCode: code, RetryAfter: retryAfter, EndsAt: now, Report: report}, violations
	}
	takesEffect, fails, randomError := e.rnd.Float64() < 0.5, e.rnd.Float64() < 0.8, e.rnd.Float64() < e.channel.ErrorShare
	service := e.drawServiceTime(messages[0].Class)
	result = CallResult{EndsAt: now, TakesEffect: true, Report: report}
	switch {
	case mode == ModeResetAfterCall:
		result.Outcome, result.TakesEffect = OutcomeReset, takesEffect
	case mode == ModeNoResponse:
		result.Outcome, result.TakesEffect = OutcomeNoResponse, takesEffect
	case mode == ModeErrors && fails:
		result.Outcome, result.TakesEffect = OutcomeError, takesEffect
	case mode == ModeMalformed:
		result.Outcome = OutcomeMalformed
	case randomError:
		result.Outcome = OutcomeError
	}
	if mode == ModeSlow {
		service *= 10
	}
	if mode != ModeResetAfterCall && mode != ModeNoResponse {
		result.EndsAt = e.scheduleCall(now, service)
	}
	if result.Outcome != OutcomeOK && mode.outage() {
		e.noteFailure(courier, result.EndsAt)
	}
	if result.TakesEffect {
		result.Duplicate = e.recordMessages(messages, now)
	}
	return result, violations
}

// limitReport returns the state of the limiter, whose burst is the number of calls of one second.
func (e *Endpoint) limitReport(now time.Time) LimitReport {
	if !e.channel.Reports || e.channel.Limit <= 0 {
		return LimitReport{}
	}
	return LimitReport{UnusedShare: max(e.limiter.TokensAt(now)/float64(e.limiter.Burst()), 0), Limit: e.channel.Limit}
}

// scheduleCall assigns the call to the slot that is free first and returns when the call ends.
func (e *Endpoint) scheduleCall(now time.Time, service time.Duration) time.Time {
	earliest := 0
	for i, t := range e.slotFreeAt {
		if t.Before(e.slotFreeAt[earliest]) {
			earliest = i
		}
	}
	end := now
	if e.slotFreeAt[earliest].After(end) {
		end = e.slotFreeAt[earliest]
	}
	end = end.Add(service)
	e.slotFreeAt[earliest] = end
	e.callEnds = append(e.callEnds, end)
	return end
}

// drawServiceTime draws the service time of a call of the class.
func (e *Endpoint) drawServiceTime(class string) time.Duration {
	r, ok := e.channel.Service[class]
	if !ok {
		r = [2]time.Duration{50 * time.Millisecond, 100 * time.Millisecond}
	}
	return r[0] + time.Duration(e.rnd.Float64()*float64(r[1]-r[0]))
}

// checkInstructions checks whether the courier complies with the waits and drains that it was told before.
func (e *Endpoint) checkInstructions(courier int, at time.Time) (violations []Violation) {
	if drained := e.drainingSince[courier]; !drained.IsZero() && at.After(drained.Add(drainTolerance)) {
		violations = append(violations, Violation{"drains kept", fmt.Sprintf("n%d called %s %.3f s after it was told that it drains", courier, e.Name,
			at.Sub(drained).Seconds()), true})
	}
	for _, other := range e.channel.Endpoints {
		if e.channel.RoutePerEndpoint && other != e {
			continue
		}
		w := other.waits[courier]
		if at.After(w.issuedAt.Add(waitTolerance)) && at.Before(w.until.Add(-5*time.Millisecond)) {
			violations = append(violations, Violation{"waits heeded", fmt.Sprintf("n%d called %s %.3f s before the end of a wait that %s told it", courier, e.Name,
				w.until.Sub(at).Seconds(), other.Name), true})
		}
	}
	return violations
}

// admit decides whether the call is accepted. Otherwise it returns the status of the rejection and the wait that it
// tells the courier, if any.
func (e *Endpoint) admit(courier int, resend bool, now time.Time) (Mode, int, time.Duration, []Violation) {
	drawRetryAfter := func() time.Duration {
		if e.rnd.Float64() < e.channel.RetryAfterShare {
			return e.channel.RetryAfter
		}
		return 0
	}
	if e.mode == ModeUnavailable || e.overloaded {
		e.noteFailure(courier, now)
		return e.mode, 503, drawRetryAfter(), nil
	}
	if e.mode == ModeNoResponse || e.mode == ModeResetAfterCall {
		return e.mode, 0, 0, nil
	}
	var violations []Violation
	if share := e.capacityShare(now); share < 1 {
		violations = e.checkOverload(arrival{now, courier, resend}, share)
		if e.overloaded {
			return e.mode, 503, 0, violations
		}
		e.recoveryLimiter.SetLimitAt(now, rate.Limit(share*e.serviceRate()))
		if !e.recoveryLimiter.AllowN(now, 1) {
			return e.mode, 503, 0, violations
		}
	}
	if !e.limiter.AllowN(now, 1) {
		return e.mode, 429, drawRetryAfter(), violations
	}
	e.callEnds = slices.DeleteFunc(e.callEnds, func(t time.Time) bool { return !t.After(now) })
	if len(e.callEnds) >= e.channel.Capacity+e.channel.Queue {
		return e.mode, 503, 0, violations
	}
	return e.mode, 0, 0, violations
}

// noteFailure records when the courier first saw the endpoint fail in this outage.
func (e *Endpoint) noteFailure(courier int, at time.Time) {
	if first, ok := e.firstFailureSeen[courier]; !ok || at.Before(first) {
		e.firstFailureSeen[courier] = at
	}
}

// capacityShare returns the share of the capacity that is available now, less than 1 for a time after an outage.
func (e *Endpoint) capacityShare(now time.Time) float64 {
	if e.recoveredAt.IsZero() || e.channel.RecoveryTime == 0 {
		return 1
	}
	return min(e.channel.StartShare+(1-e.channel.StartShare)*now.Sub(e.recoveredAt).Seconds()/e.channel.RecoveryTime.Seconds(), 1)
}

// checkOverload counts the calls that a recovering endpoint receives. If they exceed overloadFactor times its current
// capacity for overloadWindow, the endpoint fails again. That breaks the rule if at least two thirds of the calls came
// from couriers that had seen it fail.
func (e *Endpoint) checkOverload(call arrival, share float64) []Violation {
	now := call.at
	e.recentCalls = append(e.recentCalls, call)
	for len(e.recentCalls) > 0 && now.Sub(e.recentCalls[0].at) > overloadWindow {
		e.recentCalls = e.recentCalls[1:]
	}
	if now.Sub(e.recoveredAt) < overloadWindow || float64(len(e.recentCalls)) <= overloadFactor*share*e.serviceRate()*overloadWindow.Seconds()+4 {
		return nil
	}
	e.overloaded = true
	aware, resends := 0, 0
	for _, a := range e.recentCalls {
		if saw, ok := e.firstFailureSeen[a.courier]; ok && saw.Before(now) {
			aware++
		}
		if a.resend {
			resends++
		}
	}
	if 3*aware < 2*len(e.recentCalls) {
		return nil
	}
	return []Violation{{"no returning channel pushed over", fmt.Sprintf("%s had %d calls in %v at %.0f%% of %.1f a second, %d of them resends, %d from couriers that had seen it fail",
		e.Name, len(e.recentCalls), overloadWindow, 100*share, e.serviceRate(), resends, aware), false}}
}

// recordMessages records the guarded messages of an arriving call for their floor and reports which are duplicates. A
// message is a duplicate if the first call with it that took effect arrived less than Window ago, however long that
// call takes.
func (e *Endpoint) recordMessages(messages []Message, now time.Time) []bool {
	c := e.channel
	duplicate := make([]bool, len(messages))
	for i, m := range messages {
		if m.Rejected || m.EffectLimit != OncePerFloor {
			continue
		}
		floorKey := e.Floor + " " + m.Key
		if first, ok := c.firstSent[floorKey]; ok && now.Sub(first) < c.Window {
			duplicate[i] = true
		} else {
			c.firstSent[floorKey] = now
		}
	}
	return duplicate
}
