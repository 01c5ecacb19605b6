package verdict

import "time"

// Bounds of a recovery: service in a window is full again at this share of that before.
const (
	Sliding   = 5 * time.Second
	FullAgain = 0.95
)

// Recovery is how service came back after a fault.
type Recovery struct {
	Before float64 `json:"before"` // the share of the worth asked for that was earned, of messages born before the fault
	// After is the time from the fault to the begin of the first window of Sliding from which on every window has at
	// least FullAgain of Before; 0 if the fault never took it below. Negative: it did not come back within the run.
	After time.Duration `json:"after_ns"`
}

// Recover reads the recovery off the messages of a run whose traffic had this length, in steps of a second. Messages
// count in the second of their birth: one that is born in the fault and delivered within its aim was served in full.
func Recover(all []Message, fault, length time.Duration) Recovery {
	var before sum
	seconds := make([]sum, max(int((length-fault)/time.Second), 0))
	for _, m := range all {
		e := m.Earned()
		if m.Born < fault {
			before = sum{before.earned + e, before.asked + m.Worth}
		} else if i := int((m.Born - fault) / time.Second); i < len(seconds) {
			seconds[i] = sum{seconds[i].earned + e, seconds[i].asked + m.Worth}
		}
	}
	r := Recovery{Before: before.share(), After: -1}
	span := int(Sliding / time.Second)
	for i := len(seconds) - span; i >= 0; i-- { // back from the last whole window, as long as all are full
		var w sum
		for _, x := range seconds[i : i+span] {
			w = sum{w.earned + x.earned, w.asked + x.asked}
		}
		if w.share() < FullAgain*r.Before {
			break
		}
		r.After = time.Duration(i) * time.Second
	}
	return r
}

// Peak is the largest step of a figure that is read once a second and never falls, and the step that it is.
func Peak(readings []int) (most, second int) {
	last := 0
	for i, n := range readings {
		if n-last > most {
			most, second = n-last, i
		}
		last = n
	}
	return most, second
}
