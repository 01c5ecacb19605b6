package system

import (
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"
)

// newTestSoak returns a run without processes, for its checker.
func newTestSoak(t *testing.T) *soak {
	t.Helper()
	w := &world{options: Options{Out: io.Discard}, directory: t.TempDir(), graceSeconds: soakGraceSeconds}
	return newSoak(w, SoakOptions{Seed: 3})
}

// record records one request with its attempts, and that often runs of it at endpoints.
func (s *soak) record(id, model string, runs int, attempts ...attemptResult) {
	r := &soakRequest{id: id, model: model, path: ledgerPath}
	if model != "" {
		r.path = writerPath
	}
	s.checker.begin(r)
	for range runs {
		s.checker.recordRun("i-1", id)
	}
	for _, a := range attempts {
		s.checker.recordAttempt(s, r, a)
	}
}

// Each rule is found broken where it is, and not where it holds.
func TestSoakFindsBrokenRules(t *testing.T) {
	now := time.Now()
	good := attemptResult{
		sentAt: now, endedAt: now, status: 200, complete: true, signed: true, events: eventsEach, inOrder: true, ran: true,
	}
	unsigned, foreign, short, disordered := good, good, good, good
	unsigned.signed = false
	foreign.foreign = true
	short.events--
	disordered.inOrder = false
	refused := attemptResult{sentAt: now, endedAt: now, status: 503, complete: true}
	cut := attemptResult{
		sentAt: now, deadline: now.Add(soakDeadline), endedAt: now.Add(time.Second), status: 200, signed: true, inOrder: true, ran: true,
		err: errors.New("cut"),
	}
	expired := cut
	expired.err = os.ErrDeadlineExceeded
	early, atDeadline := cut, cut
	early.deadline = cut.endedAt.Add(10 * time.Millisecond)
	atDeadline.deadline = cut.endedAt.Add(deadlineRounding / 2)
	crossed := attemptResult{sentAt: now, deadline: now.Add(soakDeadline), endedAt: now.Add(time.Millisecond), err: io.EOF}
	late := attemptResult{sentAt: now, deadline: now.Add(soakDeadline), endedAt: now.Add(time.Second), err: io.EOF}
	denied := attemptResult{sentAt: now, endedAt: now, status: 431, complete: true}
	for name, c := range map[string]struct {
		broken string
		play   func(s *soak)
	}{
		"served":                    {"", func(s *soak) { s.record("r", "", 1, good) }},
		"served after a refusal":    {"", func(s *soak) { s.record("r", "", 1, refused, good) }},
		"success of no endpoint":    {"MIXED", func(s *soak) { s.record("r", "", 1, unsigned) }},
		"answer to another request": {"MIXED", func(s *soak) { s.record("r", "", 1, foreign) }},
		"short, but complete":       {"MIXED", func(s *soak) { s.record("r", "m", 1, short) }},
		"events out of order":       {"ORDER", func(s *soak) { s.record("r", "m", 1, disordered) }},
		"sent after an end":         {"DRAIN", func(s *soak) { s.arriveAfterEnd(drainTimeout + time.Millisecond) }},
		"sent soon after an end":    {"", func(s *soak) { s.arriveAfterEnd(drainTimeout - time.Second) }},
		"sent after an end by a router that was suspended": {"", func(s *soak) {
			s.unplanned("router-1")
			s.arriveAfterEnd(drainTimeout + time.Millisecond)
		}},
		"sent after an end while control instances fail": {"DRAIN", func(s *soak) {
			s.unplanned("control-1")
			s.arriveAfterEnd(drainTimeout + time.Millisecond)
		}},
		"never run":                   {"", func(s *soak) { s.record("r", "", 0, refused, refused) }},
		"ran twice":                   {"TWICE", func(s *soak) { s.record("r", "", 2, refused, good) }},
		"a stream taken up elsewhere": {"", func(s *soak) { s.record("r", "m", 2, good) }},
		"refused, yet run":            {"REFUSED", func(s *soak) { s.record("r", "", 1, refused) }},
		"cut around SIGTERM":          {"LOST", func(s *soak) { s.terminated(now.Add(-4 * time.Second)); s.record("r", "m", 1, cut) }},
		"cut at the exit, sent early": {"", func(s *soak) {
			s.terminated(now.Add(-2900 * time.Millisecond))
			s.record("r", "m", 1, longerBy(cut, 4*time.Second))
		}},
		"cut at the exit, sent late": {"LOST", func(s *soak) {
			s.terminated(now.Add(-3100 * time.Millisecond))
			s.record("r", "m", 1, longerBy(cut, 4*time.Second))
		}},
		"out of time":                       {"", func(s *soak) { s.terminated(now.Add(-4 * time.Second)); s.record("r", "m", 1, expired) }},
		"cut by the router at the deadline": {"", func(s *soak) { s.terminated(now.Add(-time.Second)); s.record("r", "m", 1, atDeadline) }},
		"cut shortly before the deadline":   {"LOST", func(s *soak) { s.terminated(now.Add(-time.Second)); s.record("r", "m", 1, early) }},
		"crossed a close":                   {"", func(s *soak) { s.terminated(now.Add(-time.Second)); s.record("r", "", 0, crossed) }},
		"read, and closed without answer":   {"LOST", func(s *soak) { s.terminated(now.Add(-time.Second)); s.record("r", "", 0, late) }},
		"cut around SIGTERM, after trouble": {"", func(s *soak) {
			s.terminated(now.Add(-time.Second))
			s.unplanned("control-1")
			s.record("r", "m", 1, cut)
		}},
		"cut by sound routers, often":  {"LOST", func(s *soak) { s.recordMany(unansweredSound+1, 1, cut) }},
		"cut by sound routers, seldom": {"", func(s *soak) { s.recordMany(unansweredSound, 1, cut) }},
		"denied often":                 {"DENIED", func(s *soak) { s.recordMany(deniedAllowed+1, 0, denied) }},
		"denied seldom":                {"", func(s *soak) { s.recordMany(deniedAllowed, 0, denied) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSoak(t)
			c.play(s)
			s.checker.judge()
			first := s.checker.first()
			switch {
			case first == nil && c.broken != "":
				t.Errorf("no rule is broken, want %s", c.broken)
			case first != nil && (c.broken == "" || !strings.HasPrefix(first.text, c.broken+":")):
				t.Errorf("got %q, want %q", first.text, c.broken)
			}
		})
	}
}

