package raventrestle

// The records that the policy files keep, and arithmetic on them. Decisions are made in the policy files.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/asfq"
)

// Policy makes the decisions of one forwarder. It is not safe for concurrent use.
type Policy struct {
	settings                   Settings
	rng                        *rand.Rand
	actions                    []Action
	destinations               map[DestID]*destination
	flows                      asfq.Scheduler[*destination]
	targets                    map[TargetID]*target
	messages                   map[MessageID]*message
	tenantMessages             []decayingCounts // arrivals by tenant, counted in decayingCounts.calls
	maxUrgency                 float64          // highest urgency of a queued message, see updateUrgency
	latency                    latencyStats     // of the answers of all destinations
	now                        time.Duration
	maxDeadline, failureMemory time.Duration    // longest deadline of the classes; decay time of failure counts
	maxIdleTime                time.Duration    // observed time after which idle connections are dropped
	answeredIdle               [2]time.Duration // longest idle time before an answered call, in this period and the last
	listRequestAt, listBackoff time.Duration    // when to request the list again, and the backoff after failures
	wokeLate                   bool             // this batch came late because the host was delayed
	limitsReported             bool             // answers include limit reports
	connectionsLimited         []bool           // by kind, the last for unknown kinds: targets limit connections
	shutdownAt                 time.Duration    // when the host stops, 0 if no shutdown is announced
	connectionsScarceUntil     time.Duration    // until then, targets may have few free connections
	wakeAt, pendingWakeAt      time.Duration    // next decision without an event; the last WakeAt that is not due yet
}

// destination is a flow with its queued messages. Each queued message has a turn in the flow.
type destination struct {
	asfq.Flow
	id                 DestID
	kindIndex          int // index of its kind; the number of kinds if unknown
	kind               DestinationKind
	targets            []*target  // sorted by id
	sharedRoute        *route     // the route of all its targets unless kind.RoutePerTarget
	queue              []*message // messages that wait, in order of arrival
	calls              []*call
	rejectionsInRow    int           // except for an exhausted limit; counted twice if most of the limit remains
	departedTargetRate float64       // normal send rate of the target that was removed last
	restoredMessages   float64       // messages restored after the host's restart
	restoredUntil      time.Duration // until then, restoredMessages is used to estimate the rate
	nextMessage        *message      // message that may be sent next in this batch, and its target
	nextTarget         *target
}

// route has its own rate limit and retry-after time. It is a single target if the kind has RoutePerTarget, otherwise
// the whole destination.
type route struct {
	targets        []*target
	limit          float64 // calls per second from all forwarders together, 0 if unknown
	limitReported  bool    // limit comes from a report, which takes precedence over the list
	threshold      float64 // slightly below the rate at which calls were last rejected
	rate, tokens   float64 // this forwarder's rate, set by AIMD, 0 while no limit is known; tokens of its bucket
	sentRate       float64 // recent calls per second
	refilledAt     time.Duration
	sentRateAt     time.Duration
	rateReducedAt  time.Duration
	waitUntil      time.Duration // retry-after time demanded by the target
	allSuspended   bool          // all its targets were suspended together
	outageAt       time.Duration // first failure of the current outage, 0 if there is none
	lastAnsweredAt time.Duration
	nextCallAt     time.Duration // next call to a target that is half-open or in slow start
	failuresInRow  int
	latency        latencyStats
}

// latencyStats are the mean and mean deviation of the response times of count calls.
type latencyStats struct {
	mean, deviation time.Duration
	count           int
}

// health says how much traffic a target gets.
type health uint8

const (
	healthy   health = iota // normal traffic
	halfOpen                // one trial call at a time
	slowStart               // rate increases slowly after an outage
)

// target is one endpoint of a destination.
type target struct {
	id                                       TargetID
	dest                                     *destination
	route                                    *route
	zone                                     int
	ready                                    bool
	health                                   health
	failuresInRow, trialsInFlight            int
	meanLatency                              time.Duration    // of its answers
	costFactor                               float64          // random, so that the forwarders prefer different targets
	counts                                   []decayingCounts // calls and failures by class, the last entry for all classes
	normalRate                               float64          // calls per second before its outage
	listedSince, slowStartAt, lastAnsweredAt time.Duration
	lastSentAt, lastAnsweredSentAt           time.Duration // last send; send time of the last answered call
	inFlight                                 int
	sendInterval                             time.Duration // moving average of the time between sends, 0 before the second
	idleSince                                time.Duration // when its connections were last used, 0 if none is idle
	staleIdleTime                            time.Duration // idle time before a call that was lost, until the cause is known
}

// decayingCounts count calls and failures, weighted by an exponential decay over failureMemory.
type decayingCounts struct {
	failures, calls float64
	updatedAt       time.Duration
}

