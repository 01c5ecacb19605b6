package scoring

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestEarnedValueDecaysAfterTarget(t *testing.T) {
	m := Message{Value: 4, LatencyTarget: 2 * time.Second, Deadline: 20 * time.Second, MinLateShare: 0.4}
	for deliveryTime, want := range map[time.Duration]float64{
		-1: 0, 0: 4, 2 * time.Second: 4, 4 * time.Second: 2, 6 * time.Second: 1.6,
		20 * time.Second: 1.6, 20*time.Second + 1: 0, 3 * time.Second: 4 * math.Sqrt2 / 2,
	} {
		m.DeliveryTime = deliveryTime
		if got := m.EarnedValue(); !almostEqual(got, want) {
			t.Errorf("%v: %v, want %v", deliveryTime, got, want)
		}
	}
}

// In seconds 20 to 29 of forty, no message of class b is delivered.
func TestScoreParts(t *testing.T) {
	var messages []Message
	for second := range 40 {
		for _, class := range []string{"a", "b"} {
			m := Message{Class: class, Tenant: "h" + class, SubmittedAt: time.Duration(second) * time.Second, Value: 1, LatencyTarget: time.Second, Deadline: time.Minute}
			if class == "b" && second >= 20 && second < 30 {
				m.DeliveryTime = -1
			}
			messages = append(messages, m)
		}
	}
	s := ScoreService(messages, 40*time.Second, map[string]float64{"ha": 0.5, "hb": 0.5})
	if !almostEqual(s.Overall, 70./80) || !almostEqual(s.WorstWindow, 0.5) || s.WorstWindowStart != 20*time.Second || s.WorstClass != "b" || s.WorstTenant != "hb" ||
		!almostEqual(s.ByClass["b"], 0.75) || !almostEqual(s.Score, 0.4*70/80+0.3*0.5+0.2*0.75+0.1*0.75) {
		t.Fatalf("%+v", s)
	}
	// The part of tenant hb is 20 of the 40 messages that it submits. As 30 are delivered, its share is 1.
	s = ScoreService(messages, 40*time.Second, map[string]float64{"ha": 0.75, "hb": 0.25})
	if !almostEqual(s.ByTenant["hb"], 1) {
		t.Fatalf("%+v", s)
	}
}

// The score is between 0 and 1, it is 1 if all messages are delivered immediately, and an earlier delivery of a message
// never lowers it.
func TestScoreIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var messages []Message
		share := map[string]float64{"x": 0.6, "y": 0.4}
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			messages = append(messages, Message{
				Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), Tenant: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "hotel"),
				SubmittedAt:  time.Duration(rapid.IntRange(0, 29_999).Draw(t, "born")) * time.Millisecond,
				DeliveryTime: time.Duration(rapid.IntRange(-1, 5000).Draw(t, "took")) * time.Millisecond, Value: 2, LatencyTarget: time.Second, Deadline: 4 * time.Second, MinLateShare: 0.2,
			})
		}
		before := ScoreService(messages, 30*time.Second, share)
		if before.Score < 0 || before.Score > 1+1e-9 {
			t.Fatal(before)
		}
		i := rapid.IntRange(0, len(messages)-1).Draw(t, "which")
		messages[i].DeliveryTime = 0
		if after := ScoreService(messages, 30*time.Second, share); after.Score < before.Score-1e-9 {
			t.Fatalf("an earlier delivery lowered %v to %v", before, after)
		}
		for i := range messages {
			messages[i].DeliveryTime = 0
		}
		if s := ScoreService(messages, 30*time.Second, share); !almostEqual(s.Score, 1) {
			t.Fatal(s)
		}
	})
}

func TestMeasureRecovery(t *testing.T) {
	for name, test := range map[string]struct {
		lost map[int]bool // seconds whose messages are not delivered
		want Recovery
	}{
		"no loss":                      {nil, Recovery{1, 0}},
		"three seconds of loss":        {map[int]bool{10: true, 11: true, 12: true}, Recovery{1, 3 * time.Second}},
		"second loss after a recovery": {map[int]bool{10: true, 18: true}, Recovery{1, 9 * time.Second}},
		"loss until the end":           {map[int]bool{28: true}, Recovery{1, -1}},
		"same share before and after":  {map[int]bool{1: true, 3: true, 5: true, 7: true, 9: true, 12: true, 17: true}, Recovery{0.5, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			var messages []Message
			for second := range 30 {
				m := Message{SubmittedAt: time.Duration(second)*time.Second + time.Millisecond, DeliveryTime: time.Second, Value: 1, LatencyTarget: 2 * time.Second, Deadline: 4 * time.Second}
				if test.lost[second] {
					m.DeliveryTime = -1
				}
				messages = append(messages, m)
			}
			if got := MeasureRecovery(messages, 10*time.Second, 30*time.Second); got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
	if got := MeasureRecovery(nil, 10*time.Second, 12*time.Second); got.RecoveryTime != -1 {
		t.Errorf("a run without a complete window after the fault: %+v", got)
	}
}

func TestMaxIncrease(t *testing.T) {
	for _, test := range []struct {
		readings         []int
		increase, second int
	}{{nil, 0, 0}, {[]int{0, 0}, 0, 0}, {[]int{4, 5, 11, 12}, 6, 2}, {[]int{7, 8}, 7, 0}, {[]int{1, 3, 5}, 2, 1}} {
		if increase, second := MaxIncrease(test.readings); increase != test.increase || second != test.second {
			t.Errorf("%v: increase of %d in second %d, want %d in second %d", test.readings, increase, second, test.increase, test.second)
		}
	}
}
