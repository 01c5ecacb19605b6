package faultschedule

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// update rewrites the golden file with what the generator gives now.
var update = flag.Bool("update", false, "rewrite testdata/structure.golden")

// seedsPerTheme is the number of seeds that forEachSchedule generates of each theme.
const seedsPerTheme = 200

func readTestSite(t *testing.T) *Site {
	t.Helper()
	site, err := ReadSite(filepath.Join("testdata", "site.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// largeTestSite returns a site that tolerates the loss of two machines and has every contract.
func largeTestSite(t *testing.T) *Site {
	site := readTestSite(t)
	site.Tolerance.Machines = 2
	site.Contracts = append(site.Contracts, "health", "pool")
	return site
}

// forEachSchedule calls visit with the schedules of all themes for seeds 1 to seedsPerTheme.
func forEachSchedule(t *testing.T, site *Site, visit func(schedule *Schedule)) {
	t.Helper()
	for seed := range uint64(seedsPerTheme) {
		for _, theme := range ThemeNames() {
			schedule, err := Generate(site, theme, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			visit(schedule)
		}
	}
}

// A schedule that the journal names by theme and seed must stay reproducible, so the events of a seed may only change on
// purpose, together with the golden file.
func TestSeedsGiveGoldenEvents(t *testing.T) {
	var got strings.Builder
	for _, theme := range ThemeNames() {
		for seed := range uint64(3) {
			schedule, err := Generate(readTestSite(t), theme, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&got, "%s\n  plan   %s\n  faults %s\n  end    %s\n", schedule.Name, formatEvents(schedule.Plan), formatEvents(schedule.Faults),
				strings.TrimSpace(string(schedule.Closing.Kind)+" "+schedule.Closing.How))
		}
	}
	path := filepath.Join("testdata", "structure.golden")
	if *update {
		if err := os.WriteFile(path, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Error(diff)
	}
}

func formatEvents(events []Event) string {
	var parts []string
	for _, event := range events {
		parts = append(parts, strings.TrimSpace(fmt.Sprintf("%s@%v %s", event.Kind, event.At, event.How)))
	}
	return strings.Join(parts, ", ")
}

func TestSameSeedEncodesToSameBytes(t *testing.T) {
	forEachSchedule(t, readTestSite(t), func(schedule *Schedule) {
		theme, number, _ := strings.Cut(schedule.Name, "-")
		var seed uint64
		if _, err := fmt.Sscan(number, &seed); err != nil {
			t.Fatal(err)
		}
		if seed > 5 {
			return
		}
		repeated, err := Generate(readTestSite(t), theme, seed)
		if err != nil {
			t.Fatal(err)
		}
		first, second := mustEncode(t, schedule), mustEncode(t, repeated)
		if !bytes.Equal(first, second) {
			t.Errorf("%s: %s", schedule.Name, cmp.Diff(string(first), string(second)))
		}
	})
}

func mustEncode(t *testing.T, day *Schedule) []byte {
	t.Helper()
	text, err := day.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Generate checks each schedule against kindSpecs, so this test also validates many schedules. It fails if no theme
// generates a kind of the table.
func TestThemesGenerateEveryKind(t *testing.T) {
	drawn := make(map[Kind]bool)
	forEachSchedule(t, largeTestSite(t), func(schedule *Schedule) {
		for _, event := range slices.Concat(schedule.Plan, schedule.Faults) {
			drawn[event.Kind] = true
		}
	})
	for kind := range kindSpecs {
		if !drawn[kind] {
			t.Errorf("no theme draws %s", kind)
		}
	}
}

func TestCheckRejectsInvalidEvents(t *testing.T) {
	cases := map[string]Schedule{
		"is not a known kind of event":         {Faults: []Event{{At: 1, Kind: "flood"}}},
		"is in the wrong list, plan or faults": {Plan: []Event{{At: 1, Kind: CorePartition}}},
		`does not accept "sideways" in how`:    {Faults: []Event{{At: 1, Kind: CorePartition, How: "leader sideways"}}},
		`does not accept "leader" in how`:      {Faults: []Event{{At: 1, Kind: ServerGreyFailure, How: "errors leader"}}},
		"has no time":                          {Faults: []Event{{Kind: CorePartition}}},
		"is not a known closing fault":         {Closing: &ClosingFault{Kind: CorePartition}},
		`does not accept "aimed" in how`:       {Closing: &ClosingFault{Kind: WipeAfterAck, How: "aimed"}},
	}
	for want, schedule := range cases {
		if err := schedule.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Events whose contract the site does not have are left out. A site with the contract gets them.
func TestEventKindsFollowSiteContracts(t *testing.T) {
	count := func(site *Site, kind Kind) (n int) {
		forEachSchedule(t, site, func(schedule *Schedule) {
			for _, event := range slices.Concat(schedule.Plan, schedule.Faults) {
				if event.Kind == kind {
					n++
				}
			}
		})
		return n
	}
	for _, kind := range []Kind{ServerFalseHealth, ServerFlapping, IdleRace} {
		if count(readTestSite(t), kind) != 0 || count(largeTestSite(t), kind) == 0 {
			t.Errorf("%s does not depend on its contract alone", kind)
		}
	}
}

// A fault affects two machines at once only if the site must tolerate the loss of two, and even then not always.
func TestMachineCountFollowsTolerance(t *testing.T) {
	counts := func(site *Site) map[int]int {
		schedulesByCount := make(map[int]int)
		forEachSchedule(t, site, func(schedule *Schedule) {
			for _, event := range schedule.Faults {
				if event.Kind == CorePartition {
					schedulesByCount[event.Count]++
				}
			}
		})
		return schedulesByCount
	}
	if small := counts(readTestSite(t)); len(small) != 1 || small[1] == 0 {
		t.Errorf("a site that tolerates the loss of one machine: %v", small)
	}
	if large := counts(largeTestSite(t)); large[1] == 0 || large[2] == 0 || len(large) != 2 {
		t.Errorf("a site that tolerates the loss of two machines: %v", large)
	}
}

// The second fault of the theme "twice" equals the first one and begins after the first has ended.
func TestRepeatedFaultIsIdentical(t *testing.T) {
	for seed := range uint64(seedsPerTheme) {
		schedule, err := Generate(readTestSite(t), "twice", seed+1)
		if err != nil {
			t.Fatal(err)
		}
		first, second := schedule.Faults[0], schedule.Faults[1]
		if second.At <= first.At+first.DurationS {
			t.Errorf("%s: %v begins before %v has ended", schedule.Name, second, first)
		}
		second.At = first.At
		if first != second {
			t.Errorf("%s: %v, then %v", schedule.Name, first, second)
		}
	}
}

// The times of events are scaled with the length of the site's schedules.
func TestTimesScaleWithScheduleLength(t *testing.T) {
	site := readTestSite(t)
	site.LengthS = 10 * referenceLength
	schedule, err := Generate(site, "cut", 1)
	if err != nil {
		t.Fatal(err)
	}
	if at := schedule.Faults[0].At; at < 30 || at > 50 {
		t.Errorf("the partition begins at %v, want 30 to 50", at)
	}
}

// The encoded file must decode to the same schedule, with the site's traffic.
func TestEncodedScheduleDecodes(t *testing.T) {
	site := readTestSite(t)
	schedule, err := Generate(site, "mix", 1)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Days []Schedule `toml:"day"`
	}
	if err := toml.Unmarshal(mustEncode(t, schedule), &file); err != nil {
		t.Fatal(err)
	}
	if len(file.Days) != 1 {
		t.Fatalf("%d schedules", len(file.Days))
	}
	if diff := cmp.Diff(*schedule, file.Days[0]); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(site.Schedules[0].Traffic, file.Days[0].Traffic); diff != "" {
		t.Error(diff)
	}
}

func TestWriteCreatesOneFilePerSchedule(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "days")
	options := Options{Site: filepath.Join("testdata", "site.toml"), Out: directory, Themes: []string{"cut", "disk"}, First: 3, Last: 4}
	paths, err := Write(options)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"cut-3.toml", "disk-3.toml", "cut-4.toml", "disk-4.toml"}
	for i, path := range paths {
		if path != filepath.Join(directory, want[i]) {
			t.Errorf("file %d is %s, want %s", i, path, want[i])
		}
		if _, err := os.Stat(path); err != nil {
			t.Error(err)
		}
	}
	if len(paths) != len(want) {
		t.Errorf("%d files, want %d", len(paths), len(want))
	}
}

func TestErrorsNameInvalidOption(t *testing.T) {
	valid := Options{Site: filepath.Join("testdata", "site.toml"), Out: t.TempDir(), First: 1, Last: 1}
	cases := map[string]func(o *Options){
		"--site: a site file is required":                  func(o *Options) { o.Site = "" },
		"--site: open":                                     func(o *Options) { o.Site = filepath.Join(t.TempDir(), "none.toml") },
		"--out: a directory for the schedules is required": func(o *Options) { o.Out = "" },
		"--out: mkdir":                                     func(o *Options) { o.Out = o.Site },
		"--first: seeds begin at 1":                        func(o *Options) { o.First = 0 },
		"--last: 1 is less than --first":                   func(o *Options) { o.First = 2 },
		"more than 10000 schedules":                        func(o *Options) { o.Last = maxSchedules },
		`--themes: "flood" is not one of`:                  func(o *Options) { o.Themes = []string{"cut", "flood"} },
	}
	for want, invalidate := range cases {
		options := valid
		invalidate(&options)
		_, err := Write(options)
		var flagErr *FlagError
		if !errors.As(err, &flagErr) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

func TestErrorsNameInvalidSiteItem(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "site.toml"))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][2]string{
		"length_s":          {"length_s = 34.0", ""},
		"tolerate.machines": {"machines = 1", "machines = 0"},
		"timing.catch_up_s": {"catch_up_s = 4.0", ""},
		"bounds.config_ms":  {"config_ms = 2500.0", ""},
		"bounds.drain_ms":   {"drain_ms = 2000", ""},
		"services":          {`services = [{ name = "tides", slots = 8 }]`, ""},
		"day":               {"[[day]]", "[other]"},
	}
	for item, edit := range cases {
		_, err := ParseSite("file", []byte(strings.Replace(string(text), edit[0], edit[1], 1)))
		var siteErr *SiteError
		if !errors.As(err, &siteErr) || siteErr.Item != item {
			t.Errorf("got %v, want an error for %s", err, item)
		}
	}
	if _, err := ParseSite("file", []byte("zones = 7")); err == nil {
		t.Error("a number was accepted as the list of zones")
	}
}
