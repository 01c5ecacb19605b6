package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"raventrestle"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/emulator"
)

// CostRow is what one courier of the cost run did.
type CostRow struct {
	Store     bool    `json:"store"`
	Taken     float64 `json:"taken_per_s"`
	Refused   float64 `json:"refused_per_s"`
	Delivered float64 `json:"delivered_per_s"`
	Letters   int     `json:"letters"`
	CPU       float64 `json:"cpu_s"`
	RSS       float64 `json:"rss_mb"`
	Anon      float64 `json:"anonymous_mb"`
}

const costSettings = `admin: socket: "@DIR@/admin.sock"
undeliverable: {keep: %v, max_letters: 1000000, max_bytes: 1073741824, resend: automatic: false}
`

// costSpec is one courier that is handed more than it can take: channels answer in some milliseconds,
// and three payments in a thousand with an error after they have run, which makes them dead letters.
func costSpec(store bool, o Options) emulator.Spec {
	ms := func(n int) [2]time.Duration {
		return [2]time.Duration{time.Duration(n) * time.Millisecond, time.Duration(n+1) * time.Millisecond}
	}
	s := emulator.Spec{
		Seed: 1, Couriers: 1, Program: o.Program, Tenants: []string{"h"}, CallSlots: 256, MaxMessages: 2000, MemoryMB: 512, DiskMB: 64,
		Log: o.Log, Settings: fmt.Sprintf(costSettings, store),
		Classes: []emulator.ClassSpec{{
			Name: "deposit-charge", EffectLimit: emulator.OnceOverall, TargetLatency: 2 * time.Second, Deadline: 10 * time.Second,
			Value: 5, LateValueShare: 0.3, Share: 1,
		}},
	}
	for i := range 10 {
		s.Channels = append(s.Channels, emulator.ChannelSpec{
			Dest: int64(i + 1), Kind: "principal", Floors: []string{"a"}, Capacity: 64, Queue: 64, ErrorShare: 0.003,
			Service: map[string][2]time.Duration{"deposit-charge": ms(2)},
		})
	}
	return s
}

// Cost runs two couriers side by side, one with the store and one without, under the same closed
// load of so many clients each.
func Cost(ctx context.Context, clients int, d time.Duration, o Options) ([]CostRow, error) {
	rows := make([]CostRow, 2)
	var all errgroup.Group
	for i, store := range []bool{false, true} {
		all.Go(func() (err error) {
			rows[i], err = cost(ctx, store, clients, d, o)
			return err
		})
	}
	err := all.Wait()
	return rows, err
}

// costWorld makes the world in a folder of its own, which goes with it.
func costWorld(store bool, o Options) (*emulator.Emulation, func() error, error) {
	dir, err := os.MkdirTemp(o.Dir, "rl")
	if err != nil {
		return nil, nil, err
	}
	s := costSpec(store, o)
	s.Dir = dir
	w, err := emulator.New(s)
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(dir))
	}
	return w, func() error { return errors.Join(w.Close(), os.RemoveAll(dir)) }, nil
}

func cost(ctx context.Context, store bool, clients int, d time.Duration, o Options) (row CostRow, err error) {
	row.Store = store
	w, done, err := costWorld(store, o)
	if err != nil {
		return row, err
	}
	defer func() { err = errors.Join(err, done()) }()
	c := w.Couriers[0]
	if err := c.Start(ctx); err != nil {
		return row, err
	}
	var taken, refused, n atomic.Int64
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	end := time.Now().Add(d)
	var load sync.WaitGroup
	for range clients {
		load.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				k := n.Add(1)
				m := &emulator.Message{
					Key: fmt.Sprint("k", k), Class: "deposit-charge", Tenant: "h", Dest: k%10 + 1, EffectLimit: emulator.OnceOverall,
					CreatedAt: time.Now(), Deadline: time.Now().Add(10 * time.Second),
				}
				code := w.SubmitOnce(ctx, client, m, 0)
				if code == http.StatusAccepted {
					taken.Add(1)
				} else if code != 0 {
					refused.Add(1)
					time.Sleep(20 * time.Millisecond) // the client's way back
				}
			}
		})
	}
	load.Wait()
	seconds := d.Seconds()
	row.Taken, row.Refused = float64(taken.Load())/seconds, float64(refused.Load())/seconds
	delivered := 0
	w.Recorder.Messages(func(m emulator.Message) {
		if !m.DeliveredAt.IsZero() && m.DeliveredAt.Before(end) {
			delivered++
		}
	})
	row.Delivered = float64(delivered) / seconds
	if row.CPU, row.RSS, row.Anon, err = proc(c.PID()); err != nil {
		return row, err
	}
	if err := c.Stop(); err != nil {
		return row, err
	}
	if store {
		all := map[string]*deadletter.Item{}
		if err := read(ctx, filepath.Join(c.Dir, "state", "undeliverable"), all); err != nil {
			return row, err
		}
		row.Letters = len(all)
	}
	return row, nil
}