// arriveAfterEnd has the first router's request arrive at an endpoint whose end was acknowledged so long ago.
func (s *soak) arriveAfterEnd(ago time.Duration) {
	s.checker.recordEnd("i-1", time.Now().Add(-ago))
	s.checker.begin(&soakRequest{id: "r"})
	s.checker.beginAttempt("r", 0)
	s.checker.recordArrival(s, "i-1", "r")
}

func longerBy(a attemptResult, more time.Duration) attemptResult {
	a.endedAt = a.endedAt.Add(more)
	return a
}

// terminated records a SIGTERM of the first router.
func (s *soak) terminated(at time.Time) { s.disturbanceOf("router-1").termAt = at }

// recordMany records requests that had the same attempt.
func (s *soak) recordMany(count, runs int, attempt attemptResult) {
	for i := range count {
		s.record(strings.Repeat("r", i+1), "m", runs, attempt)
	}
}

// A head is allowed only if every version that may be in force allows it.
func TestAllowedHeadIsThatOfAllVersionsInForce(t *testing.T) {
	now := time.Now()
	old, recent := now.Add(-2*inForceAfter), now.Add(-inForceAfter/2)
	for name, c := range map[string]struct {
		versions []headLimit
		want     int
	}{
		"raised long ago":          {[]headLimit{{smallHeadLimit, old}, {largeHeadLimit, old}}, largeHeadLimit},
		"raised just now":          {[]headLimit{{smallHeadLimit, old}, {largeHeadLimit, recent}}, smallHeadLimit},
		"lowering is announced":    {[]headLimit{{largeHeadLimit, old}, {smallHeadLimit, time.Time{}}}, smallHeadLimit},
		"raising is announced":     {[]headLimit{{smallHeadLimit, old}, {largeHeadLimit, time.Time{}}}, smallHeadLimit},
		"lowered for a short time": {[]headLimit{{largeHeadLimit, old}, {smallHeadLimit, recent}, {largeHeadLimit, recent}}, smallHeadLimit},
	} {
		timeline := limitsTimeline{versions: c.versions}
		if got := timeline.allowedHead(now); got != c.want {
			t.Errorf("%s: heads of %d bytes, want %d", name, got, c.want)
		}
	}
}
