package replica_test

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestCostOfAnIdleGroup measures the processor time and the messages of an idle group of four, where IDLE_SECONDS is set.
func TestCostOfAnIdleGroup(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv("IDLE_SECONDS") + "s")
	if err != nil {
		t.Skip("IDLE_SECONDS is not set")
	}
	g := newGroup(t, 4)
	g.propose(0, "one")
	<-time.NewTimer(3 * time.Second).C // until the membership is stable
	used := func() time.Duration {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			t.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	messages, bytes, before := g.net.messages.Load(), g.net.bytes.Load(), used()
	<-time.NewTimer(length).C
	seconds := length.Seconds()
	t.Logf("four members: %.2f ms of processor a second, %.0f messages and %.0f bytes a second",
		float64((used()-before).Microseconds())/1000/seconds,
		float64(g.net.messages.Load()-messages)/seconds, float64(g.net.bytes.Load()-bytes)/seconds)
}
