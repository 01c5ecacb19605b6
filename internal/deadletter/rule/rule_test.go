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
		Automatic: true, MaxResends: 3, LastDate: time.Hour, FirstRate: 1, MaxRate: 20, Growth: 0.5,
		Backoff: 2 * time.Second, MaxBackoff: time.Minute, Jitter: 0.2, SlotsShare: 0.25, HeldShare: 0.1, Lag: 250 * time.Millisecond,
	}
)

func TestMay(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	ground, upper := Place{"s1", "ground"}, Place{"s2", "upper"}
	both := []Place{ground, upper}
	ran := Facts{MayRun: true, RanPeer: "s1", RanFloor: "ground", RanAt: at(0), Window: 8 * time.Second, Failed: at(1)}
	with := func(f Facts, change func(*Facts)) Facts { change(&f); return f }
	guarded := with(ran, func(f *Facts) { f.Effect, f.Group = raventrestle.Keyed, raventrestle.DedupZone })
	single := with(ran, func(f *Facts) { f.Effect = raventrestle.NonIdempotent })
	asked := func(f *Facts) { f.Asked = true }
	for name, c := range map[string]struct {
		f      Facts
		now    time.Time
		places []Place
		want   Reason
	}{
		"free, may have run":               {ran, at(2), both, Allowed},
		"single_shot, may have run":        {single, at(2), both, MayHaveRun},
		"single_shot, may have run, asked": {with(single, asked), at(2), both, MayHaveRun},
		"single_shot, never ran":           {with(single, func(f *Facts) { f.MayRun = false }), at(2), both, Allowed},
		"guarded in its window":            {guarded, at(2), both, Allowed},
		"guarded, its floor gone":          {guarded, at(2), []Place{upper}, PlaceGone},
		"guarded, its floor gone, asked":   {with(guarded, asked), at(2), []Place{upper}, PlaceGone},
		"guarded, the window all but over": {guarded, at(7.9), both, WindowOver},
		"guarded, window over, asked":      {with(guarded, asked), at(9), both, WindowOver},
		"guarded by endpoint":              {with(guarded, func(f *Facts) { f.Group = raventrestle.DedupTarget }), at(2), []Place{{"s3", "ground"}}, PlaceGone},
		"guarded by all":                   {with(guarded, func(f *Facts) { f.Group = raventrestle.DedupDestination }), at(2), []Place{upper}, Allowed},
		"floor unknown":                    {with(guarded, func(f *Facts) { f.RanFloor = "" }), at(2), []Place{{"s9", ""}}, PlaceGone},
		"nobody listed":                    {ran, at(2), nil, Unlisted},
		"resting":                          {with(ran, func(f *Facts) { f.NotBefore = at(5) }), at(2), both, Resting},
		"resends used":                     {with(ran, func(f *Facts) { f.Resends = 3 }), at(2), both, ResendsUsed},
		"resends used, asked":              {with(with(ran, asked), func(f *Facts) { f.Resends = 3 }), at(2), both, Allowed},
		"past its last date":               {ran, at(3700), both, TooOld},
		"out":                              {with(ran, func(f *Facts) { f.State = Out }), at(2), both, BeingSent},
		"delivered":                        {with(ran, func(f *Facts) { f.State = Delivered }), at(2), both, HasEnd},
		"discarded, asked":                 {with(with(ran, asked), func(f *Facts) { f.State = Discarded }), at(2), both, HasEnd},
	} {
		t.Run(name, func(t *testing.T) {
			if got := limits.May(c.f, c.now, c.places); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
			if c.want.Sentence() == string(c.want) {
				t.Fatal("no sentence for an operator")
			}
		})
	}
}

// Whatever else holds, what May allows stays within the class's allowance.
func TestNeverBeyondAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		second := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most*1000).Draw(t, name)) * time.Millisecond
		}
		f := Facts{
			State:  State(rapid.IntRange(0, 4).Draw(t, "state")),
			Effect: raventrestle.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")),
			Group:  raventrestle.DedupScope(rapid.IntRange(0, 2).Draw(t, "group")), Window: second("window", 10),
			MayRun: rapid.Bool().Draw(t, "may run"), RanPeer: "p1", RanFloor: "a", RanAt: epoch.Add(second("ran", 10)),
			Failed: epoch.Add(second("failed", 20)), Resends: rapid.IntRange(0, 5).Draw(t, "resends"),
			NotBefore: epoch.Add(second("not before", 20)), Asked: rapid.Bool().Draw(t, "asked"),
		}
		now := epoch.Add(second("now", 30))
		place := rapid.SampledFrom([]Place{{"p1", "a"}, {"p2", "a"}, {"p3", "b"}, {"p4", ""}})
		places := rapid.SliceOfN(place, 0, 3).Draw(t, "places")
		if limits.May(f, now, places) != Allowed {
			return
		}
		if f.State != Held {
			t.Fatal("sent though it has its end or is out")
		}
		if !f.MayRun || f.Effect == raventrestle.Idempotent {
			return
		}
		if f.Effect == raventrestle.NonIdempotent {
			t.Fatal("single_shot sent again")
		}
		if !now.Before(f.RanAt.Add(f.Window)) {
			t.Fatal("guarded sent after its window")
		}
		if b := limits.Budget(f, time.Hour, now); now.Add(b).After(f.RanAt.Add(f.Window)) {
			t.Fatal("its budget outlasts the window")
		}
		if !slices.ContainsFunc(places, f.Reaches) {
			t.Fatal("nowhere to go")
		}
	})
}

