package emulator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"raventrestle/internal/emulator/link"
)

// ClassSpec is one class of message.
type ClassSpec struct {
	Name     string
	Allowed  Allowed
	Window   time.Duration
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Late     float64 // share of the worth that is left at least
	Share    float64 // of the messages
	Kind     string  // of channel, "" for any
}

// Trouble is what is the matter with a channel for a while.
type Trouble struct {
	Dest    int64
	At, For time.Duration // from the start
	Mode    Mode
	Gone    string // the list says from then on that its endpoints on this floor are gone, "" for none
	Drain   bool   // nothing is the matter, but its first endpoint drains meanwhile
}

// Span is a stretch of time, from the start.
type Span struct{ At, For time.Duration }

// Restart is the end and new beginning of a courier's process.
type Restart struct {
	Courier  int
	At, Down time.Duration
	Term     bool // by SIGTERM, not by SIGKILL
}

// Spec is one run: a world, its traffic and what goes wrong in it.
type Spec struct {
	Seed     uint64
	Couriers int
	Program  string // of a courier
	Args     []string
	Env      []string
	Dir      string // folders of the couriers
	Settings string // operators' settings, "" for none; @DIR@ stands for the courier's folder
	Classes  []ClassSpec
	Hotels   []string
	Channels []ChannelSpec
	Rate     float64 // messages a second
	Traffic  time.Duration
	// ReadyWithin is how long a courier may take to become ready; 0 is 20 s.
	ReadyWithin time.Duration
	Settle      time.Duration // after the last message, at most, until Done says yes
	Troubles    []Trouble
	Restarts    []Restart
	Faults      link.Record `json:",omitzero"` // of links and processes; a plan is drawn from it by Seed
	Fleet       bool        `json:",omitzero"` // couriers are told of one another, and share what they learn
	Hot         []Hot
	Only        []string // keys of the messages that are submitted, of those that are drawn; none for all
	// FloorDelay is how long a call takes to another floor than its courier's, each way.
	FloorDelay time.Duration
	// FrontNotices is how long the front layer takes to notice a dead courier.
	FrontNotices [2]time.Duration
	// ListLate is how late discovery tells of a change; in ListOut it does not answer at all.
	ListLate [2]time.Duration
	ListOut  []Span
	// HotelShares are the hotels' parts of the messages; even ones where there are none.
	HotelShares []float64
	// Clumps is the share of the messages that come at once for one channel, as many as it gets in ClumpLen.
	Clumps   float64
	ClumpLen time.Duration
	// Kills is how many SIGKILLs a run is to have, each while the courier that it hits has a resend out.
	Kills    int
	KillGap  time.Duration // between two, at least
	Down     time.Duration // until a killed courier is started again
	Slots    int
	MostHeld int
	MemoryMB float64
	DiskMB   float64
	Log      *slog.Logger `json:"-"`
	// Done says during settling that nothing more will happen, as far as the run's author can tell.
	Done func(*World) bool `json:"-"`
}

// World is a run.
type World struct {
	Spec
	Ledger    *Ledger
	Channels  []*Channel
	Discovery *Discovery
	Mesh      *link.Mesh // nil where there are neither faults nor a fleet
	Faulted   link.Plan  // what goes wrong with links and processes
	Couriers  []*Courier
	start     time.Time
	frontMu   sync.Mutex
	front     *Front
	client    *http.Client
	ids       atomic.Int64
	resends   chan int // couriers that have a resend out
	late      atomic.Int64
	lateness  *hdrhistogram.Histogram // ms; of the traffic's goroutine
	Asked     int
	Refused   atomic.Int64 // submissions
	Lost      atomic.Int64 // submissions that no courier answered
	classes   sync.Map     // id to *ClassSpec
	comeAgain sync.WaitGroup
	clients   context.Context // of those who come again; it ends with the run
	leave     context.CancelFunc
}

