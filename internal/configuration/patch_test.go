package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func mustParsePatch(tb testing.TB, text string) *Patch {
	tb.Helper()
	patch, err := ParsePatch([]byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return patch
}

// sameJSON wants two texts to have the same meaning.
func sameJSON(tb testing.TB, got []byte, want string) {
	tb.Helper()
	var a, b any
	if err := json.Unmarshal(got, &a); err != nil {
		tb.Fatalf("%s: %v", got, err)
	}
	if err := json.Unmarshal([]byte(want), &b); err != nil {
		tb.Fatalf("%s: %v", want, err)
	}
	if difference := cmp.Diff(b, a); difference != "" {
		tb.Errorf("got another text than wanted (-want +got):\n%s", difference)
	}
}

func TestPatchChangesNamedItems(t *testing.T) {
	current := mustParse(t, sample)
	patch := mustParsePatch(t, `{"generation":9,
	 "upsert":{
	  "routes":[
	   {"name":"r-2","hostname":"a.example","path_prefix":"/new/","type":"idempotent","timeout_ms":1,"backend":"s3","odd":[1]},
	   {"name":"r-3","hostname":"c.example","path_prefix":"/","type":"non_idempotent","timeout_ms":2,"backend":"s1"}],
	  "services":[{"name":"s3"}],
	  "tenants":[{"name":"t3","api_keys":["k3"]}],
	  "limits":{"max_body_bytes":5},
	  "policies":[{"name":"p2","value":3},{"name":"p3"}],
	  "extra":{"a":1}},
	 "delete":{"routes":["r-old"],"tenants":["t2"],"policies":["p1"],"nothing":["x"]}}`)
	next, err := Apply(current, patch)
	if err != nil {
		t.Fatal(err)
	}
	want := replaced(t, `{"name":"r-2","hostname":"a.example","path_prefix":"/x/y/","type":"idempotent","timeout_ms":900,
   "backend":"s2","max_retries":1}`, `
	   {"name":"r-2","hostname":"a.example","path_prefix":"/new/","type":"idempotent","timeout_ms":1,"backend":"s3","odd":[1]},
	   {"name":"r-3","hostname":"c.example","path_prefix":"/","type":"non_idempotent","timeout_ms":2,"backend":"s1"}`)
	for old, new := range map[string]string{
		`"generation": 7`:                   `"generation": 9`,
		`"max_connections":110}`:            `"max_connections":110},{"name":"s3"}`,
		`4194304`:                           `5`,
		`{"name":"t2","api_keys":["k3"]}]}`: `{"name":"t3","api_keys":["k3"]}],"extra":{"a":1}}`,
		`{"name":"p1","value":1},`:          ``,
		`{"name":"p2","value":2}`:           `{"name":"p2","value":3},{"name":"p3"}`,
	} {
		want = strings.Replace(want, old, new, 1)
	}
	sameJSON(t, next.Encode(), want)
	if !strings.Contains(string(next.Encode()), `"future":"\u00e9\"}]"}`) {
		t.Errorf("got %s, want the text of an item that stays unchanged", next.Encode())
	}
	if string(current.Encode()) != sample || current.Configuration().Generation != 7 {
		t.Errorf("got %s as the former document, want it unchanged", current.Encode())
	}
	read := mustParse(t, string(next.Encode()))
	if difference := cmp.Diff(read.Configuration(), next.Configuration()); difference != "" {
		t.Errorf("got another typed form than its text has (-text +typed):\n%s", difference)
	}
}

func TestInvalidItemsOfAPatchAreNamed(t *testing.T) {
	const route = `{"name":"r-9","hostname":"z.example","path_prefix":"/","type":"idempotent","timeout_ms":1,"backend":"s1"`
	for _, test := range []struct{ text, item, reason string }{
		{``, "change", "can't be read"},
		{`[]`, "change", "is not an object"},
		{`{"generation":9} x`, "change", "can't be read"},
		{`{"generation":9,"generation":10}`, "change", "twice"},
		{`{"upsert":{}}`, "generation", "is missing"},
		{`{"generation":"9"}`, "generation", "can't be read"},
		{`{"generation":7}`, "generation", "7 is not above 7"},
		{`{"generation":9,"upsert":[]}`, "upsert", "is not an object"},
		{`{"generation":9,"upsert":null}`, "upsert", "is not an object"},
		{`{"generation":9,"upsert":{"generation":8}}`, "upsert", "names the generation"},
		{`{"generation":9,"upsert":{"routes":{}}}`, "routes", "is not a list"},
		{`{"generation":9,"upsert":{"routes":[{}]}}`, "routes[0]", "has no name"},
		{`{"generation":9,"upsert":{"routes":[],"routes":[]}}`, "upsert", "twice"},
		{`{"generation":9,"upsert":{"services":[{"name":"s4"},{"name":"s4"}]}}`, `upsert of services "s4"`, "twice"},
		{`{"generation":9,"upsert":{"limits":[]}}`, "limits", "is not an object"},
		{`{"generation":9,"upsert":{"limits":{"max_body_bytes":"5"}}}`, "limits", "can't be read"},
		{`{"generation":9,"upsert":{"policies":7}}`, "upsert of policies", "another form"},
		{`{"generation":9,"upsert":{"note":[{"name":"x"}]}}`, "upsert of note", "another form"},
		{`{"generation":9,"delete":[]}`, "delete", "is not an object"},
		{`{"generation":9,"delete":{"routes":"r-1"}}`, "delete of routes", "is not a list"},
		{`{"generation":9,"delete":{"routes":[1]}}`, "delete of routes", "is not a string"},
		{`{"generation":9,"delete":{"services":["s2"]}}`, `route "r-2"`, `"s2" is no service`},
		{`{"generation":9,"upsert":{"routes":[` + route + `,"hostname":"y"}]}}`, "routes[0]", "twice"},
		{`{"generation":9,"upsert":{"routes":[` + route + `,"timeout_ms":0}]}}`, "routes[0]", "twice"},
		{`{"generation":9,"upsert":{"tenants":[{"name":"t9","api_keys":["k1"]}]}}`, `tenant "t9"`, "shares a key"},
	} {
		patch, err := ParsePatch([]byte(test.text))
		if err == nil {
			_, err = Apply(mustParse(t, sample), patch)
		}
		if !hasItem(err, test.item, test.reason) {
			t.Errorf("%s: got %v, want %s: %s", test.text, err, test.item, test.reason)
		}
	}
}

func TestPatchCanBeTheFirstVersion(t *testing.T) {
	next, err := Apply(nil, mustParsePatch(t, `{"generation":1,"upsert":{"services":[{"name":"s"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := string(next.Encode()); got != `{"generation":1,"routes":[],"services":[{"name":"s"}]}` {
		t.Errorf("got %s, want the first version with its service", got)
	}
}

func TestDeleteThenUpsertOfOneName(t *testing.T) {
	next, err := Apply(mustParse(t, sample), mustParsePatch(t,
		`{"generation":8,"delete":{"tenants":["t1"]},"upsert":{"tenants":[{"name":"t1"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if tenants := next.Configuration().Tenants; len(tenants) != 2 || tenants[1].Name != "t1" {
		t.Errorf("got %+v, want t1 as the second of two", tenants)
	}
}

// model is the reference model of a configuration: the items' texts by name, and their order.
type model struct {
	items map[string]string
	order []string
}

func (m *model) upsert(name, text string) {
	if _, known := m.items[name]; !known {
		m.order = append(m.order, name)
	}
	m.items[name] = text
}

func (m *model) remove(name string) {
	delete(m.items, name)
	m.order = slices.DeleteFunc(m.order, func(other string) bool { return other == name })
}

func (m *model) clone() *model {
	return &model{items: maps.Clone(m.items), order: slices.Clone(m.order)}
}

func (m *model) text(generation int64) string {
	texts := make([]string, 0, len(m.order))
	for _, name := range m.order {
		texts = append(texts, m.items[name])
	}
	return fmt.Sprintf(`{"generation":%d,"services":[{"name":"s"}],"routes":[%s]}`,
		generation, strings.Join(texts, ","))
}

// TestPatchesAgainstAModel applies random changes, valid and invalid, to a document and to the reference model.
func TestPatchesAgainstAModel(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		expected := &model{items: make(map[string]string)}
		generation := int64(1)
		current := mustParseRapid(t, expected.text(generation))
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			step := rapid.Int64Range(-1, 3).Draw(t, "step")
			upserts := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "upserts")
			removes := rapid.SliceOfN(rapid.SampledFrom(names), 0, 2).Draw(t, "removes")
			changed := expected.clone()
			for _, name := range removes {
				changed.remove(name)
			}
			valid := step > 0
			texts := make([]string, 0, len(upserts))
			for _, name := range upserts {
				prefix := rapid.SampledFrom(names).Draw(t, "prefix")
				text := fmt.Sprintf(`{"name":%q,"hostname":"h","path_prefix":"/%s/","type":"streaming",`+
					`"timeout_ms":5,"backend":"s","extra":%d}`, name, prefix, rapid.Int().Draw(t, "extra"))
				texts = append(texts, text)
				changed.upsert(name, text)
			}
			valid = valid && distinctPrefixes(changed)
			removed, err := json.Marshal(removes)
			if err != nil {
				t.Fatal(err)
			}
			patch, err := ParsePatch(fmt.Appendf(nil, `{"generation":%d,"upsert":{"routes":[%s]},"delete":{"routes":%s}}`,
				generation+step, strings.Join(texts, ","), removed))
			if err != nil {
				t.Fatal(err)
			}
			next, err := Apply(current, patch)
			if valid != (err == nil) {
				t.Fatalf("got %v, want an error: %v", err, !valid)
			}
			if err == nil {
				current, expected, generation = next, changed, generation+step
			}
			sameView(t, current, mustParseRapid(t, expected.text(generation)))
		}
	})
}

func mustParseRapid(t *rapid.T, text string) *Document {
	d, err := ParseDocument([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func distinctPrefixes(m *model) bool {
	seen := make(map[string]bool)
	for _, text := range m.items {
		var route Route
		if err := json.Unmarshal([]byte(text), &route); err != nil || seen[route.PathPrefix] {
			return false
		}
		seen[route.PathPrefix] = true
	}
	return true
}

// sameView wants two documents to have the same meaning, in typed form and in text.
func sameView(t *rapid.T, got, want *Document) {
	if difference := cmp.Diff(want.Configuration(), got.Configuration()); difference != "" {
		t.Fatalf("got another typed form than wanted (-want +got):\n%s", difference)
	}
	var a, b any
	if err := json.Unmarshal(got.Encode(), &a); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(want.Encode(), &b); err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(b, a); difference != "" {
		t.Fatalf("got another text than wanted (-want +got):\n%s", difference)
	}
}
