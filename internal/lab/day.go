package lab

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"raventrestle/internal/emulator"
	"raventrestle/internal/emulator/link"
	"raventrestle/internal/lab/scenario"
	"raventrestle/internal/lab/scoring"
	"raventrestle/internal/lab/simulation"
	"raventrestle/lab/scenarios"
)

// resultVersion goes into every day's file; a reader of another version says so.
const resultVersion = 1

// Find reads a scenario by its name, of those that come with the program, or by its file's path.
func Find(name string) (*scenario.Scenario, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		var inside error
		if text, inside = scenarios.Files.ReadFile(name + ".cue"); inside != nil {
			return nil, fmt.Errorf("no scenario is called %q (there are: %s), and as a file: %w", name, strings.Join(Names(), ", "), err)
		}
	}
	return scenario.Parse(strings.TrimSuffix(filepath.Base(name), ".cue"), text)
}

// Names are the scenarios that come with the program.
func Names() []string {
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".cue"))
	}
	return names
}

// Latency is of deliveries, from a message's birth, in milliseconds.
type Latency struct {
	N   int64 `json:"n"`
	P50 int64 `json:"p50_ms"`
	P90 int64 `json:"p90_ms"`
	P99 int64 `json:"p99_ms"`
	Max int64 `json:"max_ms"`
}

// Day is what came of one run of a scenario.
type Day struct {
	Version    int                     `json:"version"`
	Scenario   string                  `json:"scenario"`
	Seed       uint64                  `json:"seed"`
	Virtual    bool                    `json:"virtual,omitempty"` // against the module alone
	Rate       float64                 `json:"rate_per_s"`
	Service    scoring.ServiceScore    `json:"service"`
	Latency    map[string]Latency      `json:"latency_by_class"`
	Counts     emulator.Counts         `json:"counts"`
	Asked      int                     `json:"asked"`
	RigLate    int64                   `json:"rig_late"`
	Void       string                  `json:"void,omitempty"` // why the run proves nothing, "" if it does
	Violations []string                `json:"violations"`
	Failed     []string                `json:"failed"` // of what must hold
	Troubles   []emulator.ChannelFault `json:"troubles"`
	Restarts   []emulator.Restart      `json:"restarts"`
	Fleet      bool                    `json:"fleet,omitempty"`
	Faulted    *Faulted                `json:"faulted,omitempty"`
}

// Faulted is what a day with faults of links or processes has beside the others.
type Faulted struct {
	Plan     link.Plan        `json:"plan"`
	Recovery scoring.Recovery `json:"recovery"`      // from the first fault on
	Refused  int              `json:"worst_refused"` // calls refused in the worst second
	Lists    int              `json:"worst_lists"`   // calls of discovery in its worst second
	Links    link.Counts      `json:"links"`         // of all relays together
	Unknown  int              `json:"unknown"`       // connections and packets that no fault could reach
}

// second is a line of the time series: what happened in it, and what each courier had at its end.
type second struct {
	at       int
	counts   emulator.Counts
	couriers []usage
}

type usage struct {
	cpu, rss, anon float64
	files          int
}

// PlayDay plays a scenario's day of a seed with real processes. Out is a folder for its figures
// (NAME-SEED.json) and its time series (NAME-SEED.csv), "" for none.
func PlayDay(ctx context.Context, s *scenario.Scenario, seed uint64, out string, o Options) (day *Day, err error) {
	dir, err := os.MkdirTemp(o.Dir, "rl")
	if err != nil {
		return nil, err
	}
	if !o.Keep {
		defer os.RemoveAll(dir)
	}
	spec, err := s.Generate(seed)
	if err != nil {
		return nil, err
	}
	if o.NoFleet {
		spec.Fleet = false
	}
	spec.Dir, spec.Program, spec.Log = dir, o.Program, o.Log
	spec.Done = func(w *emulator.Emulation) bool { return true }
	w, err := emulator.New(spec)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, w.Close()) }()
	watching, stop := context.WithCancel(ctx)
	lines := make(chan []second, 1)
	go func() { lines <- watch(watching, w) }()
	err = w.Run(ctx)
	stop()
	series := <-lines
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d: %w", s.Name, seed, err)
	}
	var all []scoring.Message
	day, all = judge(s, seed, spec, played{w.Recorder, w.Start(), time.Now(), w.Planned, w.LateCount()})
	day.faulted(w, all, series)
	return day, keep(out, day, series, spec.Couriers)
}

