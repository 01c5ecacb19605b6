package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	catchUpTime   = 4 * time.Second // catch_up_s: a machine counts as lost for so long after its return
	maxSeries     = 5               // failures of one machine, one after the other
	maxDowntime   = 1500 * time.Millisecond
	maxUptime     = 2 * time.Second
	minUptime     = 200 * time.Millisecond
	lossMargin    = 50 * time.Millisecond // beyond catchUpTime, before the next machine is lost
	killAllChance = 0.15                  // of all series of faults at control instances
	wipeChance    = 0.6                   // that disks are lost after a series
	maxRestartGap = time.Second           // between the SIGTERMs of routers that are restarted in turn
	routerPause   = 1500 * time.Millisecond
	refusalWait   = time.Second // for a router that refuses a request, to be killed
)

// disturbance is what was done to a process last.
type disturbance struct {
	termAt      time.Time // of its last SIGTERM
	unplannedAt time.Time // until when it was disturbed otherwise
}

// unplanned records trouble at a process that lasts until now.
func (s *soak) unplanned(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disturbanceOf(name).unplannedAt = time.Now()
}

// disturbanceOf returns the entry of a process. The caller holds the mutex.
func (s *soak) disturbanceOf(name string) *disturbance {
	d := s.disturbance[name]
	if d == nil {
		d = &disturbance{}
		s.disturbance[name] = d
	}
	return d
}

// lastDisturbances returns when the process got its last SIGTERM, and until when any process had unplanned trouble.
func (s *soak) lastDisturbances(name string) (termAt, unplannedAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, d := range s.disturbance {
		if d.unplannedAt.After(unplannedAt) {
			unplannedAt = d.unplannedAt
		}
	}
	return s.disturbanceOf(name).termAt, unplannedAt
}

// undisturbed reports whether a process has had no unplanned trouble since the given time.
func (s *soak) undisturbed(name string, since time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.disturbanceOf(name).unplannedAt.Before(since)
}

func (s *soak) countFault(format string, arguments ...any) {
	s.journal.add(format, arguments...)
	s.mutex.Lock()
	s.faults++
	s.mutex.Unlock()
}

// between draws a duration.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}

// disturbControl lets one control instance after the other fail in series, and disks be lost, one machine at a time: the
// next one fails only catchUpTime after the last return. What has begun is finished after faults ends.
func (s *soak) disturbControl(ctx, faults context.Context) {
	random := s.random(1)
	for sleep(faults, between(random, 0, time.Second)) {
		order := random.Perm(instances)
		if s.mode != plannedFaults && random.Float64() < killAllChance {
			s.killAllControls(ctx, random)
		} else {
			s.failInSeries(ctx, faults, random, order[0])
		}
		sleep(ctx, catchUpTime+lossMargin)
		if s.mode == plannedFaults || random.Float64() >= wipeChance {
			continue
		}
		for _, number := range order[1:] {
			if faults.Err() != nil {
				return
			}
			s.loseDisk(ctx, random, number)
			sleep(ctx, catchUpTime+lossMargin)
		}
	}
}

// failInSeries lets one control instance fail several times.
func (s *soak) failInSeries(ctx, faults context.Context, random *rand.Rand, number int) {
	for range 1 + random.IntN(maxSeries) {
		downtime := between(random, 0, maxDowntime)
		kind := random.IntN(3)
		switch {
		case s.mode == plannedFaults || s.mode == allFaults && kind == 0:
			s.restartControl(ctx, number, downtime)
		case kind == 1:
			s.suspend(ctx, s.world.controls[number], downtime)
		default:
			s.countFault("control-%d is killed", number+1)
			s.kill(s.world.controls[number])
			sleep(ctx, downtime)
			s.relaunchControl(number)
		}
		if !sleep(faults, between(random, minUptime, maxUptime)) {
			return
		}
	}
}

func (s *soak) restartControl(ctx context.Context, number int, downtime time.Duration) {
	s.countFault("control-%d gets SIGTERM", number+1)
	s.terminate(ctx, s.world.controls[number])
	sleep(ctx, downtime)
	s.relaunchControl(number)
}

func (s *soak) killAllControls(ctx context.Context, random *rand.Rand) {
	s.countFault("all control instances are killed")
	for number := range instances {
		s.kill(s.world.controls[number])
	}
	sleep(ctx, between(random, 0, maxDowntime))
	for number := range instances {
		s.relaunchControl(number)
	}
}

func (s *soak) loseDisk(ctx context.Context, random *rand.Rand, number int) {
	s.countFault("control-%d loses its disk", number+1)
	s.kill(s.world.controls[number])
	if err := os.RemoveAll(s.world.dataDirectory(number)); err != nil {
		s.checker.broken("SOAK", time.Now(), "remove the disk of control-%d: %v", number+1, err)
	}
	sleep(ctx, between(random, 0, maxDowntime))
	s.relaunchControl(number)
}

