package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"raventrestle"
)

const inUse = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","admin":"127.0.0.1:3","state":"/s","seed":"8c1f",` +
	`"limits":{"cores":0.27,"memory_mb":72,"sockets":608,"disk_mb":3},"known":{"index":1,"endpoints":[{"name":"a"}]},"settings":{"balancers":3,"az":"b",` +
	`"failure_domains":["a","b"],"models":["k"],"tenants":[{"name":"t","share":1}],"rate_by_class":{"free":0.5,"once":0.5},` +
	`"classes":[{"name":"free","aim_us":1000000,"deadline_us":8000000,"effect":"free","credit":2},` +
	`{"name":"once","aim_us":2000000,"deadline_us":16000000,"effect":"single_shot","credit":5,"window_us":1}],` +
	`"limits":{"most_held":86,"send_cap":8},"specifics":{"call_slots":5,"bundle_max":[1]}}}`

// loadInUse loads the text inUse and returns the configuration and a function that reloads it from another text.
func loadInUse(t interface {
	Fatal(...any)
	Helper()
}, dir string,
) (*Config, func(text string) (*Config, error)) {
	t.Helper()
	file := filepath.Join(dir, "config.json")
	getenv := func(key string) string { return map[string]string{"EDGE_CONFIG": file}[key] }
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(inUse)
	c, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c, func(text string) (*Config, error) {
		write(text)
		return Reload(getenv, c)
	}
}

