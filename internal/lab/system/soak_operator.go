package system

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"raventrestle/internal/configuration"
)

const (
	smallHeadLimit  = 16 << 10
	largeHeadLimit  = 64 << 10
	versionsEach    = 5                      // on average, until the limit of heads changes
	changePause     = 600 * time.Millisecond // at most, between two changes
	announceTime    = time.Second            // clients keep to a limit from so long before it is sent
	inForceAfter    = 3 * time.Second        // config_ms + 1 s: until then the version before may be in force, too
	changeTimeout   = 25 * time.Second       // two series of faults may come one after the other
	readBackTimeout = 15 * time.Second
)

// limitsTimeline knows which limits on heads may be in force.
type limitsTimeline struct {
	mutex    sync.Mutex
	versions []headLimit
}

// headLimit is the limit of one version of the configuration.
type headLimit struct {
	bytes          int
	acknowledgedAt time.Time // zero before
}

// announce adds the limit of a version that will be sent.
func (l *limitsTimeline) announce(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.versions = append(l.versions, headLimit{bytes: bytes})
}

// acknowledged records that the newest version was acknowledged.
func (l *limitsTimeline) acknowledged() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.versions[len(l.versions)-1].acknowledgedAt = time.Now()
}

// allowedHead returns how large a head every version allows that may be in force.
func (l *limitsTimeline) allowedHead(now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	allowed := largeHeadLimit
	for i := len(l.versions) - 1; i >= 0; i-- {
		version := l.versions[i]
		allowed = min(allowed, version.bytes)
		if !version.acknowledgedAt.IsZero() && now.Sub(version.acknowledgedAt) > inForceAfter {
			break
		}
	}
	return allowed
}

// limitsOperator changes the limits again and again, and reads the configuration after each change.
type limitsOperator struct {
	soak   *soak
	load   *load // sends, reads and compares
	random *rand.Rand
	limits *limitsTimeline
	heads  int // limit of the newest version
}

func newLimitsOperator(s *soak) *limitsOperator {
	limits := &limitsTimeline{versions: []headLimit{{bytes: smallHeadLimit, acknowledgedAt: s.journal.startedAt}}}
	return &limitsOperator{soak: s, load: newLoad(s.world), random: s.random(3), limits: limits, heads: smallHeadLimit}
}

// run changes the configuration until the context ends, and finishes the change that it has begun.
func (o *limitsOperator) run(ctx context.Context) {
	for number := 0; sleep(ctx, between(o.random, 0, changePause)); number++ {
		version := o.load.acknowledged + 1
		changed := changedConfiguration(version)
		o.drawLimits(&changed.Limits)
		o.limits.announce(int(changed.Limits.MaxHeaderBytes))
		if !sleep(ctx, announceTime) {
			return
		}
		if !o.change(number, version, changed) {
			return
		}
		o.load.read(ctx, number, version)
		o.reportStale()
	}
}

func (o *limitsOperator) drawLimits(limits *configuration.Limits) {
	if o.random.IntN(versionsEach) == 0 {
		o.heads = smallHeadLimit + largeHeadLimit - o.heads
	}
	limits.MaxHeaderBytes = int64(o.heads)
	limits.IdleTimeoutMS = 5000 + int64(o.random.IntN(15000))
	limits.HeaderTimeoutMS = 2000 + int64(o.random.IntN(3000))
}

// change sends one change until it is acknowledged.
func (o *limitsOperator) change(number int, version int64, changed *configuration.Configuration) bool {
	text, err := json.Marshal(changed)
	if err != nil {
		o.soak.checker.broken("SOAK", time.Now(), "configuration %d: %v", version, err)
		return false
	}
	began := time.Now()
	if !o.load.changeWithin(changeTimeout, number, version, text) {
		o.reportStale()
		return false
	}
	o.limits.acknowledged()
	o.load.noteChange(version, time.Since(began))
	o.soak.journal.add("version %d is acknowledged: heads of %d bytes", version, changed.Limits.MaxHeaderBytes)
	return true
}

// reportStale reports what the reads have found wrong.
func (o *limitsOperator) reportStale() {
	for _, text := range o.load.takeStale() {
		o.soak.checker.broken("CONFIG", time.Now(), "%s", text)
	}
}

// readBack asks each instance for the configuration once all is over, until it answers.
func (o *limitsOperator) readBack(ctx context.Context) {
	if err := o.load.readBackWithin(ctx, readBackTimeout); err != nil {
		o.soak.checker.broken("CONFIG", time.Now(), "read back: %v", err)
	}
	o.reportStale()
}

func (o *limitsOperator) changeCount() int {
	o.load.mutex.Lock()
	defer o.load.mutex.Unlock()
	return o.load.changes
}

func (o *limitsOperator) slowest() time.Duration {
	o.load.mutex.Lock()
	defer o.load.mutex.Unlock()
	return o.load.longest
}
