package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDifferences(t *testing.T) {
	before := `{"generation":5,"routes":[{"name":"a","x":1},{"name":"b"}],"limits":{"m":1}}`
	after := `{"generation":7,"routes":[{"name":"a","x":2},{"name":"c"}],"limits":{"m":1}}`
	got, err := differences([]byte(before), []byte(after))
	if err != nil {
		t.Fatal(err)
	}
	want := []difference{{"-", "routes b"}, {"~", "generation"}, {"~", "routes a"}, {"+", "routes c"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("got other differences than wanted (-want +got):\n%s", diff)
	}
	if _, err := differences([]byte(before), []byte("{")); err == nil {
		t.Error("half a configuration: got no error, want one")
	}
}

func TestTablesForPeople(t *testing.T) {
	cases := []struct {
		print    func(w io.Writer, text []byte) error
		text     string
		contains []string
	}{
		{
			printMembers, `{"epoch":4,"members":[{"control":"10.0.0.1:1","place":1,"live":true},{"control":"10.0.0.2:1"}]}`,
			[]string{"epoch 4", "head\t10.0.0.1:1", "-\t10.0.0.2:1", "no contact with a majority known"},
		},
		{printMembers, `{"epoch":4,"as_of_ms":21000}`, []string{"contact with a majority 21000 ms ago"}},
		{printEndpoints, `{"as_of_ms":21000,"endpoints":[]}`, []string{"STALE: contact with a majority 21000 ms ago"}},
		{printModels, `{"as_of_ms":21000,"models":[]}`, []string{"STALE: contact with a majority 21000 ms ago"}},
		{
			printEndpoints, `{"endpoints":[{"id":"i-1","state":"ready","models":[{"name":"m","adapters":["a1"]}],` +
				`"loading":[{"model":"n"},{"model":"m","adapter":"a2","unload":true}]}]}`,
			[]string{"i-1", "m m/a1 +n -m/a2"},
		},
		{
			printModels, `{"models":[{"backend":"b","model":"m","endpoints":[{"id":"i-1"},{"id":"i-2"}]}]}`,
			[]string{"b\tm\ti-1 i-2"},
		},
	}
	for _, c := range cases {
		var out bytes.Buffer
		if err := c.print(&out, []byte(c.text)); err != nil {
			t.Fatal(err)
		}
		for _, part := range c.contains {
			if !strings.Contains(out.String(), part) {
				t.Errorf("got %s, want %q in it", out.String(), part)
			}
		}
	}
}

// TestQuotaSumsOverHolders asks one instance for the table and each live holder for what it issued; a holder that does not
// answer is shown, and makes the command fail.
func TestQuotaSumsOverHolders(t *testing.T) {
	holders := ""
	answer := func(part, issued int) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"sequence":7,"shares":60,"holders":[%s],"usable":0.5,"tenants":[`+
				`{"tenant":"t","rate_per_s":100,"allowance":900,"part":%d,"issued":%d},{"tenant":"u","part":1}]}`, holders, part, issued)
		}))
	}
	one, two := answer(400, 100), answer(400, 60)
	defer one.Close()
	defer two.Close()
	holders = fmt.Sprintf(`{"identity":"a","control":%q,"live":true,"shares":30},{"identity":"b","control":%q,"live":true,"shares":30}`,
		one.Listener.Addr(), two.Listener.Addr())
	var out bytes.Buffer
	command := &quotaCommand{tenant: "t"}
	command.control, command.output = one.Listener.Addr().String(), &out
	if err := command.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"table 7, 60 shares", "a", "0.500", "900        800       160     20%"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("got %s, want %q in it", out.String(), part)
		}
	}
	if strings.Contains(out.String(), "\nu ") {
		t.Errorf("got %s, want tenant t alone", out.String())
	}
	two.Close()
	out.Reset()
	if err := command.run(t.Context()); err == nil || !strings.Contains(out.String(), "connection refused") {
		t.Errorf("got %v and %s, want an error and why b did not answer", err, out.String())
	}
}

// TestConfigChangeBuildsOnTheNewestVersion sends a change without -onto.
func TestConfigChangeBuildsOnTheNewestVersion(t *testing.T) {
	var ifMatch, body string
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == configPath {
			_, _ = w.Write([]byte(`{"generation":7,"routes":[]}`))
			return
		}
		ifMatch = r.Header.Get("If-Match")
		text, _ := io.ReadAll(r.Body)
		body = string(text)
		_, _ = w.Write([]byte(`{"generation":9}`))
	}))
	defer instance.Close()
	file := filepath.Join(t.TempDir(), "new.json")
	if err := os.WriteFile(file, []byte(`{"generation":9}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	command := &configCommand{onto: -1}
	command.control, command.output = instance.Listener.Addr().String(), &out
	if err := command.change(t.Context(), http.MethodPatch, file); err != nil {
		t.Fatal(err)
	}
	if ifMatch != "7" || body != `{"generation":9}` || !strings.Contains(out.String(), "version 9 is in force") {
		t.Errorf("got If-Match %q, body %q and output %q, want 7, the file, and version 9 in force", ifMatch, body, out.String())
	}
}

// TestFirstConfigBuildsOnVersionZero takes 404 for no version yet, and no other status.
func TestFirstConfigBuildsOnVersionZero(t *testing.T) {
	status := http.StatusNotFound
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"error":"reason"}`))
	}))
	defer instance.Close()
	command := &configCommand{}
	command.control = instance.Listener.Addr().String()
	if version, err := command.newest(t.Context()); err != nil || version != 0 {
		t.Errorf("got version %d, %v, want 0 and no error", version, err)
	}
	status = http.StatusServiceUnavailable
	if _, err := command.newest(t.Context()); err == nil || !strings.Contains(err.Error(), "reason") {
		t.Errorf("got %v, want the reason of the response", err)
	}
}

func TestRejectionNamesItsReason(t *testing.T) {
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"error":"version 9 is in force"}`))
	}))
	defer instance.Close()
	c := &client{control: instance.Listener.Addr().String()}
	_, err := c.call(t.Context(), http.MethodPut, configPath, 7, []byte("{}"))
	if err == nil || !strings.Contains(err.Error(), "version 9 is in force") {
		t.Errorf("got %v, want the reason of the response", err)
	}
}