// A reload accepts a file completely or not at all, and the error names the invalid field.
func TestReloadRejectsInvalidFile(t *testing.T) {
	_, reload := loadInUse(t, t.TempDir())
	for name, c := range map[string]struct{ old, new, err string }{
		"deadline of 0":                    {`"deadline_us":8000000`, `"deadline_us":0`, `classes[0].deadline_us ("free")`},
		"negative deadline":                {`"deadline_us":16000000`, `"deadline_us":-1`, `classes[1].deadline_us ("once")`},
		"deadline in words":                {`"deadline_us":8000000`, `"deadline_us":"8000000"`, "deadline_us"},
		"deadline null":                    {`"deadline_us":8000000`, `"deadline_us":null`, "classes[0].deadline_us is not a number"},
		"deadline of a year":               {`"deadline_us":8000000`, `"deadline_us":31536000000000`, "classes[0].deadline_us"},
		"deadline overflows":               {`"deadline_us":8000000`, `"deadline_us":9300000000000000`, "classes[0].deadline_us"},
		"too many digits":                  {`"deadline_us":8000000`, `"deadline_us":1e400`, "deadline_us"},
		"NaN":                              {`"deadline_us":8000000`, `"deadline_us":NaN`, "config"},
		"soft deadline after the deadline": {`"aim_us":1000000`, `"aim_us":9000000`, "classes[0].aim_us"},
		"no attempts":                      {`"send_cap":8`, `"send_cap":0`, "limits.send_cap"},
		"negative attempts":                {`"send_cap":8`, `"send_cap":-8`, "limits.send_cap"},
		"fraction of an attempt":           {`"send_cap":8`, `"send_cap":1.5`, "send_cap"},
		"attempts missing":                 {`,"send_cap":8`, ``, "settings.limits.send_cap is missing"},
		"a class lacks a key":              {`"aim_us":1000000,`, ``, "settings.classes[0].aim_us is missing"},
		"a list for a number":              {`"most_held":86`, `"most_held":[86]`, "most_held"},
		"duplicate class name":             {`"name":"once"`, `"name":"free"`, "is empty or a duplicate"},
		"no class":                         {inUse[strings.Index(inUse, `"classes"`):strings.Index(inUse, `,"limits":{"most`)], `"classes":[]`, "classes is empty"},
		"no settings":                      {inUse[strings.Index(inUse, `,"settings"`):], `}`, "settings"},
		"no discovery":                     {`"discovery":"127.0.0.1:2",`, ``, "discovery"},
		"empty discovery":                  {`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		"limits missing":                   {`"sockets":608,`, ``, "limits.sockets"},
		"arrival order":                    {`"effect":"free"`, `"effect":"free","by_arrival":true`, "by_arrival"},
		"second JSON value":                {`{"name":"n"`, `{} {"name":"n"`, "config"},
	} {
		text := strings.Replace(inUse, c.old, c.new, 1)
		if text == inUse {
			t.Fatalf("%s: nothing replaced", name)
		}
		if _, err := reload(text); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := reload(inUse); err != nil {
		t.Error(err)
	}
	for n := range len(inUse) { // a file that is cut off at any byte
		if _, err := reload(inUse[:n]); err == nil {
			t.Fatalf("accepted with %d of %d bytes", n, len(inUse))
		}
	}
}

// A file without one of the current file's keys, at any depth, is rejected. Exceptions are names of classes, keys that
// only some classes have, and keys inside the endpoint list.
func TestReloadRejectsAnyMissingKey(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		_, reload := loadInUse(t, dir)
		var file map[string]any
		if err := json.Unmarshal([]byte(inUse), &file); err != nil {
			t.Fatal(err)
		}
		at, path := file, ""
		for {
			key := rapid.SampledFrom(slices.Sorted(maps.Keys(at))).Draw(t, "key")
			path += "." + key
			next, ok := at[key].(map[string]any)
			if list, is := at[key].([]any); is && len(list) > 0 {
				next, ok = rapid.SampledFrom(list).Draw(t, "member").(map[string]any)
			}
			if ok && rapid.Bool().Draw(t, "deeper") {
				at = next
				continue
			}
			delete(at, key)
			break
		}
		text, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		_, err = reload(string(text))
		optional := map[string]bool{".settings.classes.window_us": true, ".settings.rate_by_class.free": true, ".settings.rate_by_class.once": true}
		want := optional[path] || strings.HasPrefix(path, ".known.")
		if (err == nil) != want {
			t.Fatalf("without %s: %v", path, err)
		}
	})
}

// Names keep their indices when classes are added, removed, added again or get other terms.
func TestKeepIndices(t *testing.T) {
	c, reload := loadInUse(t, t.TempDir())
	next := func(old, new string) *Config {
		t.Helper()
		n, err := reload(strings.Replace(inUse, old, new, 1))
		if err != nil {
			t.Fatal(err)
		}
		n.KeepIndices(c)
		return n
	}
	free := c.Settings.Classes[0]
	n := next(`"classes":[{"name":"free","aim_us":1000000,"deadline_us":8000000,"effect":"free","credit":2},`,
		`"classes":[{"name":"new","aim_us":1,"deadline_us":5,"effect":"guarded","credit":1},`)
	if n.Names.Classes["new"] != 2 || n.Names.Classes["once"] != 1 || Index(n.Names.Classes, "free") != -1 || n.Settings.Classes[0] != free {
		t.Fatalf("%v %+v", n.Names.Classes, n.Settings.Classes)
	}
	stricter := next(`"effect":"free"`, `"effect":"single_shot"`)
	if i := stricter.Names.Classes["free"]; i != 2 || stricter.Settings.Classes[0] != free || stricter.Settings.Classes[i].Idempotency != raventrestle.NonIdempotent {
		t.Fatalf("%v %+v", stricter.Names.Classes, stricter.Settings.Classes)
	}
	back, err := reload(inUse)
	if err != nil {
		t.Fatal(err)
	}
	if back.KeepIndices(stricter); back.Names.Classes["free"] != 0 || len(back.Settings.Classes) != 3 {
		t.Fatalf("%v %+v", back.Names.Classes, back.Settings.Classes)
	}
	if z := next(`"failure_domains":["a","b"]`, `"failure_domains":["c","b"]`); z.Names.Zones["b"] != 1 || z.Names.Zones["c"] != 2 || z.Settings.Zone != 1 || len(z.Settings.Zones) != 3 {
		t.Fatalf("%v %+v", z.Names.Zones, z.Settings.Zones)
	}
}

// Parsing the encoded terms of a class returns the same class.
func TestTermsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		softDeadline := rapid.Int64Range(1, 1e12).Draw(t, "aim")
		c := raventrestle.Class{
			Name: "c", SoftDeadline: microseconds(softDeadline), Deadline: microseconds(softDeadline + rapid.Int64Range(0, 1e12).Draw(t, "more")), EstimateFactor: rapid.Float64Range(0, 9).Draw(t, "stretch"),
			Value: rapid.Float64Range(0, 1e9).Draw(t, "credit"), LateValueShare: rapid.Float64Range(0, 1).Draw(t, "late"), Idempotency: raventrestle.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")),
			DedupScope: raventrestle.DedupScope(rapid.IntRange(0, 2).Draw(t, "group")), DedupWindow: microseconds(rapid.Int64Range(0, 1e12).Draw(t, "window")),
		}
		if got, err := ParseTerms("c", EncodeTerms(c)); err != nil || got != c {
			t.Fatalf("%q: %+v, want %+v: %v", EncodeTerms(c), got, c, err)
		}
	})
	if c, err := ParseTerms("c", "1 2"); err == nil || c.Idempotency != raventrestle.NonIdempotent {
		t.Fatal(fmt.Sprint(c, err))
	}
}
