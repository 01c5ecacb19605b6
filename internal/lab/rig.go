package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"raventrestle/internal/emulator"
)

// RigRow is what the rig itself can do at a rate.
type RigRow struct {
	Rate      float64 `json:"rate_per_s"`
	Asked     int     `json:"asked"`
	Late      float64 `json:"late_share"` // submitted more than 50 ms after their time
	P99       int64   `json:"late_p99_ms"`
	Most      int64   `json:"late_most_ms"`
	Taken     int     `json:"taken"`
	Delivered int     `json:"delivered"`
	CPU       float64 `json:"rig_cores"` // of processor time a second
	RSS       float64 `json:"rig_rss_mb"`
}

// rigLate is the share of late messages above which a rig has given out.
const rigLate = 0.01

// Rig raises the rate until the rig itself is late, with doubles for couriers: args make the program one.
func Rig(ctx context.Context, rates []float64, d time.Duration, args []string, o Options) ([]RigRow, error) {
	var rows []RigRow
	for _, rate := range rates {
		row, err := rig(ctx, rate, d, args, o)
		if err != nil {
			return rows, err
		}
		if rows = append(rows, row); row.Late > rigLate {
			break
		}
	}
	return rows, nil
}

func rig(ctx context.Context, rate float64, d time.Duration, args []string, o Options) (row RigRow, err error) {
	dir, err := os.MkdirTemp(o.Dir, "rl")
	if err != nil {
		return row, err
	}
	defer os.RemoveAll(dir)
	s := emulator.Spec{
		Seed: 1, Couriers: 2, Program: o.Program, Args: args, Dir: dir, Log: o.Log, Rate: rate, Traffic: d, Tenants: []string{"h"},
		Classes:   []emulator.ClassSpec{{Name: "a", EffectLimit: emulator.Unlimited, TargetLatency: time.Second, Deadline: 3 * time.Second, Value: 1, Share: 1}},
		CallSlots: 64, MaxMessages: 1000, MemoryMB: 192, DiskMB: 16, Done: func(*emulator.Emulation) bool { return true },
	}
	for i := range 16 {
		s.Channels = append(s.Channels, emulator.ChannelSpec{
			Dest: int64(i + 1), Kind: "k", Floors: []string{"a"}, Capacity: 1 << 10, Queue: 1 << 16,
			Service: map[string][2]time.Duration{"a": {time.Millisecond, 3 * time.Millisecond}},
		})
	}
	w, err := emulator.New(s)
	if err != nil {
		return row, err
	}
	defer func() { err = errors.Join(err, w.Close()) }()
	cpu, _, _, err := proc(os.Getpid())
	if err != nil {
		return row, err
	}
	began := time.Now()
	if err := w.Run(ctx); err != nil {
		return row, err
	}
	after, rss, _, err := proc(os.Getpid())
	if err != nil {
		return row, err
	}
	c, late := w.Recorder.Counts(), w.Lateness()
	row = RigRow{
		Rate: rate, Asked: w.Planned, Late: float64(w.LateCount()) / float64(max(w.Planned, 1)), P99: late.ValueAtQuantile(99), Most: late.Max(),
		Taken: c.Taken, Delivered: c.Delivered, CPU: (after - cpu) / min(time.Since(began), d).Seconds(), RSS: rss,
	}
	return row, nil
}

// RigTable writes the rows of Rig.
func RigTable(out io.Writer, rows []RigRow) error {
	t := tabwriter.NewWriter(out, 0, 4, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, "| messages/s\tasked\tlate share\tlate p99 ms\tlate most ms\ttaken\tdelivered\trig cores\trig RSS MB\t\n|---\t---\t---\t---\t---\t---\t---\t---\t---\t")
	for _, r := range rows {
		fmt.Fprintf(t, "| %.0f\t%d\t%.4f\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t\n", r.Rate, r.Asked, r.Late, r.P99, r.Most, r.Taken, r.Delivered, r.CPU, r.RSS)
	}
	return t.Flush()
}
