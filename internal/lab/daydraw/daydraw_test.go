package daydraw

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

// update writes the golden file anew.
var update = flag.Bool("update", false, "write testdata/structure.golden anew")

// seedsChecked is how many seeds of each theme are drawn where all must hold.
const seedsChecked = 200

func testSite(t *testing.T) *Site {
	t.Helper()
	site, err := ReadSite(filepath.Join("testdata", "site.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// largeSite bears two lost machines and has every contract.
func largeSite(t *testing.T) *Site {
	site := testSite(t)
	site.Tolerate.Machines = 2
	site.Contracts = append(site.Contracts, "health", "pool")
	return site
}

// eachDay draws many days of all themes.
func eachDay(t *testing.T, site *Site, look func(day *Day)) {
	t.Helper()
	for seed := range uint64(seedsChecked) {
		for _, theme := range Names() {
			day, err := Draw(site, theme, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			look(day)
		}
	}
}

// The kinds that a seed draws change only when somebody means it: a day of a journal is found again by its seed.
func TestStructure(t *testing.T) {
	var got strings.Builder
	for _, theme := range Names() {
		for seed := range uint64(3) {
			day, err := Draw(testSite(t), theme, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&got, "%s\n  plan   %s\n  faults %s\n  end    %s\n", day.Name, outline(day.Plan), outline(day.Faults),
				strings.TrimSpace(string(day.Closing.Kind)+" "+day.Closing.How))
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
	if difference := cmp.Diff(string(want), got.String()); difference != "" {
		t.Error(difference)
	}
}

func outline(entries []Entry) string {
	var parts []string
	for _, entry := range entries {
		parts = append(parts, strings.TrimSpace(fmt.Sprintf("%s@%v %s", entry.Kind, entry.At, entry.How)))
	}
	return strings.Join(parts, ", ")
}

func TestSameSeedSameBytes(t *testing.T) {
	eachDay(t, testSite(t), func(day *Day) {
		theme, number, _ := strings.Cut(day.Name, "-")
		var seed uint64
		if _, err := fmt.Sscan(number, &seed); err != nil {
			t.Fatal(err)
		}
		if seed > 5 {
			return
		}
		again, err := Draw(testSite(t), theme, seed)
		if err != nil {
			t.Fatal(err)
		}
		one, two := encode(t, day), encode(t, again)
		if !bytes.Equal(one, two) {
			t.Errorf("%s: %s", day.Name, cmp.Diff(string(one), string(two)))
		}
	})
}

func encode(t *testing.T, day *Day) []byte {
	t.Helper()
	text, err := day.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Draw checks each day against the table; here many days go through it, and every kind of the table is drawn by some.
func TestEveryKindIsKnownAndDrawn(t *testing.T) {
	drawn := make(map[Kind]bool)
	eachDay(t, largeSite(t), func(day *Day) {
		for _, entry := range slices.Concat(day.Plan, day.Faults) {
			drawn[entry.Kind] = true
		}
	})
	for kind := range forms {
		if !drawn[kind] {
			t.Errorf("no theme draws %s", kind)
		}
	}
}

func TestCheckFindsWhatThePageDoesNotHave(t *testing.T) {
	cases := map[string]Day{
		"is no known kind":         {Faults: []Entry{{At: 1, Kind: "flood"}}},
		"stands on the wrong side": {Plan: []Entry{{At: 1, Kind: CoreCut}}},
		`can't be "sideways"`:      {Faults: []Entry{{At: 1, Kind: CoreCut, How: "leader sideways"}}},
		`can't be "leader"`:        {Faults: []Entry{{At: 1, Kind: SrvGrey, How: "errors leader"}}},
		"has no time":              {Faults: []Entry{{Kind: CoreCut}}},
		"no known closing fault":   {Closing: &Closing{Kind: CoreCut}},
		`can't be "aimed"`:         {Closing: &Closing{Kind: WipeAfterAck, How: "aimed"}},
	}
	for want, day := range cases {
		if err := day.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Kinds of contracts that the site doesn't have are left out; others are there.
func TestContracts(t *testing.T) {
	count := func(site *Site, kind Kind) (n int) {
		eachDay(t, site, func(day *Day) {
			for _, entry := range slices.Concat(day.Plan, day.Faults) {
				if entry.Kind == kind {
					n++
				}
			}
		})
		return n
	}
	for _, kind := range []Kind{SrvLyingHealth, SrvFlap, IdleRace} {
		if count(testSite(t), kind) != 0 || count(largeSite(t), kind) == 0 {
			t.Errorf("%s comes by other contracts than its own", kind)
		}
	}
}

// Two machines at once are struck only where the site must bear it, and there not always.
func TestMachinesAtOnce(t *testing.T) {
	counts := func(site *Site) map[int]int {
		found := make(map[int]int)
		eachDay(t, site, func(day *Day) {
			for _, entry := range day.Faults {
				if entry.Kind == CoreCut {
					found[entry.Count]++
				}
			}
		})
		return found
	}
	if small := counts(testSite(t)); len(small) != 1 || small[1] == 0 {
		t.Errorf("where one may be lost: %v", small)
	}
	if large := counts(largeSite(t)); large[1] == 0 || large[2] == 0 || len(large) != 2 {
		t.Errorf("where two may be lost: %v", large)
	}
}

// A second trouble of the theme twice is the first one again, after it was mended.
func TestTwice(t *testing.T) {
	for seed := range uint64(seedsChecked) {
		day, err := Draw(testSite(t), "twice", seed+1)
		if err != nil {
			t.Fatal(err)
		}
		first, again := day.Faults[0], day.Faults[1]
		if again.At <= first.At+first.ForS {
			t.Errorf("%s: %v comes before %v is over", day.Name, again, first)
		}
		again.At = first.At
		if first != again {
			t.Errorf("%s: %v, then %v", day.Name, first, again)
		}
	}
}

// Times of a longer day are stretched.
func TestLength(t *testing.T) {
	long := testSite(t)
	long.LengthS = 10 * drawnLength
	day, err := Draw(long, "cut", 1)
	if err != nil {
		t.Fatal(err)
	}
	if at := day.Faults[0].At; at < 30 || at > 50 {
		t.Errorf("the cut begins at %v", at)
	}
}

// The bench reads what is written: it parses, and holds the site's traffic.
func TestEncode(t *testing.T) {
	site := testSite(t)
	day, err := Draw(site, "mix", 1)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Days []Day `toml:"day"`
	}
	if err := toml.Unmarshal(encode(t, day), &file); err != nil {
		t.Fatal(err)
	}
	if len(file.Days) != 1 {
		t.Fatalf("%d days", len(file.Days))
	}
	if difference := cmp.Diff(*day, file.Days[0]); difference != "" {
		t.Error(difference)
	}
	if difference := cmp.Diff(site.Days[0].Traffic, file.Days[0].Traffic); difference != "" {
		t.Error(difference)
	}
}

func TestWrite(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "days")
	options := Options{Site: filepath.Join("testdata", "site.toml"), Out: folder, Themes: []string{"cut", "disk"}, First: 3, Last: 4}
	paths, err := Write(options)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"cut-3.toml", "disk-3.toml", "cut-4.toml", "disk-4.toml"}
	for i, path := range paths {
		if path != filepath.Join(folder, want[i]) {
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

func TestWrongOptionsAreNamed(t *testing.T) {
	good := Options{Site: filepath.Join("testdata", "site.toml"), Out: t.TempDir(), First: 1, Last: 1}
	cases := map[string]func(o *Options){
		"--site: name a site file": func(o *Options) { o.Site = "" },
		"--site: open":             func(o *Options) { o.Site = filepath.Join(t.TempDir(), "none.toml") },
		"--out: name a folder":     func(o *Options) { o.Out = "" },
		"--out: mkdir":             func(o *Options) { o.Out = o.Site },
		"--first: seeds begin":     func(o *Options) { o.First = 0 },
		"--last: 1 is below":       func(o *Options) { o.First = 2 },
		"more than 10000 days":     func(o *Options) { o.Last = mostDays },
		`--themes: "flood" is`:     func(o *Options) { o.Themes = []string{"cut", "flood"} },
	}
	for want, spoil := range cases {
		options := good
		spoil(&options)
		_, err := Write(options)
		var flagged *FlagError
		if !errors.As(err, &flagged) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

func TestSiteFaultsAreNamed(t *testing.T) {
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
	for item, change := range cases {
		_, err := ParseSite("file", []byte(strings.Replace(string(text), change[0], change[1], 1)))
		var fault *SiteError
		if !errors.As(err, &fault) || fault.Item != item {
			t.Errorf("got %v, want a fault of %s", err, item)
		}
	}
	if _, err := ParseSite("file", []byte("zones = 7")); err == nil {
		t.Error("zones that are no list were read")
	}
}
