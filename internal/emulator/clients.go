package emulator

// The clients: when they submit messages and when they retry.

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sleepUntil waits until the given time. It returns false if the context ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runTraffic submits the planned messages in an open loop: each is submitted at its planned time, whatever happened to
// the earlier ones.
func (em *Emulation) runTraffic(ctx context.Context) {
	plan := em.Plan()
	em.Planned = len(plan)
	var submissions sync.WaitGroup
	for _, a := range plan {
		due := em.start.Add(a.At)
		if !sleepUntil(ctx, due) {
			break
		}
		lateness := time.Since(due)
		if lateness > 50*time.Millisecond {
			em.lateCount.Add(1)
		}
		if err := em.lateness.RecordValue(min(max(lateness.Milliseconds(), 0), 600_000)); err != nil {
			em.Log.Error("lateness", "err", err)
		}
		m := a.Message(em.start)
		submissions.Go(func() { em.submitWithRetries(ctx, m, a.Class, a.Courier) })
	}
	submissions.Wait()
}

// Lateness returns the distribution of how many milliseconds late the emulator itself submitted the messages. It may
// be read once Run has returned.
func (em *Emulation) Lateness() *hdrhistogram.Histogram { return em.lateness }

// LateCount returns the number of messages that the emulator itself submitted more than 50 ms late.
func (em *Emulation) LateCount() int64 { return em.lateCount.Load() }

// submitWithRetries submits a message and retries after a rejection or a missing response, each time with another
// courier.
func (em *Emulation) submitWithRetries(ctx context.Context, m *Message, class *ClassSpec, courier int) {
	for attempt := 0; ; attempt++ {
		now := time.Now()
		if ctx.Err() != nil || now.After(m.Deadline) {
			return
		}
		em.balancerMu.Lock()
		n := em.balancer.Pick((courier+attempt)%len(em.Couriers), now)
		em.balancerMu.Unlock()
		id := fmt.Sprintf("t%08d", em.ids.Add(1))
		em.classes.Store(id, class)
		em.Recorder.Submit(m, id, n, now)
		code := em.postMessage(ctx, em.client, m, id, em.Couriers[n].Addr, m.Deadline.Sub(now), attempt)
		em.Recorder.ClientAnswered(id, code, time.Now())
		switch {
		case code == 200 || code == 202:
			return
		case code == 0:
			em.Lost.Add(1)
		default:
			em.Rejected.Add(1)
		}
		delay, retry := RetryDelay(attempt)
		if !retry || !sleepUntil(ctx, time.Now().Add(delay)) {
			return
		}
	}
}

// resubmitDeferred submits a message again whose courier has told the platform that it is safe to do so, if its
// deadline permits.
func (em *Emulation) resubmitDeferred(id string, after time.Duration) {
	m, n := em.Recorder.MessageOf(id)
	class, known := em.classes.Load(id)
	if m == nil || !known {
		return
	}
	resubmitAt, ok := ResubmitAt(after, n, time.Now(), m.Deadline)
	if !ok {
		return
	}
	em.resubmissions.Go(func() {
		if sleepUntil(em.clientsCtx, resubmitAt) {
			em.submitWithRetries(em.clientsCtx, m, class.(*ClassSpec), n)
		}
	})
}

// RecordUndeliverable records a message that a courier accepted and reported as undeliverable before the run.
func (em *Emulation) RecordUndeliverable(m *Message, id string, courier int) {
	for i := range em.Classes {
		if em.Classes[i].Name == m.Class {
			em.classes.Store(id, &em.Classes[i])
		}
	}
	em.Recorder.Submit(m, id, courier, m.CreatedAt)
	em.Recorder.ClientAnswered(id, http.StatusAccepted, m.CreatedAt)
	em.Recorder.RecordNotice(id, "undeliverable", courier, m.Deadline)
}

// SubmitOnce submits a message without retries, for callers that generate their own load. It returns the status code
// of the response, or 0 if there was none.
func (em *Emulation) SubmitOnce(ctx context.Context, client *http.Client, m *Message, courier int) int {
	id := fmt.Sprintf("t%08d", em.ids.Add(1))
	for i := range em.Classes {
		if em.Classes[i].Name == m.Class {
			em.classes.Store(id, &em.Classes[i])
		}
	}
	em.Recorder.Submit(m, id, courier, time.Now())
	code := em.postMessage(ctx, client, m, id, em.Couriers[courier].Addr, time.Until(m.Deadline), 0)
	em.Recorder.ClientAnswered(id, code, time.Now())
	return code
}

// postMessage sends a message to a courier and returns the status code, or 0 if there was no response.
func (em *Emulation) postMessage(ctx context.Context, client *http.Client, m *Message, id, addr string, remaining time.Duration, attempt int) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+m.Class, strings.NewReader("message "+m.Key))
	if err != nil {
		return 0
	}
	for k, v := range map[string]string{
		"X-Txn": id, "X-Org": m.Tenant, "X-Remaining": fmt.Sprintf("%.3f", remaining.Seconds()),
		"Idempotency-Key": m.Key, "X-Consignee": fmt.Sprintf("dest=%d", m.Dest),
	} {
		req.Header.Set(k, v)
	}
	if attempt > 0 {
		req.Header.Set("X-Resent", "1")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
