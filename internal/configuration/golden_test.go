package configuration

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// goldenConfiguration is what testdata/golden/document.json says, which has each key of the operators' page, and
// cold_per_s, with a value of its own.
func goldenConfiguration() *Configuration {
	return &Configuration{
		Generation: 7,
		Routes: []Route{
			{
				Name: "r-1", Hostname: "Ficu95.example", PathPrefix: "/lohu930/", Type: Streaming, TimeoutMS: 15000,
				LatencyTargetMS: 500, Priority: 11, Backend: "huvo11a",
				TrafficSplit: []Split{{Backend: "huvo11a", Weight: 90}, {Backend: "wuno96b", Weight: 10}},
				MaxAttempts:  2, Public: true, SessionAffinity: true, Resumable: true, EventGapTargetMS: 300,
			},
			{
				Name: "r-2", Hostname: "ficu95.example", PathPrefix: "/a/", Type: Idempotent, TimeoutMS: 30000,
				Backend: "wuno96b", Public: true,
			},
			{
				Name: "r-3", Hostname: "ficu95.example", PathPrefix: "/b/", Type: NonIdempotent, TimeoutMS: 1,
				Backend: "wuno96b", SessionAffinity: true,
			},
			{
				Name: "r-4", Hostname: "ficu95.example", PathPrefix: "/c/", Type: Streaming, TimeoutMS: 2,
				Backend: "wuno96b", Resumable: true,
			},
		},
		Services: []Service{
			{
				Name: "huvo11a", HealthCheck: "/healthz", MaxConnections: 370, Protocol: "h1", TLS: true, WarmUpRate: 0.75,
				Engine: &Engine{
					Slots: 64, KVTokens: 132037, KVBytesPerToken: 163840, LinkMbps: 88000.5, TokensPerEvent: 3,
					Models:         []Model{{Name: "daka510000", WeightsMB: 72700.25, LoadTimeSeconds: 6.5, AdapterCount: 37, AdapterSizeMB: 66.5}},
					WeightMemoryMB: 230000.75, AdapterSlots: 8, LoadsPerSecond: 2.8,
				},
			},
			{Name: "wuno96b", HealthCheck: "/healthz", MaxConnections: 110, Protocol: "h1"},
		},
		Limits: Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15001},
		Tenants: []Tenant{
			{
				Name: "huka270", APIKeys: []string{"3d3zji9n73hh2b9wu3fe", "xd9dnn2ctnfzs989anu6"}, Priority: 12,
				Unit: "token_count", DefaultTokens: 200, RatePerSecond: 35285.5, Burst: 35286.5,
			},
			{Name: "t-2", APIKeys: []string{"k3"}},
		},
	}
}

func TestGoldenDocumentIsReadAsBefore(t *testing.T) {
	text := readGolden(t, "document.json")
	document, err := ParseDocument(text)
	if err != nil {
		t.Fatalf("parse: got %v, want no error", err)
	}
	if difference := cmp.Diff(goldenConfiguration(), document.Configuration()); difference != "" {
		t.Errorf("got another configuration than wanted (-want +got):\n%s", difference)
	}
	if got := document.Encode(); string(got) != string(text) {
		t.Errorf("encode: got %s, want the text as it was sent", got)
	}
	if err := Validate(document.Configuration(), &Configuration{Generation: 6}); err != nil {
		t.Errorf("check: got %v, want no error", err)
	}
}

// TestGoldenDocumentSetsEachField fails when a field is added that the golden document does not set, and when two
// fields have the same value, so that exchanged keys could not be seen.
func TestGoldenDocumentSetsEachField(t *testing.T) {
	filled := goldenConfiguration()
	filled.Routes, filled.Services, filled.Tenants = filled.Routes[:1], filled.Services[:1], filled.Tenants[:1]
	checkSet(t, reflect.ValueOf(*filled), "Configuration", make(map[string]string))
}

func checkSet(t *testing.T, value reflect.Value, path string, seen map[string]string) {
	t.Helper()
	switch {
	case value.IsZero():
		t.Errorf("%s: got the zero value, want a value of its own", path)
	case value.Kind() == reflect.Pointer:
		checkSet(t, value.Elem(), path, seen)
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			checkSet(t, value.Field(i), path+"."+value.Type().Field(i).Name, seen)
		}
	case value.Kind() == reflect.Slice:
		for i := range value.Len() {
			checkSet(t, value.Index(i), fmt.Sprintf("%s[%d]", path, i), seen)
		}
	case value.Kind() == reflect.Bool:
	default:
		leaf := fmt.Sprint(value)
		if other, taken := seen[leaf]; taken && !strings.HasSuffix(path, "Backend") && !strings.HasSuffix(other, "Backend") {
			t.Errorf("%s: got the value %s of %s, want one of its own", path, leaf, other)
		}
		seen[leaf] = path
	}
}