// Platform is the object that the platform tells a courier as its settings.
func (s *Spec) Platform(courier int) any {
	var classes []map[string]any
	for _, c := range s.Classes {
		effect, group := "free", "all"
		switch c.Allowed {
		case OnceByFloor:
			effect, group = "guarded", "zone"
		case OnceEver:
			effect = "single_shot"
		}
		classes = append(classes, map[string]any{"name": c.Name, "aim_us": c.Aim.Microseconds(), "deadline_us": c.Deadline.Microseconds(),
			"effect": effect, "group": group, "window_us": c.Window.Microseconds(), "credit": c.Worth, "late_share": c.Late})
	}
	floors, kinds := []string{}, []string{}
	bulk, apart := []int{}, []bool{}
	add := func(list []string, x string) ([]string, bool) {
		for _, y := range list {
			if x == y {
				return list, false
			}
		}
		return append(list, x), true
	}
	for _, c := range s.Channels {
		var fresh bool
		if kinds, fresh = add(kinds, c.Kind); fresh {
			bulk, apart = append(bulk, max(c.Bulk, 1)), append(apart, c.Apart)
		}
		for _, f := range c.Floors {
			floors, _ = add(floors, f)
		}
	}
	tenants := []map[string]any{}
	for _, h := range s.Hotels {
		tenants = append(tenants, map[string]any{"name": h, "share": 1 / float64(len(s.Hotels)), "quota_per_s": 2 * s.Rate / float64(len(s.Hotels))})
	}
	return map[string]any{"az": s.Home(courier), "failure_domains": floors, "models": kinds, "balancers": s.Couriers, "granularity_us": 5000,
		"membership_mode": "on_request", "classes": classes, "tenants": tenants, "over_share_worth": 0.2,
		"limits": map[string]any{"most_held": s.MostHeld, "send_cap": 8, "connect_timeout_us": 1000000, "idle_close_us": 5000000,
			"cancel": true, "retry_after": true, "max_retry_after_us": 2000000},
		"rules": map[string]any{"answer_slack_us": 20000, "ask_within_us": 10000000, "drain_grace_us": 1000000, "cold_us": 12000000,
			"start_capacity": 0.15, "tip_after_us": 2000000, "tip_multiple": 2.5},
		"specifics": map[string]any{"call_slots": s.Slots, "bundle_max": bulk, "routes_apart": apart, "loses_worth": "halving"}}
}

// Home is the floor that a courier stands on.
func (s *Spec) Home(courier int) string {
	var floors []string
	for _, c := range s.Channels {
		for _, f := range c.Floors {
			if !slices.Contains(floors, f) {
				floors = append(floors, f)
			}
		}
	}
	return floors[courier%len(floors)]
}

// New builds a world. Close ends it.
func New(s Spec) (w *World, err error) {
	if s.ReadyWithin == 0 {
		s.ReadyWithin = 20 * time.Second
	}
	w = &World{Spec: s, start: time.Now(), front: NewFront(s.Couriers, s.FrontNotices, s.Seed), resends: make(chan int, 1024),
		lateness: hdrhistogram.New(1, 600_000, 3),
		client:   &http.Client{Timeout: Patience, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second}}}
	w.Ledger = NewLedger(w.start)
	w.clients, w.leave = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			err = errors.Join(err, w.Close())
		}
	}()
	for _, spec := range s.Channels {
		c, err := NewChannel(spec, s.Couriers, w.Ledger, s.Seed, w.classOf)
		if err != nil {
			return w, err
		}
		c.onResend = func(courier int) {
			select {
			case w.resends <- courier:
			default:
			}
		}
		for _, e := range c.Endpoints {
			e.delay = func(courier int) time.Duration {
				if s.Home(courier) == e.Floor {
					return 0
				}
				return s.FloorDelay
			}
		}
		w.Channels = append(w.Channels, c)
	}
	if w.Discovery, err = NewDiscovery(s.Couriers, w.Channels, w.Ledger); err != nil {
		return w, err
	}
	w.Discovery.onDeferred = w.again
	w.Discovery.late = s.ListLate
	places, err := w.link()
	if err != nil {
		return w, err
	}
	for n := range s.Couriers {
		folder := filepath.Join(s.Dir, fmt.Sprint("n", n))
		args := s.Args
		settings := strings.ReplaceAll(s.Settings, "@DIR@", folder)
		if s.Fleet {
			more, err := w.fleet(n, places)
			if err != nil {
				return w, err
			}
			settings += more
		}
		if settings != "" {
			if err := os.MkdirAll(folder, 0o700); err != nil {
				return w, err
			}
			file := filepath.Join(folder, "settings.cue")
			if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
				return w, err
			}
			args = append([]string{"run", "--settings", file}, args...)
		}
		c, err := NewCourier(n, s.Dir, s.Program, args, s.Env, s.Platform(n), places[n].ip, w.Discovery.Addr(n), w.Discovery.Whole(n),
			s.MemoryMB, s.DiskMB, w.Ledger)
		if err != nil {
			return w, err
		}
		c.onLife = func(up bool) {
			w.frontMu.Lock()
			defer w.frontMu.Unlock()
			if up {
				w.front.Up(n)
			} else {
				w.front.Down(n, time.Now())
			}
		}
		w.Couriers = append(w.Couriers, c)
	}
	return w, nil
}