func (s *soak) relaunchControl(number int) {
	w := s.world
	next, err := startProcess(w, "raventrestle-control", fmt.Sprintf("control-%d", number+1), w.controlSettings(number, false))
	if err != nil {
		s.checker.broken("SOAK", time.Now(), "start control-%d again: %v", number+1, err)
		return
	}
	w.controls[number] = next
	s.journal.add("control-%d is started again", number+1)
	if s.mode != plannedFaults {
		s.unplanned(next.name)
	}
}

// disturbRouters ends, kills, suspends and reloads routers, one after the other and beside the faults of the control
// instances.
func (s *soak) disturbRouters(ctx, faults context.Context) {
	random := s.random(2)
	for sleep(faults, between(random, 0, routerPause)) {
		number := random.IntN(len(s.world.routers))
		router := s.world.routers[number]
		downtime := between(random, 0, maxDowntime)
		kind := random.IntN(4)
		switch {
		case kind == 0:
			if !router.hasBegun() {
				continue // it would end by it
			}
			s.countFault("%s gets SIGHUP", router.name)
			_ = router.run.Process.Signal(syscall.SIGHUP) // it runs
		case s.mode == plannedFaults || s.mode == allFaults && kind == 1:
			s.restartRoutersInTurn(ctx, random)
		case kind == 2:
			s.suspend(ctx, router, downtime)
		default:
			s.killRouter(ctx, faults, random, number, downtime)
		}
	}
}

// killRouter kills a router: every other time the next one that refuses a request, right after it has said so.
func (s *soak) killRouter(ctx, faults context.Context, random *rand.Rand, number int, downtime time.Duration) {
	when := "is killed"
	if random.IntN(2) == 0 {
		awaiting, cancel := context.WithTimeout(faults, refusalWait)
		defer cancel()
		if refusing, found := s.checker.awaitRefusal(awaiting); found {
			number, when = refusing, "has refused a request and is killed"
		}
	}
	router := s.world.routers[number]
	s.countFault("%s %s", router.name, when)
	s.kill(router)
	sleep(ctx, downtime)
	s.relaunchRouter(number)
}

// restartRoutersInTurn sends SIGTERM to some or all routers, one soon after the other, so that several are ending at a time.
func (s *soak) restartRoutersInTurn(ctx context.Context, random *rand.Rand) {
	var restarts sync.WaitGroup
	order := random.Perm(len(s.world.routers))
	for _, number := range order[:1+random.IntN(len(order))] {
		router := s.world.routers[number]
		s.countFault("%s gets SIGTERM", router.name)
		restarts.Go(func() {
			s.terminate(ctx, router)
			s.relaunchRouter(number)
		})
		sleep(ctx, between(random, 0, maxRestartGap))
	}
	restarts.Wait()
}

func (s *soak) relaunchRouter(number int) {
	next, err := s.world.launchRouter(number)
	if err != nil {
		s.checker.broken("SOAK", time.Now(), "start router-%d again: %v", number+1, err)
		return
	}
	s.world.routers[number] = next
	s.journal.add("%s is started again", next.name)
}

// terminate sends SIGTERM and waits for the end of the process, which must come within its grace period.
func (s *soak) terminate(ctx context.Context, p *process) {
	s.mutex.Lock()
	s.disturbanceOf(p.name).termAt = time.Now()
	s.mutex.Unlock()
	waiting, cancel := context.WithTimeout(ctx, s.world.grace())
	defer cancel()
	if err := stopAll(waiting, []*process{p}); err != nil && ctx.Err() == nil && !p.endedAtItsStart() {
		s.checker.broken("DRAIN", time.Now(), "%s after SIGTERM: %v", p.name, err)
	}
	s.journal.add("%s has ended", p.name)
}

func (s *soak) kill(p *process) {
	s.unplanned(p.name)
	_ = p.run.Process.Kill() // it has ended by itself otherwise
	s.journal.add("%s has ended: %v", p.name, <-p.ended)
}

// suspend stops the process as a machine that freezes, and lets it go on.
func (s *soak) suspend(ctx context.Context, p *process, length time.Duration) {
	s.countFault("%s is suspended for %s", p.name, length.Round(time.Millisecond))
	s.unplanned(p.name)
	_ = p.run.Process.Signal(syscall.SIGSTOP) // it runs
	sleep(ctx, length)
	_ = p.run.Process.Signal(syscall.SIGCONT)
	s.unplanned(p.name)
	s.journal.add("%s goes on", p.name)
}