// faulted adds the figures of a day that had faults.
func (d *Day) faulted(w *emulator.Emulation, all []scoring.Message, series []second) {
	first, any := w.FaultPlan.Begin()
	if !any {
		return
	}
	var refused, lists []int
	for _, s := range series {
		refused, lists = append(refused, s.counts.CallsRefused), append(lists, s.counts.Lists)
	}
	f := &Faulted{Plan: w.FaultPlan, Recovery: scoring.MeasureRecovery(all, first, w.Traffic), Links: w.Mesh.TotalCounts(), Unknown: w.Mesh.UnknownSources()}
	f.Refused, _ = scoring.MaxIncrease(refused)
	f.Lists, _ = scoring.MaxIncrease(lists)
	d.Faulted = f
}

// PlayVirtual plays the same day against the decision module alone, in virtual time. A nil maker is the
// module as it stands.
func PlayVirtual(s *scenario.Scenario, seed uint64, out string, maker simulation.DeciderFactory) (*Day, error) {
	spec, err := s.Generate(seed)
	if err != nil {
		return nil, err
	}
	r, err := simulation.Play(spec, simulation.DefaultDelays, maker)
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d, virtual: %w", s.Name, seed, err)
	}
	day, _ := judge(s, seed, spec, played{r.Ledger, r.Start, r.End, r.Submitted, 0})
	day.Virtual = true
	var series []second
	for i, c := range r.CountsPerSecond {
		series = append(series, second{at: i, counts: c})
	}
	return day, keep(out, day, series, 0)
}

// keep writes a day's figures and series into the folder, the figures last and whole: a day that has
// its file was played to its end.
func keep(out string, day *Day, series []second, couriers int) error {
	if out == "" {
		return nil
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	base := filepath.Join(out, fmt.Sprintf("%s-%d", day.Scenario, day.Seed))
	text, err := json.MarshalIndent(day, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.Create(base + ".csv")
	if err != nil {
		return err
	}
	if err := errors.Join(write(file, series, couriers), file.Close(), os.WriteFile(base+".part", text, 0o644)); err != nil {
		return err
	}
	return os.Rename(base+".part", base+".json")
}

// watch samples the world once a second.
func watch(ctx context.Context, w *emulator.Emulation) (all []second) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return all
		case <-t.C:
		}
		x := second{at: n, counts: w.Recorder.Counts()}
		for _, c := range w.Couriers {
			var u usage
			if pid := c.PID(); pid != 0 { // it may end between; then nothing is known of this second
				if cpu, rss, anon, err := proc(pid); err == nil {
					u = usage{cpu, rss, anon, 0}
				}
				if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
					u.files = len(files)
				}
			}
			x.couriers = append(x.couriers, u)
		}
		all = append(all, x)
	}
}