func (w *World) classOf(id string) (string, Allowed) {
	if c, ok := w.classes.Load(id); ok {
		return c.(*ClassSpec).Name, c.(*ClassSpec).Allowed
	}
	return "", AnyNumber
}

// Run plays the whole run: traffic, troubles, kills, settling, a clean end.
func (w *World) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var starting errgroup.Group
	for _, c := range w.Couriers {
		starting.Go(func() error {
			ctx, stop := context.WithTimeout(ctx, w.ReadyWithin)
			defer stop()
			return c.Start(ctx)
		})
	}
	if err := starting.Wait(); err != nil {
		return err
	}
	if err := w.snapshots(); err != nil {
		return err
	}
	w.start = time.Now()
	w.Ledger.mu.Lock()
	w.Ledger.start = w.start
	w.Ledger.mu.Unlock()
	var all sync.WaitGroup
	end, finish := context.WithCancel(ctx)
	w.Ledger.Excuse(excuses(w.Faulted, w.start))
	all.Go(func() { w.troubles(end) })
	all.Go(func() {
		if err := w.faults(end); err != nil {
			stop(err)
		}
	})
	all.Go(func() {
		if err := w.restarts(end); err != nil {
			stop(err)
		}
	})
	all.Go(func() {
		if err := w.killer(end); err != nil {
			stop(err)
		}
	})
	all.Go(func() { // a courier that ends by itself ends the run
		for range ticks(end, 100*time.Millisecond) {
			for _, c := range w.Couriers {
				if err := c.Crashed(); err != nil {
					stop(err)
				}
			}
		}
	})
	w.traffic(ctx)
	w.settle(ctx)
	finish()
	w.leave()
	w.comeAgain.Wait()
	all.Wait()
	var errs []error
	for _, c := range w.Couriers { // one that is down now comes back once, for what it owes
		if err := c.Stop(); err != nil {
			errs = append(errs, err)
		}
	}
	if err := context.Cause(ctx); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// ticks are events at an interval until the context ends.
