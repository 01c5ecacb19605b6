package scoring

import "time"

// Service has recovered after a fault if, in every later window of RecoveryWindow, its share is at least RecoveredShare of
// the share before the fault.
const (
	RecoveryWindow = 5 * time.Second
	RecoveredShare = 0.95
)

// Recovery describes how service recovered after a fault.
type Recovery struct {
	ShareBefore float64 `json:"before"` // earned share of the requested value, of messages submitted before the fault
	// RecoveryTime is the time from the fault to the start of the first window of RecoveryWindow from which on every window
	// earns at least RecoveredShare of ShareBefore. It is 0 if service was never below that, and negative if service did not
	// recover within the run.
	RecoveryTime time.Duration `json:"after_ns"`
}

// MeasureRecovery measures the recovery after a fault from the messages of a run whose traffic had the given length, in
// steps of one second. A message counts in the second in which it was submitted, so one that was submitted during the fault
// and delivered within its latency target counts as served in full.
func MeasureRecovery(messages []Message, fault, length time.Duration) Recovery {
	var before valueSum
	seconds := make([]valueSum, max(int((length-fault)/time.Second), 0))
	for _, m := range messages {
		earned := m.EarnedValue()
		if m.SubmittedAt < fault {
			before = valueSum{before.earned + earned, before.requested + m.Value}
		} else if i := int((m.SubmittedAt - fault) / time.Second); i < len(seconds) {
			seconds[i] = valueSum{seconds[i].earned + earned, seconds[i].requested + m.Value}
		}
	}
	r := Recovery{ShareBefore: before.share(), RecoveryTime: -1}
	windowSeconds := int(RecoveryWindow / time.Second)
	for i := len(seconds) - windowSeconds; i >= 0; i-- { // backwards from the last complete window, while service had recovered
		var window valueSum
		for _, second := range seconds[i : i+windowSeconds] {
			window = valueSum{window.earned + second.earned, window.requested + second.requested}
		}
		if window.share() < RecoveredShare*r.ShareBefore {
			break
		}
		r.RecoveryTime = time.Duration(i) * time.Second
	}
	return r
}

// MaxIncrease returns the largest increase within one second of a counter that is read once per second and never
// decreases, and the index of that second.
func MaxIncrease(readings []int) (increase, second int) {
	previous := 0
	for i, reading := range readings {
		if reading-previous > increase {
			increase, second = reading-previous, i
		}
		previous = reading
	}
	return increase, second
}
