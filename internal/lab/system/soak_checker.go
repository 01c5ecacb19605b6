package system

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of the rules, as in the operators' pages.
const (
	livenessWindow   = 3 * time.Second        // liveness_ms: a process undisturbed for so long is in touch
	lostTimeout      = 200 * time.Millisecond // lost_ms
	deniedAllowed    = 5                      // requests, and one in deniedRatio
	deniedRatio      = 500
	unansweredSound  = 3               // requests that were passed on by undisturbed routers, and got no answer
	plannedLostAfter = 1 * time.Second // beyond the grace period: so long a SIGTERM is planned work
	lateSendAfter    = 3 * time.Second // after SIGTERM: what is sent later must be answered, however long it takes
)

// brokenRule is a rule that was seen broken.
type brokenRule struct {
	at   time.Time
	text string
}

// ruleChecker collects what clients and endpoints saw, and judges it by the rules.
type ruleChecker struct {
	journal  *eventJournal
	refusals chan int // routers that refuse a request, for who waits for one

	mutex      sync.Mutex
	runs       map[string]int       // at endpoints, by request
	ends       map[string]time.Time // of endpoints: when their end was acknowledged
	requests   map[string]*requestRecord
	attempts   int
	promised   int
	unanswered int
	denied     []deniedAttempt
	rules      []brokenRule
}

// requestRecord is what came of one request.
type requestRecord struct {
	*soakRequest
	served      bool
	onlyRefused bool // every attempt so far was answered by a promise
	lastAt      time.Time
	suspects    []suspect
	routers     map[int]bool // that got an attempt
}

// suspect is an attempt at a router in touch that ended without a complete answer.
type suspect struct {
	attempt attemptResult
	planned bool // around a SIGTERM of the router
}

// deniedAttempt is a proper request that a router in touch ended by a 4xx of its own.
type deniedAttempt struct {
	at   time.Time
	text string
}

func newRuleChecker(journal *eventJournal) *ruleChecker {
	return &ruleChecker{
		journal: journal, runs: map[string]int{}, ends: map[string]time.Time{}, requests: map[string]*requestRecord{},
		refusals: make(chan int),
	}
}

// begin records that a client begins a request.
func (k *ruleChecker) begin(r *soakRequest) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.requests[r.id] = &requestRecord{soakRequest: r, onlyRefused: true, routers: map[int]bool{}}
}

// recordRun records that an endpoint runs a request.
func (k *ruleChecker) recordRun(endpoint, id string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.runs[id]++
	if record := k.requests[id]; record != nil && record.mayRunOnce() && k.runs[id] > 1 {
		k.journal.add("%s runs %s, run %d", endpoint, id, k.runs[id])
	}
}

// recordEnd records that the end of an endpoint is acknowledged.
func (k *ruleChecker) recordEnd(endpoint string, at time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ends[endpoint] = at
}

// recordArrival records that an endpoint gets a request. An endpoint whose end was acknowledged gets none from a router
// that nothing has disturbed.
func (k *ruleChecker) recordArrival(s *soak, endpoint, id string) {
	now := time.Now()
	k.mutex.Lock()
	acknowledgedAt, ended := k.ends[endpoint]
	record := k.requests[id]
	if !ended || record == nil || now.Sub(acknowledgedAt) <= drainTimeout {
		k.mutex.Unlock()
		return
	}
	routers := slices.Sorted(maps.Keys(record.routers))
	k.mutex.Unlock()
	for _, router := range routers {
		if !s.undisturbed(routerName(router), now.Add(-livenessWindow)) {
			return
		}
	}
	k.broken("DRAIN", now, "%s gets %s %s after its end was acknowledged", endpoint, id, now.Sub(acknowledgedAt).Round(time.Millisecond))
}

// beginAttempt records that a router gets an attempt, and returns how often endpoints have begun to run the request.
func (k *ruleChecker) beginAttempt(id string, router int) (runs int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if record := k.requests[id]; record != nil {
		record.routers[router] = true
	}
	return k.runs[id]
}

// runCount returns how often endpoints have begun to run a request.
func (k *ruleChecker) runCount(id string) int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.runs[id]
}

// recordAttempt records what a client saw of an attempt.
func (k *ruleChecker) recordAttempt(s *soak, r *soakRequest, a attemptResult) {
	name := routerName(a.router)
	k.checkAnswer(r, a)
	termAt, unplannedAt := s.lastDisturbances(name)
	inTouch := unplannedAt.Before(a.sentAt.Add(-livenessWindow))
	planned := !termAt.IsZero() && a.endedAt.Before(termAt.Add(s.world.grace()+plannedLostAfter))
	longAtExit := planned && a.sentAt.Before(termAt.Add(lateSendAfter)) && a.endedAt.After(termAt.Add(s.world.grace()*5/6))
	k.mutex.Lock()
	defer k.mutex.Unlock()
	record := k.requests[r.id]
	k.attempts++
	record.lastAt = a.endedAt
	record.served = record.served || a.served(r)
	switch {
	case a.promises():
		k.promised++
		select {
		case k.refusals <- a.router:
		default: // nobody waits
		}
		return
	case !a.complete:
		k.unanswered++
		k.journal.add("%s at %s ends without an answer after %s: status %d, %v", r.id, name, a.endedAt.Sub(a.sentAt).Round(time.Millisecond),
			a.status, a.err)
		if inTouch && !longAtExit && !a.expired() {
			record.suspects = append(record.suspects, suspect{a, planned})
		}
	case a.status/100 == 4 && !a.signed && inTouch:
		text := fmt.Sprintf("%s at %s got %d, with a header of %d bytes", r.id, name, a.status, r.headSize)
		k.journal.add("%s", text)
		k.denied = append(k.denied, deniedAttempt{a.endedAt, text})
	}
	record.onlyRefused = false
}

