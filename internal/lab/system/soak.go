package system

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// SoakOptions says what RunSoak plays.
type SoakOptions struct {
	Options
	Seed     uint64        // draws all faults, requests and changes; the processes' timing is not drawn
	Duration time.Duration // of the faults, without start and end
	JSON     bool          // the summary is printed as JSON
}

// ErrRuleBroken is returned by RunSoak when clients or the operator saw a rule broken.
var ErrRuleBroken = errors.New("a rule was broken")

const (
	soakClients       = 12
	soakGraceSeconds  = 8
	slowModel         = "heron" // its streams take as long as a router has left when it stops to take on any
	slowEventEvery    = 400 * time.Millisecond
	progressInterval  = 10 * time.Second
	settleTime        = 12 * time.Second // recovery_s: after it the system must serve again
	eventsShownBefore = 5 * time.Second
	eventsShownAfter  = time.Second
)

// soakMode says which kinds of faults a run has.
type soakMode int

const (
	plannedFaults   soakMode = iota // restarts by SIGTERM, SIGHUP
	unplannedFaults                 // kills, stops, lost disks
	allFaults
	soakModes
)

// String implements fmt.Stringer.
func (m soakMode) String() string { return []string{"planned", "unplanned", "all"}[m] }

// SoakSummary is what a run saw.
type SoakSummary struct {
	Seed          uint64   `json:"seed"`
	Mode          string   `json:"mode"`
	Processes     int      `json:"processes"`
	Seconds       float64  `json:"seconds"`
	Faults        int      `json:"faults"`
	Departures    int      `json:"departures"` // of endpoints
	Surplus       int      `json:"surplus"`    // answers that endpoints sent a second time
	Requests      int      `json:"requests"`
	Served        int      `json:"served"`
	Attempts      int      `json:"attempts"`
	Promised      int      `json:"promised"`   // attempts answered 408, 421, 429 or 503
	Unanswered    int      `json:"unanswered"` // attempts without a complete answer
	Changes       int      `json:"changes"`
	SlowestChange float64  `json:"slowest_change_s"`
	Broken        []string `json:"broken"`
}

// soak is one run.
type soak struct {
	world    *world
	options  SoakOptions
	mode     soakMode
	journal  *eventJournal
	checker  *ruleChecker
	operator *limitsOperator

	mutex       sync.Mutex
	disturbance map[string]*disturbance // by process
	faults      int
	departures  int
	surplus     int
}

// RunSoak runs the system under a series of faults that overlap, within the tolerance that its settings declare, while
// clients use open connections for as long as they last and an operator changes the configuration. It fails with
// ErrRuleBroken if a rule was broken.
func RunSoak(ctx context.Context, options SoakOptions) (err error) {
	w, err := newWorld(options.Options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, w.end(err != nil)) }()
	s := newSoak(w, options)
	w.graceSeconds, w.onRun = soakGraceSeconds, s.checker.recordRun
	w.onArrival = func(endpoint, requestID string) { s.checker.recordArrival(s, endpoint, requestID) }
	w.repeatAnswer, w.extraLoadTime = s.surplusAnswers(), s.extraLoadTimes()
	w.eventIntervals = map[string]time.Duration{slowModel: slowEventEvery}
	if err := w.start(ctx); err != nil {
		return err
	}
	w.printf("soak: seed %d, %s faults, %d routers, %s", options.Seed, s.mode, w.options.routerCount(), options.Duration)
	s.play(ctx)
	return s.report()
}

func newSoak(w *world, options SoakOptions) *soak {
	journal := &eventJournal{startedAt: time.Now()}
	s := &soak{
		world: w, options: options, mode: soakMode(options.Seed % uint64(soakModes)), journal: journal,
		disturbance: map[string]*disturbance{},
	}
	s.checker = newRuleChecker(journal)
	s.operator = newLimitsOperator(s)
	return s
}

// random returns a source of random numbers for one part of the run.
func (s *soak) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.options.Seed, part)) }

