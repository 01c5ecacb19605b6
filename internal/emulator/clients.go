package emulator

// The clients of a world: when they submit, and when again.

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func until(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// traffic hands messages in, open loop: all are drawn ahead and leave at their time whatever came of
// those before.
func (w *World) traffic(ctx context.Context) {
	plan := w.Plan()
	w.Asked = len(plan)
	var out sync.WaitGroup
	for _, a := range plan {
		due := w.start.Add(a.At)
		if !until(ctx, due) {
			break
		}
		late := time.Since(due)
		if late > 50*time.Millisecond {
			w.late.Add(1)
		}
		if err := w.lateness.RecordValue(min(max(late.Milliseconds(), 0), 600_000)); err != nil {
			w.Log.Error("lateness", "err", err)
		}
		m := a.Message(w.start)
		out.Go(func() { w.deliver(ctx, m, a.Class, a.Courier) })
	}
	out.Wait()
}

// Lateness is by how many milliseconds the rig was late itself, message by message, once Run has returned.
func (w *World) Lateness() *hdrhistogram.Histogram { return w.lateness }

// Late is how many messages the rig itself submitted more than 50 ms late.
func (w *World) Late() int64 { return w.late.Load() }

// deliver hands one message in, and again after a refusal or no answer, each time at another courier.
func (w *World) deliver(ctx context.Context, m *Message, class *ClassSpec, courier int) {
	for try := 0; ; try++ {
		now := time.Now()
		if ctx.Err() != nil || now.After(m.Until) {
			return
		}
		w.frontMu.Lock()
		n := w.front.Pick((courier+try)%len(w.Couriers), now)
		w.frontMu.Unlock()
		id := fmt.Sprintf("t%08d", w.ids.Add(1))
		w.classes.Store(id, class)
		w.Ledger.Submit(m, id, n, now)
		code := w.submit(ctx, w.client, m, id, w.Couriers[n].Addr, m.Until.Sub(now), try)
		w.Ledger.Answered(id, code, time.Now())
		switch {
		case code == 200 || code == 202:
			return
		case code == 0:
			w.Lost.Add(1)
		default:
			w.Refused.Add(1)
		}
		after, again := Comeback(try)
		if !again || !until(ctx, time.Now().Add(after)) {
			return
		}
	}
}

// again hands a message in once more whose courier told that this is harmless, if its time permits.
func (w *World) again(id string, after time.Duration) {
	m, n := w.Ledger.Of(id)
	class, known := w.classes.Load(id)
	if m == nil || !known {
		return
	}
	back, again := Recall(after, n, time.Now(), m.Until)
	if !again {
		return
	}
	w.comeAgain.Go(func() {
		if until(w.clients, back) {
			w.deliver(w.clients, m, class.(*ClassSpec), n)
		}
	})
}

// Past enters a message into the ledger that a courier took on and gave up before the run.
func (w *World) Past(m *Message, id string, courier int) {
	for i := range w.Classes {
		if w.Classes[i].Name == m.Class {
			w.classes.Store(id, &w.Classes[i])
		}
	}
	w.Ledger.Submit(m, id, courier, m.Born)
	w.Ledger.Answered(id, http.StatusAccepted, m.Born)
	w.Ledger.Notice(id, "undeliverable", courier, m.Until)
}

// Hand hands a message in once, for rigs that make their own load, and returns the answer's code.
func (w *World) Hand(ctx context.Context, client *http.Client, m *Message, courier int) int {
	id := fmt.Sprintf("t%08d", w.ids.Add(1))
	for i := range w.Classes {
		if w.Classes[i].Name == m.Class {
			w.classes.Store(id, &w.Classes[i])
		}
	}
	w.Ledger.Submit(m, id, courier, time.Now())
	code := w.submit(ctx, client, m, id, w.Couriers[courier].Addr, time.Until(m.Until), 0)
	w.Ledger.Answered(id, code, time.Now())
	return code
}

func (w *World) submit(ctx context.Context, client *http.Client, m *Message, id, addr string, left time.Duration, try int) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+m.Class, strings.NewReader("message "+m.Key))
	if err != nil {
		return 0
	}
	for k, v := range map[string]string{
		"X-Txn": id, "X-Org": m.Hotel, "X-Remaining": fmt.Sprintf("%.3f", left.Seconds()),
		"Idempotency-Key": m.Key, "X-Consignee": fmt.Sprintf("dest=%d", m.Dest),
	} {
		req.Header.Set(k, v)
	}
	if try > 0 {
		req.Header.Set("X-Resent", "1")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