// awaitRefusal returns the next router that refuses a request, false if the context ends before.
func (k *ruleChecker) awaitRefusal(ctx context.Context) (router int, found bool) {
	select {
	case router := <-k.refusals:
		return router, true
	case <-ctx.Done():
		return 0, false
	}
}

// checkAnswer checks that an answer is that of the request.
func (k *ruleChecker) checkAnswer(r *soakRequest, a attemptResult) {
	switch {
	case a.foreign:
		k.broken("MIXED", a.endedAt, "%s at %s got an answer to another request, status %d", r.id, routerName(a.router), a.status)
	case a.status/100 == 2 && !a.signed:
		k.broken("MIXED", a.endedAt, "%s at %s got a success that is no endpoint's", r.id, routerName(a.router))
	case a.status/100 == 2 && a.complete && r.model != "" && a.events != eventsEach:
		k.broken("MIXED", a.endedAt, "%s at %s got a complete answer with %d of %d events", r.id, routerName(a.router), a.events, eventsEach)
	case a.signed && !a.inOrder:
		k.broken("ORDER", a.endedAt, "%s at %s got events out of order", r.id, routerName(a.router))
	}
}

func routerName(number int) string { return fmt.Sprintf("router-%d", number+1) }

// broken records a broken rule.
func (k *ruleChecker) broken(rule string, at time.Time, format string, arguments ...any) {
	text := rule + ": " + fmt.Sprintf(format, arguments...)
	k.journal.add("%s", text)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.rules = append(k.rules, brokenRule{at, text})
}

// judge applies the rules that need the whole run.
func (k *ruleChecker) judge() {
	var found []brokenRule
	add := func(at time.Time, format string, arguments ...any) {
		found = append(found, brokenRule{at, fmt.Sprintf(format, arguments...)})
	}
	k.mutex.Lock()
	sound := 0
	for id, record := range k.requests {
		runs := k.runs[id]
		if record.mayRunOnce() && runs > 1 {
			add(record.lastAt, "TWICE: %s ran %d times", id, runs)
		}
		if record.mayRunOnce() && record.onlyRefused && runs > 0 {
			add(record.lastAt, "REFUSED: %s was refused by a promise, yet it ran %d times", id, runs)
		}
		for _, one := range record.suspects {
			switch {
			case one.planned && (one.attempt.ran || one.attempt.endedAt.Sub(one.attempt.sentAt) > lostTimeout):
				add(one.attempt.endedAt, "LOST: %s at router-%d ended without an answer around its SIGTERM (status %d, %v); passed on: %t",
					id, one.attempt.router+1, one.attempt.status, one.attempt.err, one.attempt.ran)
			case one.attempt.ran:
				sound++
			}
		}
	}
	if sound > unansweredSound {
		add(time.Now(), "LOST: %d requests were passed on by undisturbed routers and got no answer, %d are allowed", sound, unansweredSound)
	}
	if allowed := deniedAllowed + k.attempts/deniedRatio; len(k.denied) > allowed {
		add(k.denied[allowed].at, "DENIED: %d proper requests, %d are allowed; the first: %s", len(k.denied), allowed, k.denied[0].text)
	}
	k.rules = append(k.rules, found...)
	k.mutex.Unlock()
	for _, rule := range found {
		k.journal.add("%s", rule.text)
	}
}

// first returns the rule that was broken first, nil if none was.
func (k *ruleChecker) first() *brokenRule {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var first *brokenRule
	for i := range k.rules {
		if first == nil || k.rules[i].at.Before(first.at) {
			first = &k.rules[i]
		}
	}
	return first
}

// progress returns how many requests were begun and served.
func (k *ruleChecker) progress() (requests, served int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, record := range k.requests {
		if record.served {
			served++
		}
	}
	return len(k.requests), served
}

// summary returns what was counted.
func (k *ruleChecker) summary() SoakSummary {
	requests, served := k.progress()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	summary := SoakSummary{
		Requests: requests, Served: served, Attempts: k.attempts, Promised: k.promised, Unanswered: k.unanswered, Broken: []string{},
	}
	for _, rule := range k.rules {
		summary.Broken = append(summary.Broken, rule.text)
	}
	return summary
}
