package rule

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle"
)

var (
	epoch  = time.Unix(1_800_000_000, 0)
	limits = Limits{
		Automatic: true, MaxResends: 3, MaxAge: time.Hour, InitialRate: 1, MaxRate: 20, Growth: 0.5,
		Backoff: 2 * time.Second, MaxBackoff: time.Minute, Jitter: 0.2, SlotsShare: 0.25, HeldShare: 0.1, DelayMargin: 250 * time.Millisecond,
	}
)

func TestCheck(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	ground, upper := Endpoint{"s1", "ground"}, Endpoint{"s2", "upper"}
	both := []Endpoint{ground, upper}
	ran := Facts{MayHaveRun: true, FirstRunPeer: "s1", FirstRunZone: "ground", FirstRunAt: at(0), DedupWindow: 8 * time.Second, FailedAt: at(1)}
	with := func(f Facts, change func(*Facts)) Facts { change(&f); return f }
	guarded := with(ran, func(f *Facts) { f.Idempotency, f.DedupScope = raventrestle.Keyed, raventrestle.DedupZone })
	single := with(ran, func(f *Facts) { f.Idempotency = raventrestle.NonIdempotent })
	requested := func(f *Facts) { f.Requested = true }
	for name, c := range map[string]struct {
		f         Facts
		now       time.Time
		endpoints []Endpoint
		want      Reason
	}{
		"repeatable, may have run":                     {ran, at(2), both, Allowed},
		"single_shot, may have run":                    {single, at(2), both, MayHaveRun},
		"single_shot, may have run, requested":         {with(single, requested), at(2), both, MayHaveRun},
		"single_shot, never ran":                       {with(single, func(f *Facts) { f.MayHaveRun = false }), at(2), both, Allowed},
		"guarded, within its window":                   {guarded, at(2), both, Allowed},
		"guarded, no endpoint in its zone":             {guarded, at(2), []Endpoint{upper}, NoDedupEndpoint},
		"guarded, no endpoint in its zone, requested":  {with(guarded, requested), at(2), []Endpoint{upper}, NoDedupEndpoint},
		"guarded, window over within the delay margin": {guarded, at(7.9), both, DedupWindowOver},
		"guarded, window over, requested":              {with(guarded, requested), at(9), both, DedupWindowOver},
		"deduplicated by endpoint":                     {with(guarded, func(f *Facts) { f.DedupScope = raventrestle.DedupTarget }), at(2), []Endpoint{{"s3", "ground"}}, NoDedupEndpoint},
		"deduplicated by destination":                  {with(guarded, func(f *Facts) { f.DedupScope = raventrestle.DedupDestination }), at(2), []Endpoint{upper}, Allowed},
		"guarded, zone unknown":                        {with(guarded, func(f *Facts) { f.FirstRunZone = "" }), at(2), []Endpoint{{"s9", ""}}, NoDedupEndpoint},
		"no endpoint listed":                           {ran, at(2), nil, NoEndpoint},
		"backing off":                                  {with(ran, func(f *Facts) { f.NotBefore = at(5) }), at(2), both, BackingOff},
		"resends used up":                              {with(ran, func(f *Facts) { f.Resends = 3 }), at(2), both, ResendsUsed},
		"resends used up, requested":                   {with(with(ran, requested), func(f *Facts) { f.Resends = 3 }), at(2), both, Allowed},
		"too old":                                      {ran, at(3700), both, TooOld},
		"being sent":                                   {with(ran, func(f *Facts) { f.State = Resending }), at(2), both, BeingSent},
		"delivered":                                    {with(ran, func(f *Facts) { f.State = Delivered }), at(2), both, AlreadyFinal},
		"discarded, requested":                         {with(with(ran, requested), func(f *Facts) { f.State = Discarded }), at(2), both, AlreadyFinal},
	} {
		t.Run(name, func(t *testing.T) {
			if got := limits.Check(c.f, c.now, c.endpoints); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
			if c.want.Explanation() == string(c.want) {
				t.Fatal("the reason has no explanation for operators")
			}
		})
	}
}

// Whatever the state, the request and the endpoints are, Check allows no resend that the class forbids.
func TestCheckNeverExceedsClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		second := func(name string, maxSeconds int) time.Duration {
			return time.Duration(rapid.IntRange(0, maxSeconds*1000).Draw(t, name)) * time.Millisecond
		}
		f := Facts{
			State:       State(rapid.IntRange(0, 4).Draw(t, "state")),
			Idempotency: raventrestle.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")),
			DedupScope:  raventrestle.DedupScope(rapid.IntRange(0, 2).Draw(t, "group")), DedupWindow: second("window", 10),
			MayHaveRun: rapid.Bool().Draw(t, "may have run"), FirstRunPeer: "p1", FirstRunZone: "a", FirstRunAt: epoch.Add(second("ran", 10)),
			FailedAt: epoch.Add(second("failed", 20)), Resends: rapid.IntRange(0, 5).Draw(t, "resends"),
			NotBefore: epoch.Add(second("not before", 20)), Requested: rapid.Bool().Draw(t, "requested"),
		}
		now := epoch.Add(second("now", 30))
		endpoint := rapid.SampledFrom([]Endpoint{{"p1", "a"}, {"p2", "a"}, {"p3", "b"}, {"p4", ""}})
		endpoints := rapid.SliceOfN(endpoint, 0, 3).Draw(t, "places")
		if limits.Check(f, now, endpoints) != Allowed {
			return
		}
		if f.State != Held {
			t.Fatal("allowed in a final state or while being sent")
		}
		if !f.MayHaveRun || f.Idempotency == raventrestle.Idempotent {
			return
		}
		if f.Idempotency == raventrestle.NonIdempotent {
			t.Fatal("single_shot message allowed again")
		}
		if !now.Before(f.FirstRunAt.Add(f.DedupWindow)) {
			t.Fatal("guarded message allowed after its window")
		}
		if timeout := limits.ResendTimeout(f, time.Hour, now); now.Add(timeout).After(f.FirstRunAt.Add(f.DedupWindow)) {
			t.Fatal("the resend may last beyond the window")
		}
		if !slices.ContainsFunc(endpoints, f.AllowedAt) {
			t.Fatal("no endpoint may take the resend")
		}
	})
}