// write puts the series into a CSV file: counts as what the second brought, by the names of
// emulator.Counts; then for each courier its time on the processor since its start, memory in MB and
// descriptors.
func write(out io.Writer, all []second, couriers int) error {
	c := csv.NewWriter(out)
	head := []string{"second"}
	fields := reflect.TypeFor[emulator.Counts]()
	for i := range fields.NumField() {
		head = append(head, strings.ToLower(fields.Field(i).Name))
	}
	for n := range couriers {
		for _, what := range []string{"cpu_s", "rss_mb", "anonymous_mb", "descriptors"} {
			head = append(head, fmt.Sprintf("n%d_%s", n, what))
		}
	}
	if err := c.Write(head); err != nil {
		return err
	}
	var last emulator.Counts
	for _, x := range all {
		row := []string{strconv.Itoa(x.at)}
		now, before := reflect.ValueOf(x.counts), reflect.ValueOf(last)
		for i := range now.NumField() {
			row = append(row, strconv.FormatInt(now.Field(i).Int()-before.Field(i).Int(), 10))
		}
		last = x.counts
		for _, u := range x.couriers {
			row = append(row, fmt.Sprintf("%.2f", u.cpu), fmt.Sprintf("%.1f", u.rss), fmt.Sprintf("%.1f", u.anon), strconv.Itoa(u.files))
		}
		if err := c.Write(row); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}

// played is a run that has ended, whoever played it.
type played struct {
	ledger     *emulator.Recorder
	start, end time.Time
	asked      int
	late       int64
}

// judge reads the day off the ledger, and returns what became of each message beside it.
func judge(s *scenario.Scenario, seed uint64, spec emulator.Spec, w played) (*Day, []scoring.Message) {
	d := &Day{
		Version: resultVersion, Scenario: s.Name, Seed: seed, Rate: spec.Rate, Latency: map[string]Latency{}, Counts: w.ledger.Counts(),
		Asked: w.asked, RigLate: w.late, Violations: []string{}, Failed: []string{}, Troubles: spec.ChannelFaults, Restarts: spec.Restarts, Fleet: spec.Fleet,
	}
	classes := map[string]emulator.ClassSpec{}
	times := map[string]*hdrhistogram.Histogram{}
	for _, c := range spec.Classes {
		classes[c.Name], times[c.Name] = c, hdrhistogram.New(1, 600_000, 3)
	}
	var all []scoring.Message
	w.ledger.Messages(func(m emulator.Message) {
		c := classes[m.Class]
		v := scoring.Message{Class: m.Class, Tenant: m.Tenant, SubmittedAt: m.CreatedAt.Sub(w.start), DeliveryTime: -1, Value: m.Value, LatencyTarget: c.TargetLatency, Deadline: c.Deadline, MinLateShare: c.LateValueShare}
		if !m.DeliveredAt.IsZero() {
			v.DeliveryTime = m.DeliveredAt.Sub(m.CreatedAt)
			// Over ten minutes is the last bucket: no class waits so long.
			if err := times[m.Class].RecordValue(min(max(v.DeliveryTime.Milliseconds(), 1), 600_000)); err != nil {
				d.Failed = append(d.Failed, err.Error())
			}
		}
		all = append(all, v)
	})
	share := map[string]float64{}
	for i, h := range spec.Tenants {
		share[h] = spec.TenantShares[i]
	}
	d.Service = scoring.ScoreService(all, spec.Traffic, share)
	for name, h := range times {
		d.Latency[name] = Latency{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
	}
	for _, v := range w.ledger.Check(w.end) {
		d.Violations = append(d.Violations, v.String())
	}
	if late := float64(d.RigLate) / float64(max(d.Asked, 1)); late > s.PassCriteria.MaxRigLateShare {
		d.Void = fmt.Sprintf("the rig itself submitted %.1f%% of the messages more than 50 ms late", 100*late)
	}
	if len(d.Violations) > s.PassCriteria.MaxViolations {
		d.Failed = append(d.Failed, fmt.Sprintf("%d violations, at most %d may be", len(d.Violations), s.PassCriteria.MaxViolations))
	}
	if d.Service.Score < s.PassCriteria.MinService {
		d.Failed = append(d.Failed, fmt.Sprintf("service %.3f, under %.3f", d.Service.Score, s.PassCriteria.MinService))
	}
	return d, all
}

// ReadDay reads a day's file. One of another version is refused.
func ReadDay(path string) (*Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := &Day{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("%s is no day's result: %w", path, err)
	}
	if d.Version != resultVersion {
		return nil, fmt.Errorf("%s was written as version %d, and this program reads version %d: play it again", path, d.Version, resultVersion)
	}
	return d, nil
}

// DayTable writes days, a line each.
func DayTable(out io.Writer, days []*Day) error {
	t := tabwriter.NewWriter(out, 0, 4, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, "| scenario\tseed\tasked\tservice\twhole\tworst 10 s\tworst class\tworst hotel\tp50/p99 ms\tundeliverable\tdeferred\tcalls refused\tlist calls\tviolations\tvoid\tfleet\tfull service after\tworst s: refused, lists\t")
	fmt.Fprintln(t, "|---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t---\t")
	for _, d := range days {
		var p []string
		for _, name := range slices.Sorted(maps.Keys(d.Latency)) {
			p = append(p, fmt.Sprintf("%d/%d", d.Latency[name].P50, d.Latency[name].P99))
		}
		s, fleet, full, worst := d.Service, "off", "", ""
		if d.Fleet {
			fleet = "on"
		}
		if f := d.Faulted; f != nil {
			worst = fmt.Sprintf("%d, %d", f.Refused, f.Lists)
			if full = "not in the run"; f.Recovery.RecoveryTime >= 0 {
				full = fmt.Sprintf("%.0f s", f.Recovery.RecoveryTime.Seconds())
			}
		}
		fmt.Fprintf(t, "| %s\t%d\t%d\t%.3f\t%.3f\t%.3f at %.0f s\t%.3f %s\t%.3f %s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", d.Scenario, d.Seed, d.Asked, s.Score, s.Overall, s.WorstWindow,
			s.WorstWindowStart.Seconds(), s.ByClass[s.WorstClass], s.WorstClass, s.ByTenant[s.WorstTenant], s.WorstTenant, strings.Join(p, " "), d.Counts.Undeliverable,
			d.Counts.Deferred, d.Counts.CallsRefused, d.Counts.Lists, len(d.Violations), d.Void, fleet, full, worst)
	}
	return t.Flush()
}
