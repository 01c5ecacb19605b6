package replica_test

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestIdleGroupCPUAndMessageRate logs the CPU time and the message rate of an idle group of four members. It runs only if
// IDLE_SECONDS is set, which is the duration of the measurement in seconds.
func TestIdleGroupCPUAndMessageRate(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("IDLE_SECONDS") + "s")
	if err != nil {
		t.Skip("IDLE_SECONDS is not set")
	}
	g := newGroup(t, 4)
	g.propose(0, "one")
	<-time.NewTimer(3 * time.Second).C // the membership is stable by then
	cpuTime := func() time.Duration {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			t.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	messages, bytes, cpuBefore := g.net.messages.Load(), g.net.bytes.Load(), cpuTime()
	<-time.NewTimer(duration).C
	seconds := duration.Seconds()
	t.Logf("four members: %.2f ms of processor a second, %.0f messages and %.0f bytes a second",
		float64((cpuTime()-cpuBefore).Microseconds())/1000/seconds,
		float64(g.net.messages.Load()-messages)/seconds, float64(g.net.bytes.Load()-bytes)/seconds)
}