// proc reads a process's time on the processor in seconds, its memory and the part of that which no
// file backs, in MB.
func proc(pid int) (cpu, rss, anon float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, 0, err
	}
	_, rest, _ := bytes.Cut(stat, []byte(") "))
	f := strings.Fields(string(rest))
	if len(f) < 13 {
		return 0, 0, 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(f))
	}
	user, err1 := strconv.ParseFloat(f[11], 64)
	system, err2 := strconv.ParseFloat(f[12], 64)
	status, err3 := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		kb, e := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
		switch {
		case e != nil:
		case name == "VmRSS":
			rss = kb / 1024
		case name == "RssAnon":
			anon = kb / 1024
		}
	}
	return (user + system) / 100, rss, anon, errors.Join(err1, err2, err3)
}

// RestRow is a courier at rest with so many dead letters.
type RestRow struct {
	Letters int           `json:"letters"`
	File    float64       `json:"file_mb"`
	Ready   time.Duration `json:"ready_ns"`
	RSS     float64       `json:"rss_mb"`
	Anon    float64       `json:"anonymous_mb"`
	Each    float64       `json:"bytes_each"` // of anonymous memory, over a courier without dead letters
}

// AtRest starts a courier at a store of so many dead letters, for each number in turn.
func AtRest(ctx context.Context, numbers []int, body int, o Options) ([]RestRow, error) {
	var rows []RestRow
	for _, n := range numbers {
		row, err := atRest(ctx, n, body, o)
		if err != nil {
			return nil, err
		}
		if len(rows) > 0 && n > 0 {
			row.Each = (row.Anon - rows[0].Anon) * (1 << 20) / float64(n)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func atRest(ctx context.Context, n, body int, o Options) (row RestRow, err error) {
	w, done, err := costWorld(true, o)
	if err != nil {
		return row, err
	}
	defer func() { err = errors.Join(err, done()) }()
	c := w.Couriers[0]
	folder := filepath.Join(c.Dir, "state", "undeliverable")
	store, err := deadletter.Open(folder, deadletter.Options{MaxBytes: 1 << 40, MaxMessages: 1 << 30}, slog.New(slog.DiscardHandler))
	if err != nil {
		return row, err
	}
	now := time.Now()
	var batch []*deadletter.Message
	for i := range n {
		batch = append(batch, &deadletter.Message{
			ID: fmt.Sprintf("%016x", i), Key: fmt.Sprintf("%032x", i), Class: "deposit-charge", Tenant: "h",
			Dest: int64(i%10 + 1), AcceptedAt: now.UnixNano(), ExpiresAt: now.UnixNano(), FailedAt: now.UnixNano(), FailureReason: "may have run", Value: 5,
			Idempotency: raventrestle.NonIdempotent, Attempts: []deadletter.Attempt{{Peer: "s-1-0", Zone: "a", At: now.UnixNano(), Outcome: "reset"}},
			FirstRun: &deadletter.Attempt{Peer: "s-1-0", Zone: "a", At: now.UnixNano(), Outcome: "reset"}, Body: make([]byte, body),
		})
		if len(batch) == 1000 || i == n-1 {
			if _, err := store.Put(batch...); err != nil {
				return row, errors.Join(err, store.Close())
			}
			batch = nil
		}
	}
	if err := store.Close(); err != nil {
		return row, err
	}
	info, err := os.Stat(filepath.Join(folder, "letters.db"))
	if err != nil {
		return row, err
	}
	row.Letters, row.File = n, float64(info.Size())/(1<<20)
	began := time.Now()
	if err := c.Start(ctx); err != nil {
		return row, err
	}
	row.Ready = time.Since(began)
	select {
	case <-time.After(5 * time.Second): // the runtime gives back what the start took
	case <-ctx.Done():
		return row, ctx.Err()
	}
	_, row.RSS, row.Anon, err = proc(c.PID())
	return row, errors.Join(err, c.Stop())
}

// CostTable writes the rows of Cost.
func CostTable(out io.Writer, rows []CostRow) error {
	t := tabwriter.NewWriter(out, 0, 4, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, "| store\ttaken/s\trefused/s\tdelivered/s\tletters\tCPU s\tRSS MB\tanonymous MB\t\n|---\t---\t---\t---\t---\t---\t---\t---\t")
	for _, r := range rows {
		fmt.Fprintf(t, "| %v\t%.0f\t%.0f\t%.0f\t%d\t%.1f\t%.1f\t%.1f\t\n", r.Store, r.Taken, r.Refused, r.Delivered, r.Letters, r.CPU, r.RSS, r.Anon)
	}
	return t.Flush()
}

// RestTable writes the rows of AtRest.
func RestTable(out io.Writer, rows []RestRow) error {
	t := tabwriter.NewWriter(out, 0, 4, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, "| letters\tfile MB\tready ms\tRSS MB\tanonymous MB\tbytes each\t\n|---\t---\t---\t---\t---\t---\t")
	for _, r := range rows {
		fmt.Fprintf(t, "| %d\t%.1f\t%.0f\t%.1f\t%.1f\t%.0f\t\n", r.Letters, r.File, float64(r.Ready.Microseconds())/1000, r.RSS, r.Anon, r.Each)
	}
	return t.Flush()
}