// Resends wait until the destination has delivered. From then on at most one more resend is in flight than
// were delivered since the last failure, and no resend begins during the backoff after a failure.
func TestPacerStartsWithOneResend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := NewPacer(limits), epoch
		inFlight, delivered := 0, 0
		var backoffUntil time.Time
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"begin", "begin", "ok", "fail", "fresh ok", "fresh fail", "release"}).Draw(t, "what") {
			case "begin":
				if p.Check(now, false) == Allowed {
					if now.Before(backoffUntil) {
						t.Fatalf("a resend began during the backoff")
					}
					p.Acquire(now)
					if inFlight++; inFlight > delivered+1 {
						t.Fatalf("%d resends in flight after %d deliveries", inFlight, delivered)
					}
				}
			case "ok":
				if inFlight > 0 {
					inFlight--
					p.RecordCall(now, true, true, 0.5)
					if !now.Before(backoffUntil) {
						delivered++
					}
				}
			case "fail":
				if inFlight > 0 {
					inFlight, delivered = inFlight-1, 0
					p.RecordCall(now, false, true, 0.5)
					backoffUntil = now.Add(limits.Backoff)
				}
			case "fresh ok":
				p.RecordCall(now, true, false, 0.5)
			case "fresh fail":
				p.RecordCall(now, false, false, 0.5)
				delivered = 0
				if p.Check(now, true) != BackingOff {
					t.Fatal("no backoff after a failure")
				}
			case "release":
				if inFlight > 0 {
					inFlight--
					p.Release()
				}
			}
		}
	})
	p := NewPacer(limits)
	if got := p.Check(epoch, false); got != NoDeliverySeen {
		t.Fatal(got)
	}
	if got := p.Check(epoch, true); got != Allowed {
		t.Fatal(got)
	}
}

// During the warm-up period resends go one at a time at the initial rate, even if all are delivered.
func TestPacerKeepsInitialRateDuringWarmUp(t *testing.T) {
	l := limits
	l.WarmUp = 12 * time.Second
	p := NewPacer(l)
	p.RecordCall(epoch, true, false, 0.5)
	duringWarmUp, afterWarmUp := 0, 0
	for ms := range 24_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if p.Check(now, false) != Allowed {
			continue
		}
		if p.Acquire(now); now.Sub(epoch) < l.WarmUp {
			duringWarmUp++
		} else {
			afterWarmUp++
		}
		p.RecordCall(now, true, true, 0.5)
	}
	if duringWarmUp < 12 || duringWarmUp > 13 || afterWarmUp < 50 {
		t.Fatalf("%d resends in the first 12 s at 1 per second, %d in the next 12 s", duringWarmUp, afterWarmUp)
	}
}

func TestBackoffDoubles(t *testing.T) {
	for failures, want := range map[int]time.Duration{1: 2, 2: 4, 3: 8, 6: 60, 1000: 60} {
		if got := limits.BackoffAfter(failures, 0.5); got != want*time.Second {
			t.Errorf("%d: %v", failures, got)
		}
		lo, hi := limits.BackoffAfter(failures, 0), limits.BackoffAfter(failures, 0.999999)
		if lo < want*time.Second*79/100 || hi > want*time.Second*121/100 || lo >= hi {
			t.Errorf("%d: %v to %v", failures, lo, hi)
		}
	}
}

// Resends stay within their share and leave the reserved capacity to fresh messages.
func TestResendCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := Load{Slots: rapid.IntRange(1, 64).Draw(t, "slots"), MaxHeld: rapid.IntRange(1, 500).Draw(t, "max held")}
		load.InFlight = rapid.IntRange(0, load.Slots).Draw(t, "in flight")
		load.Held = rapid.IntRange(0, load.MaxHeld).Draw(t, "held")
		load.Resends = rapid.IntRange(0, load.Held).Draw(t, "resends")
		n := limits.ResendCapacity(load)
		if n > 0 && (load.InFlight+n >= load.Slots || 4*(load.Held+n) > 3*load.MaxHeld) {
			t.Fatalf("%d more resends at %+v leave no reserve for fresh messages", n, load)
		}
		if n > 0 && load.Resends+n > max(1, load.Slots/4) {
			t.Fatalf("%d more resends at %+v exceed their share", n, load)
		}
		if c := limits.ResendsToYield(load); c > load.Resends || n > 0 && c > 0 {
			t.Fatalf("%d resends yield although %d may begin", c, n)
		}
	})
	if got := limits.ResendCapacity(Load{Slots: 12, MaxHeld: 50}); got != 3 {
		t.Fatal(got)
	}
}

func TestEvictionOrder(t *testing.T) {
	ranks := []EvictionRank{{false, 5, 1}, {false, 1, 9}, {true, 5, 7}, {false, 1, 2}, {true, 1, 8}}
	slices.SortFunc(ranks, EvictionRank.Compare)
	if want := []EvictionRank{{true, 1, 8}, {true, 5, 7}, {false, 1, 2}, {false, 1, 9}, {false, 5, 1}}; !slices.Equal(ranks, want) {
		t.Fatal(ranks)
	}
}