// play runs faults, clients and operator for the duration, lets the system settle, and checks that it serves again.
func (s *soak) play(ctx context.Context) {
	faultContext, stopFaults := context.WithTimeout(ctx, s.options.Duration)
	defer stopFaults()
	loadContext, stopLoad := context.WithCancel(ctx)
	var load, faults sync.WaitGroup
	for number := range soakClients {
		load.Go(func() { newSoakClient(s, number).run(loadContext) })
	}
	load.Go(func() { s.operator.run(loadContext) })
	load.Go(func() { s.printProgress(loadContext) })
	faults.Go(func() { s.disturbControl(ctx, faultContext) })
	faults.Go(func() { s.disturbRouters(ctx, faultContext) })
	faults.Go(func() { s.replaceEndpoints(ctx, faultContext) })
	faults.Wait()
	s.journal.add("faults have ended")
	s.checkRecovery(ctx)
	stopLoad()
	load.Wait()
	s.operator.readBack(ctx)
	s.checker.judge()
}

// checkRecovery requires that each router serves again within the settle time.
func (s *soak) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for router := range s.world.options.routerCount() {
		one := ask{router: router, path: ledgerPath + "recovery", key: tenantKey}
		for number := 0; ; number++ {
			got, err := s.world.send(ctx, 9_000_000+router*1000+number, one)
			if err == nil && got.status == 200 {
				break
			}
			if !sleep(ctx, attemptBackoff) {
				s.checker.broken("RECOVER", time.Now(), "router %d serves nothing %s after the last fault: status %d, error %v",
					router+1, settleTime, got.status, err)
				return
			}
		}
	}
}

func (s *soak) printProgress(ctx context.Context) {
	for sleep(ctx, progressInterval) {
		requests, served := s.checker.progress()
		faults, departures, _ := s.counts()
		s.world.printf("%6.1f s: %d requests, %d served, %d changes, %d faults, %d departures", time.Since(s.journal.startedAt).Seconds(),
			requests, served, s.operator.changeCount(), faults, departures)
	}
}

// counts returns how many faults and departures of endpoints there were, and how many answers were sent a second time.
func (s *soak) counts() (faults, departures, surplus int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults, s.departures, s.surplus
}

// report prints the summary, and the events around the first broken rule.
func (s *soak) report() error {
	summary := s.checker.summary()
	summary.Seed, summary.Mode = s.options.Seed, s.mode.String()
	summary.Processes = instances + s.world.options.routerCount()
	summary.Seconds = time.Since(s.journal.startedAt).Seconds()
	summary.Faults, summary.Departures, summary.Surplus = s.counts()
	summary.Changes, summary.SlowestChange = s.operator.changeCount(), s.operator.slowest().Seconds()
	first := s.checker.first()
	if first != nil {
		for _, line := range s.journal.around(first.at, eventsShownBefore, eventsShownAfter) {
			s.world.printf("%s", line)
		}
	}
	if s.options.JSON {
		text, err := json.Marshal(summary)
		if err != nil {
			return fmt.Errorf("summary: %w", err)
		}
		s.world.printf("%s", text)
	} else {
		s.world.printf("seed %d, %s: %d requests, %d served; %d attempts, %d promised, %d unanswered; %d changes, the slowest %.1f s; %d faults, %d departures, %d surplus answers",
			summary.Seed, summary.Mode, summary.Requests, summary.Served, summary.Attempts, summary.Promised, summary.Unanswered,
			summary.Changes, summary.SlowestChange, summary.Faults, summary.Departures, summary.Surplus)
	}
	if first != nil {
		return fmt.Errorf("%w: seed %d: %s", ErrRuleBroken, s.options.Seed, first.text)
	}
	if summary.Served == 0 || summary.Changes == 0 {
		return fmt.Errorf("%w: seed %d: nothing was played (%d served, %d changes)", ErrRuleBroken, s.options.Seed, summary.Served, summary.Changes)
	}
	return nil
}