// message is a message without a final answer. It is queued if call is nil.
type message struct {
	id                     MessageID
	class                  *Class
	classIndex             int
	dest                   *destination
	call                   *call
	softDeadline, deadline time.Duration
	value                  float64 // value of its class, reduced beyond its tenant's share
	urgency                float64 // see updateUrgency
	dropCost               float64 // value lost if the message is refused now, see updateUrgency
	attempts               int
	mayHaveRun             bool // an earlier attempt may have run
	runAt                  time.Duration
	runTarget              *target
	finished               bool // answered or withdrawn while an attempt is in flight
}

// call is one call to a target. All messages in it share its slot and its result.
type call struct {
	target          *target
	startedAt       time.Duration
	pending         int // messages without an outcome
	first           *message
	canceled        bool          // Cancel was sent
	trial, recorded bool          // sent as a trial; its outcome has been recorded
	idleTime        time.Duration // how long its connection may have been idle, 0 for a new one
}

// ensureDestination returns the record of a destination and creates it if there is none.
func (p *Policy) ensureDestination(id DestID) *destination {
	d := p.destinations[id]
	if d == nil {
		d = &destination{id: id, kindIndex: len(p.settings.Kinds), kind: DestinationKind{MaxBatch: 1}}
		d.sharedRoute = &route{refilledAt: p.now}
		p.destinations[id] = d
	}
	return d
}

// addTarget creates the record of a target that joins the list.
func (p *Policy) addTarget(entry Entry) *target {
	d := p.ensureDestination(entry.Dest)
	if entry.Kind >= 0 && entry.Kind < len(p.settings.Kinds) {
		d.kindIndex, d.kind = entry.Kind, p.settings.Kinds[entry.Kind]
	}
	t := &target{
		id: entry.Target, dest: d, zone: entry.Zone, route: d.sharedRoute, listedSince: p.now, lastAnsweredAt: -1 << 60,
		lastSentAt: -1 << 60, costFactor: 1 + p.rng.Float64()/4, counts: make([]decayingCounts, len(p.settings.Classes)+1),
	}
	if d.kind.RoutePerTarget {
		t.route = &route{refilledAt: p.now, waitUntil: d.sharedRoute.waitUntil}
	}
	p.targets[entry.Target] = t
	t.route.targets = append(t.route.targets, t)
	d.targets = append(d.targets, t)
	slices.SortFunc(d.targets, func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	return t
}

// removeMessage deletes the record of a message that has ended.
func (p *Policy) removeMessage(m *message) { delete(p.messages, m.id) }

// removeElement removes x, which must be in the list.
func removeElement[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	return slices.Delete(list, i, i+1)
}

// add includes one response time, as TCP does for its round-trip time.
func (t *latencyStats) add(took time.Duration) {
	if t.count++; t.count == 1 {
		t.mean, t.deviation = took, took/2
	}
	diff := took - t.mean
	t.mean += diff / 8
	t.deviation += (max(diff, -diff) - t.deviation) / 4
}

// decay reduces the counts by the time since their last update.
func (x *decayingCounts) decay(p *Policy) {
	f := math.Exp(-float64(p.now-x.updatedAt) / float64(p.failureMemory))
	x.failures, x.calls, x.updatedAt = x.failures*f, x.calls*f, p.now
}

// failureShare returns the share of failed calls. priorShare counts like the result of priorWeight calls.
func (x *decayingCounts) failureShare(p *Policy, priorShare, priorWeight float64) float64 {
	x.decay(p)
	return (x.failures + priorShare*priorWeight) / (x.calls + priorWeight)
}

// failureProbability returns the expected share of failed calls of a class at a target. Observed calls of the class
// take precedence over those of the target's other classes.
func (p *Policy) failureProbability(t *target, class int) float64 {
	return t.counts[class].failureShare(p, t.counts[len(p.settings.Classes)].failureShare(p, 0, 1), 1)
}

// sendRate returns the recent calls per second to the target, or those before its outage.
func (t *target) sendRate(p *Policy) float64 {
	if t.health != healthy {
		return t.normalRate
	}
	x := &t.counts[len(p.settings.Classes)]
	x.decay(p)
	age := max(float64(p.now-t.listedSince)/float64(p.failureMemory), 0.25)
	slotShare := min(float64(p.settings.CallSlots)/float64(p.settings.Forwarders), 1)
	// With many forwarders, a single recent call says little about the rate.
	calls := max(x.calls-max(1-age, 0)*(1-slotShare), 0)
	return calls / (p.failureMemory.Seconds() * (1 - math.Exp(-age)))
}

// interval returns the time between calls at the given rate per second.
func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

func (p *Policy) logf(format string, args ...any) {
	p.actions = append(p.actions, Log{fmt.Sprintf(format, args...)})
}

// wakeBy requests a Wake at time t, unless an earlier one is requested in this batch.
func (p *Policy) wakeBy(t time.Duration) {
	if t > p.now {
		p.wakeAt = min(p.wakeAt, t)
	}
}