// A destination's dead letters wait for a delivery, then go one at a time; no more are out than were
// delivered since, and one. A failure shuts the pace for a rest that doubles.
func TestPaceStartsWithOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := NewPace(limits), epoch
		out, delivered := 0, 0
		var shut time.Time
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"begin", "begin", "ok", "fail", "fresh ok", "fresh fail", "back"}).Draw(t, "what") {
			case "begin":
				if p.May(now, false) == Allowed {
					if now.Before(shut) {
						t.Fatalf("begun while shut")
					}
					p.Begin(now)
					if out++; out > delivered+1 {
						t.Fatalf("%d out after %d deliveries", out, delivered)
					}
				}
			case "ok":
				if out > 0 {
					out--
					p.Saw(now, true, true, 0.5)
					if !now.Before(shut) {
						delivered++
					}
				}
			case "fail":
				if out > 0 {
					out, delivered = out-1, 0
					p.Saw(now, false, true, 0.5)
					shut = now.Add(limits.Backoff)
				}
			case "fresh ok":
				p.Saw(now, true, false, 0.5)
			case "fresh fail":
				p.Saw(now, false, false, 0.5)
				delivered = 0
				if p.May(now, true) != Resting {
					t.Fatal("no rest after a failure")
				}
			case "back":
				if out > 0 {
					out--
					p.Back()
				}
			}
		}
	})
	p := NewPace(limits)
	if got := p.May(epoch, false); got != NotSeen {
		t.Fatal(got)
	}
	if got := p.May(epoch, true); got != Allowed {
		t.Fatal(got)
	}
}

// While a destination may be cold, resends go one at a time at the first rate, whatever they deliver.
func TestPaceKeepsToTheFirstRateWhileCold(t *testing.T) {
	l := limits
	l.Cold = 12 * time.Second
	p := NewPace(l)
	p.Saw(epoch, true, false, 0.5)
	cold, warm := 0, 0
	for ms := range 24_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if p.May(now, false) != Allowed {
			continue
		}
		if p.Begin(now); now.Sub(epoch) < l.Cold {
			cold++
		} else {
			warm++
		}
		p.Saw(now, true, true, 0.5)
	}
	if cold < 12 || cold > 13 || warm < 50 {
		t.Fatalf("%d in the first 12 s at 1 a second, %d after", cold, warm)
	}
}

func TestRestDoubles(t *testing.T) {
	for failures, want := range map[int]time.Duration{1: 2, 2: 4, 3: 8, 6: 60, 1000: 60} {
		if got := limits.Rest(failures, 0.5); got != want*time.Second {
			t.Errorf("%d: %v", failures, got)
		}
		lo, hi := limits.Rest(failures, 0), limits.Rest(failures, 0.999999)
		if lo < want*time.Second*79/100 || hi > want*time.Second*121/100 || lo >= hi {
			t.Errorf("%d: %v to %v", failures, lo, hi)
		}
	}
}

// Resends take only what fresh messages leave.
func TestRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := Load{Slots: rapid.IntRange(1, 64).Draw(t, "slots"), MostHeld: rapid.IntRange(1, 500).Draw(t, "most")}
		x.Out = rapid.IntRange(0, x.Slots).Draw(t, "out")
		x.Held = rapid.IntRange(0, x.MostHeld).Draw(t, "held")
		x.Resends = rapid.IntRange(0, x.Held).Draw(t, "resends")
		n := limits.Room(x)
		if n > 0 && (x.Out+n >= x.Slots || 4*(x.Held+n) > 3*x.MostHeld) {
			t.Fatalf("%d more of %+v leave fresh messages nothing", n, x)
		}
		if n > 0 && x.Resends+n > max(1, x.Slots/4) {
			t.Fatalf("%d more of %+v are over their share", n, x)
		}
		if c := limits.Crowded(x); c > x.Resends || n > 0 && c > 0 {
			t.Fatalf("%d leave and %d come", c, n)
		}
	})
	if got := limits.Room(Load{Slots: 12, MostHeld: 50}); got != 3 {
		t.Fatal(got)
	}
}

func TestGiveWay(t *testing.T) {
	ws := []Weight{{false, 5, 1}, {false, 1, 9}, {true, 5, 7}, {false, 1, 2}, {true, 1, 8}}
	slices.SortFunc(ws, Weight.Before)
	if want := []Weight{{true, 1, 8}, {true, 5, 7}, {false, 1, 2}, {false, 1, 9}, {false, 5, 1}}; !slices.Equal(ws, want) {
		t.Fatal(ws)
	}
}