func ticks(ctx context.Context, d time.Duration) <-chan time.Time {
	out := make(chan time.Time)
	go func() {
		defer close(out)
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case at := <-t.C:
				select {
				case out <- at:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return out
}

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

// Start is when the traffic began.
func (w *World) Start() time.Time { return w.start }

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
	for k, v := range map[string]string{"X-Txn": id, "X-Org": m.Hotel, "X-Remaining": fmt.Sprintf("%.3f", left.Seconds()),
		"Idempotency-Key": m.Key, "X-Consignee": fmt.Sprintf("dest=%d", m.Dest)} {
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

func (w *World) channel(dest int64) *Channel {
	for _, c := range w.Channels {
		if c.Dest == dest {
			return c
		}
	}
	return nil
}

func (w *World) troubles(ctx context.Context) {
	var all sync.WaitGroup
	for _, o := range w.ListOut {
		all.Go(func() {
			if until(ctx, w.start.Add(o.At)) {
				w.Log.Info("trouble", "discovery", "out", "for", o.For)
				w.Discovery.Out(true)
				until(ctx, w.start.Add(o.At+o.For))
				w.Discovery.Out(false)
			}
		})
	}
	for _, t := range w.Troubles {
		c := w.channel(t.Dest)
		if c == nil {
			continue
		}
		all.Go(func() {
			if !until(ctx, w.start.Add(t.At)) {
				return
			}
			w.Log.Info("trouble", "channel", t.Dest, "mode", t.Mode, "for", t.For)
			if t.Drain {
				w.Discovery.Mark(c.Endpoints[0], "DRAINING")
				until(ctx, w.start.Add(t.At+t.For))
				w.Discovery.Mark(c.Endpoints[0], "SERVING")
				return
			}
			c.Set(t.Mode, time.Now())
			for _, e := range c.Endpoints {
				if e.Floor == t.Gone {
					w.Discovery.Mark(e, "DELETED")
				}
			}
			until(ctx, w.start.Add(t.At+t.For))
			c.Set(Well, time.Now())
		})
	}
	all.Wait()
}

// restarts plays the planned ends of couriers.
func (w *World) restarts(ctx context.Context) error {
	var all errgroup.Group
	for _, r := range w.Restarts {
		all.Go(func() error {
			if !until(ctx, w.start.Add(r.At)) {
				return nil
			}
			c := w.Couriers[r.Courier]
			w.Log.Info("restart", "courier", r.Courier, "term", r.Term, "down", r.Down)
			if r.Term {
				if err := c.Stop(); err != nil {
					return err
				}
			} else {
				c.Kill()
			}
			return w.back(ctx, c, r.Down)
		})
	}
	return all.Wait()
}

// back starts a courier again that has been down for so long, with the list that it last held. A run
// that ends meanwhile still waits for it.
func (w *World) back(ctx context.Context, c *Courier, down time.Duration) error {
	time.Sleep(down)
	for _, ch := range w.Channels {
		for _, e := range ch.Endpoints {
			e.Restarted(c.N)
		}
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), w.ReadyWithin)
	defer stop()
	if err := c.Know(w.Discovery.Held(c.N)); err != nil {
		return err
	}
	return c.Start(ctx)
}

// killer ends couriers that have a resend out, at a random moment of it, and starts them again.
func (w *World) killer(ctx context.Context) error {
	rnd := rand.New(rand.NewPCG(w.Seed, 2))
	var all errgroup.Group
	for kills := 0; kills < w.Kills; {
		select {
		case <-ctx.Done():
			return all.Wait()
		case n := <-w.resends:
			c := w.Couriers[n]
			time.Sleep(time.Duration(rnd.Int64N(int64(60 * time.Millisecond))))
			if !c.Kill() {
				continue
			}
			kills++
			all.Go(func() error { return w.back(ctx, c, w.Down) })
			until(ctx, time.Now().Add(w.KillGap))
			for len(w.resends) > 0 { // those of before the kill
				<-w.resends
			}
		}
	}
	<-ctx.Done()
	return all.Wait()
}

// KillCount is how many SIGKILLs there were.
func (w *World) KillCount() (n int) {
	for _, c := range w.Couriers {
		n += c.Kills
	}
	return n
}

// settle waits for Done, but at least until the last message's time is up.
func (w *World) settle(ctx context.Context) {
	first, last := time.Now(), time.Now().Add(w.Settle)
	for _, c := range w.Classes {
		if at := time.Now().Add(c.Deadline + time.Second); at.After(first) {
			first = at
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for at := range ticks(ctx, 500*time.Millisecond) {
		if at.After(last) || at.After(first) && w.Done != nil && w.Done(w) {
			return
		}
	}
}

// Close ends all that the world started.
func (w *World) Close() error {
	w.leave()
	var errs []error
	for _, c := range w.Couriers {
		c.Kill()
		errs = append(errs, c.log.Close())
	}
	for _, c := range w.Channels {
		errs = append(errs, c.Close())
	}
	if w.Mesh != nil {
		errs = append(errs, w.Mesh.Close())
	}
	if w.Discovery != nil {
		errs = append(errs, w.Discovery.Close())
	}
	w.client.CloseIdleConnections()
	for i, err := range errs {
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) {
			errs[i] = nil
		}
	}
	return errors.Join(errs...)
}