// TestGoldenConfigurationIsWritten pins the keys that a configuration is written with, and which are left out.
func TestGoldenConfigurationIsWritten(t *testing.T) {
	blank := &Configuration{
		Routes: []Route{{}}, Services: []Service{{Engine: &Engine{Models: []Model{{}}}}, {}}, Tenants: []Tenant{{}},
	}
	blank.Routes[0].TrafficSplit = []Split{{}}
	for name, from := range map[string]*Configuration{
		"written.json": goldenConfiguration(), "written-blank.json": blank, "written-empty.json": {},
	} {
		got, err := json.Marshal(from)
		if err != nil {
			t.Fatal(err)
		}
		if want := strings.TrimSpace(string(readGolden(t, name))); string(got) != want {
			t.Errorf("%s:\n got %s\nwant %s", name, got, want)
		}
	}
}

func TestGoldenPatchIsApplied(t *testing.T) {
	for _, test := range []struct {
		name    string
		current *Document
		patch   string
	}{
		{"patched.json", mustParse(t, string(readGolden(t, "document.json"))), string(readGolden(t, "patch.json"))},
		{"patched-first.json", nil, `{"upsert":{"services":[{"name":"wuno96b"}],"routes":[{"name":"r","hostname":"h",` +
			`"path_prefix":"/","type":"streaming","timeout_ms":3,"backend":"wuno96b"}]},"generation":3}`},
	} {
		patch, err := ParsePatch([]byte(test.patch))
		if err != nil {
			t.Fatalf("%s: parse: got %v, want no error", test.name, err)
		}
		next, err := Apply(test.current, patch)
		if err != nil {
			t.Fatalf("%s: apply: got %v, want no error", test.name, err)
		}
		if want := strings.TrimSpace(string(readGolden(t, test.name))); string(next.Encode()) != want {
			t.Errorf("%s:\n got %s\nwant %s", test.name, next.Encode(), want)
		}
		again := mustParse(t, string(next.Encode()))
		if difference := cmp.Diff(again.Configuration(), next.Configuration()); difference != "" {
			t.Errorf("%s: got another view than its text has (-text +view):\n%s", test.name, difference)
		}
	}
}

