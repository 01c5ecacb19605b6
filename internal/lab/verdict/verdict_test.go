package verdict

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestEarned(t *testing.T) {
	m := Message{Worth: 4, Aim: 2 * time.Second, Deadline: 20 * time.Second, Late: 0.4}
	for took, want := range map[time.Duration]float64{
		-1: 0, 0: 4, 2 * time.Second: 4, 4 * time.Second: 2, 6 * time.Second: 1.6,
		20 * time.Second: 1.6, 20*time.Second + 1: 0, 3 * time.Second: 4 * math.Sqrt2 / 2,
	} {
		m.Took = took
		if got := m.Earned(); !near(got, want) {
			t.Errorf("%v: %v, want %v", took, got, want)
		}
	}
}

// Forty seconds in which the seconds 20 to 29 deliver nothing of class b.
func TestOf(t *testing.T) {
	var all []Message
	for s := range 40 {
		for _, class := range []string{"a", "b"} {
			m := Message{Class: class, Hotel: "h" + class, Born: time.Duration(s) * time.Second, Worth: 1, Aim: time.Second, Deadline: time.Minute}
			if class == "b" && s >= 20 && s < 30 {
				m.Took = -1
			}
			all = append(all, m)
		}
	}
	s := Of(all, 40*time.Second, map[string]float64{"ha": 0.5, "hb": 0.5})
	if !near(s.Whole, 70./80) || !near(s.Worst, 0.5) || s.WorstAt != 20*time.Second || s.WorstClass != "b" || s.WorstHotel != "hb" ||
		!near(s.ByClass["b"], 0.75) || !near(s.Figure, 0.4*70/80+0.3*0.5+0.2*0.75+0.1*0.75) {
		t.Fatalf("%+v", s)
	}
	// Beyond its share, what a hotel loses does not count: of 40 asked, 20 are its share, 30 came.
	s = Of(all, 40*time.Second, map[string]float64{"ha": 0.75, "hb": 0.25})
	if !near(s.ByHotel["hb"], 1) {
		t.Fatalf("%+v", s)
	}
}

// The figure lies in [0, 1], is 1 if all came at once, and no message that came sooner lowers it.
func TestFigureIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Message
		share := map[string]float64{"x": 0.6, "y": 0.4}
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			all = append(all, Message{
				Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), Hotel: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "hotel"),
				Born: time.Duration(rapid.IntRange(0, 29_999).Draw(t, "born")) * time.Millisecond,
				Took: time.Duration(rapid.IntRange(-1, 5000).Draw(t, "took")) * time.Millisecond, Worth: 2, Aim: time.Second, Deadline: 4 * time.Second, Late: 0.2,
			})
		}
		before := Of(all, 30*time.Second, share)
		if before.Figure < 0 || before.Figure > 1+1e-9 {
			t.Fatal(before)
		}
		i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
		all[i].Took = 0
		if after := Of(all, 30*time.Second, share); after.Figure < before.Figure-1e-9 {
			t.Fatalf("%v fell to %v", before, after)
		}
		for i := range all {
			all[i].Took = 0
		}
		if s := Of(all, 30*time.Second, share); !near(s.Figure, 1) {
			t.Fatal(s)
		}
	})
}

func TestRecover(t *testing.T) {
	for name, c := range map[string]struct {
		lost map[int]bool // seconds whose messages are not delivered
		want Recovery
	}{
		"no harm":              {nil, Recovery{1, 0}},
		"three bad seconds":    {map[int]bool{10: true, 11: true, 12: true}, Recovery{1, 3 * time.Second}},
		"well, then bad again": {map[int]bool{10: true, 18: true}, Recovery{1, 9 * time.Second}},
		"bad to the end":       {map[int]bool{28: true}, Recovery{1, -1}},
		"half before as after": {map[int]bool{1: true, 3: true, 5: true, 7: true, 9: true, 12: true, 17: true}, Recovery{0.5, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			var all []Message
			for s := range 30 {
				m := Message{Born: time.Duration(s)*time.Second + time.Millisecond, Took: time.Second, Worth: 1, Aim: 2 * time.Second, Deadline: 4 * time.Second}
				if c.lost[s] {
					m.Took = -1
				}
				all = append(all, m)
			}
			if got := Recover(all, 10*time.Second, 30*time.Second); got != c.want {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
		})
	}
	if got := Recover(nil, 10*time.Second, 12*time.Second); got.After != -1 {
		t.Errorf("a run with no whole window after the fault: %+v", got)
	}
}

func TestPeak(t *testing.T) {
	for _, c := range []struct {
		readings     []int
		most, second int
	}{{nil, 0, 0}, {[]int{0, 0}, 0, 0}, {[]int{4, 5, 11, 12}, 6, 2}, {[]int{7, 8}, 7, 0}, {[]int{1, 3, 5}, 2, 1}} {
		if most, second := Peak(c.readings); most != c.most || second != c.second {
			t.Errorf("%v: %d in second %d, want %d in %d", c.readings, most, second, c.most, c.second)
		}
	}
}