// TestGoldenInvalidItems pins which items the errors of a configuration or a change name, all of them in their order.
func TestGoldenInvalidItems(t *testing.T) {
	const route = `{"name":"r","hostname":"h","path_prefix":"/","type":"streaming","timeout_ms":1,"backend":"s"`
	const base = `{"generation":7,"services":[{"name":"s"}],"routes":[`
	for _, test := range []struct {
		text  string
		items []string
	}{
		{``, []string{"configuration"}},
		{`[]`, []string{"configuration"}},
		{"{\"a\":\"\xff\"}", []string{"configuration"}},
		{`{"generation":1,"generation":2}`, []string{"configuration"}},
		{`{}`, []string{"generation"}}, // the others are not looked for once one is missing
		{`{"generation":7}`, []string{"routes"}},
		{`{"generation":7,"routes":[]}`, []string{"services"}},
		{`{"generation":7,"routes":1,"services":null,"tenants":{}}`, []string{"routes", "services", "tenants"}},
		{`{"generation":"x","routes":[],"services":[],"limits":7}`, []string{"generation", "limits"}},
		{`{"generation":7,"routes":[7,{},{"name":3},{"name":"a","timeout_ms":"1"}],"services":[{"name":"b","tls":1}],` +
			`"tenants":[{"name":"c","name":"d"}]}`, []string{
			"routes[0]", "routes[1]", "routes[2]", `routes[3] "a"`, `services[0] "b"`, "tenants[0]",
		}},
		{`{"generation":7,"routes":[],"services":[],"limits":{"a":1,"a":2}}`, []string{"limits"}},
		{base + `]}`, nil},
		{base + route + `}]}`, nil},
		{`{"generation":6,"routes":[],"services":[]}`, []string{"generation"}},
		{`{"generation":7,"routes":[],"services":[{"name":""},{"name":"s"},{"name":"s"}]}`, []string{"service", `service "s"`}},
		{base + route + `},` + route + `}]}`, []string{`route "r"`, `route "r"`}}, // twice, and one place
		{base + `{"name":""}]}`, []string{"route", `route ""`, `route ""`, `route ""`, `route ""`, `route ""`}},
		{
			base + strings.Replace(route, `"backend":"s"`, `"traffic_split":[{"backend":"x","weight":-1}]`, 1) + `}]}`,
			[]string{`route "r"`, `route "r"`, `route "r"`},
		},
		{
			base + `],"tenants":[{"name":""},{"name":"t","api_keys":["k"]},{"name":"t","api_keys":["k"]}]}`,
			[]string{"tenant", `tenant "t"`, `tenant "t"`},
		},
	} {
		if got := itemsOf(t, parseAndCheck(test.text, &Configuration{Generation: 6})); !cmp.Equal(got, test.items) {
			t.Errorf("%s: got items %q, want %q", test.text, got, test.items)
		}
	}
	current := mustParse(t, base+route+`}],"object":{"a":1},"list":[{"name":"x"}]}`)
	for _, test := range []struct {
		text  string
		items []string
	}{
		{``, []string{"change"}},
		{`7`, []string{"change"}},
		{`{"upsert":7,"delete":7}`, []string{"upsert", "delete", "generation"}},
		{`{"generation":7}`, []string{"generation"}},
		{`{"generation":8}`, nil},
		{`{"generation":8,"upsert":{"generation":9}}`, []string{"upsert"}},
		{`{"generation":8,"upsert":{"routes":1,"tenants":[{}]}}`, []string{"routes", "tenants[0]", "upsert of tenants"}},
		{`{"generation":8,"upsert":{"routes":[` + route + `},` + route + `}]}}`, []string{`upsert of routes "r"`}},
		{`{"generation":8,"upsert":{"services":[{"name":""}]}}`, []string{"upsert of services"}},
		{
			`{"generation":8,"delete":{"routes":7,"tenants":[7,"t",8]}}`,
			[]string{"delete of routes", "delete of tenants", "delete of tenants"},
		},
		{`{"generation":8,"upsert":{"list":7,"object":[{"name":"y"}]}}`, []string{"upsert of list", "upsert of object"}},
		{`{"generation":8,"upsert":{"limits":7}}`, []string{"limits"}},
		{`{"generation":"8"}`, []string{"generation"}},
		{`{"generation":8,"delete":{"services":["s"]}}`, []string{`route "r"`}},
	} {
		patch, err := ParsePatch([]byte(test.text))
		if err == nil {
			_, err = Apply(current, patch)
		}
		if got := itemsOf(t, err); !cmp.Equal(got, test.items) {
			t.Errorf("change %s: got items %q, want %q", test.text, got, test.items)
		}
	}
}

// itemsOf returns the items of an error, and wants its text to have them with their reasons.
func itemsOf(t *testing.T, err error) []string {
	t.Helper()
	if err == nil {
		return nil
	}
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("got %T, want an *InvalidError", err)
		return nil
	}
	var items, texts []string
	for _, fault := range invalid.Items {
		items = append(items, fault.Item)
		texts = append(texts, fault.Item+": "+fault.Reason)
		if fault.Reason == "" {
			t.Errorf("%s: got no reason, want one", fault.Item)
		}
	}
	if got, want := err.Error(), "invalid configuration: "+strings.Join(texts, "; "); got != want {
		t.Errorf("got the text %q, want %q", got, want)
	}
	return items
}

// TestGoldenItemErrorIsEncoded pins how an item error is written in the results that control instances keep and send: by the
// names of its fields, as it has no tags.
func TestGoldenItemErrorIsEncoded(t *testing.T) {
	fault := ItemError{Item: `route "r"`, Reason: "is there twice"}
	const want = "a2644974656d69726f757465202272226652656173" + "6f6e6e6973207468657265207477696365"
	got, err := cbor.Marshal(fault)
	if err != nil || hex.EncodeToString(got) != want {
		t.Errorf("got %x, %v, want %s", got, err, want)
	}
	var back ItemError
	if err := cbor.Unmarshal(got, &back); err != nil || back != fault {
		t.Errorf("got %+v, %v, want %+v", back, err, fault)
	}
}

func TestGoldenNames(t *testing.T) {
	for _, test := range []struct{ got, want string }{
		{string(Idempotent), "idempotent"},
		{string(NonIdempotent), "non_idempotent"},
		{string(Streaming), "streaming"},
		{UnitTokens, "token_count"},
	} {
		if test.got != test.want {
			t.Errorf("got %q, want %q", test.got, test.want)
		}
	}
}
