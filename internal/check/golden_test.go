package check

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"
	"github.com/pelletier/go-toml/v2"
)

func pointerTo[T any](value T) *T { return &value }

// TestGoldenDeployFilesAreReadAsBefore reads a file with every key of the operators' page and the one in service.
func TestGoldenDeployFilesAreReadAsBefore(t *testing.T) {
	for _, test := range []struct {
		path string
		want deployFile
	}{
		{filepath.Join("testdata", "golden", "every-key.toml"), deployFile{
			Build: "make everything", Packages: []string{"gcc", "libc6-dev"},
			Roles: map[string]role{
				"router": {Run: "target/router run", Class: "edge", Share: pointerTo(0.75), Serves: []string{"edge"}},
				"control": {
					Run: "target/control run", Class: "core", Count: pointerTo(3), FromEnd: true,
					Serves: []string{"control_plane"},
				},
			},
		}},
		{filepath.Join("..", "..", "deploy", "system.toml"), deployFile{
			Build: "go build -trimpath -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/raventrestle-router " +
				"./cmd/raventrestle-control",
			Packages: []string{"gcc", "libc6-dev", "ca-certificates"},
			Roles: map[string]role{
				"router": {Run: "target/raventrestle-router run", Class: "edge", Share: pointerTo(1.0), Serves: []string{"edge"}},
				"control": {
					Run: "target/raventrestle-control run", Class: "core", Share: pointerTo(0.5),
					Serves: []string{"control_plane"},
				},
			},
		}},
	} {
		t.Run(filepath.Base(test.path), func(t *testing.T) {
			body, err := os.ReadFile(test.path)
			if err != nil {
				t.Fatal(err)
			}
			var got deployFile
			if err := toml.Unmarshal(body, &got); err != nil {
				t.Fatalf("decode: got %v, want no error", err)
			}
			if difference := cmp.Diff(test.want, got); difference != "" {
				t.Errorf("got another deploy file than wanted (-want +got):\n%s", difference)
			}
			report, err := Deploy(test.path)
			if err != nil || !report.Good || report.Summary != "roles control, router" {
				t.Errorf("check: got %+v, %v, want a good file with roles control, router", report, err)
			}
		})
	}
}

// TestGoldenDeployKeys fails when a key is added to or taken from the deploy file's types.
func TestGoldenDeployKeys(t *testing.T) {
	for _, test := range []struct {
		of   any
		want []string
	}{
		{deployFile{}, []string{"build", "packages", "roles"}},
		{role{}, []string{"run", "on", "share", "count", "apart", "serves"}},
	} {
		var got []string
		for i := range reflect.TypeOf(test.of).NumField() {
			got = append(got, reflect.TypeOf(test.of).Field(i).Tag.Get("toml"))
		}
		if !cmp.Equal(got, test.want) {
			t.Errorf("%T: got keys %q, want %q", test.of, got, test.want)
		}
	}
}

// runCheck returns what the command prints of a file with this text, and its exit status.
func runCheck(t *testing.T, text string, arguments ...string) (string, subcommands.ExitStatus) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	command := &Command{Program: "test", Out: &out}
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	command.SetFlags(flags)
	if err := flags.Parse(append(arguments, path)); err != nil {
		t.Fatal(err)
	}
	status := command.Execute(context.Background(), flags)
	return out.String(), status
}

// TestGoldenFindingItems pins the item of each finding, in their order, as check prints it before the reason.
func TestGoldenFindingItems(t *testing.T) {
	const goodRole = "[roles.r]\nrun = \"x\"\non = \"edge\"\nshare = 1.0\n"
	for _, test := range []struct {
		flag, text string
		items      []string
	}{
		{"-deploy", "", []string{"build", "roles"}},
		{"-deploy", "build = 1\n", []string{"line 1: build"}},
		{"-deploy", "build = \n", []string{"line 1: build"}},
		{"-deploy", "build = \"b\"\nother = 1\n[roles.r]\nrun = \"x\"\nmore = 2\n", []string{"line 2: other", "line 5: roles.r.more"}},
		{"-deploy", "build = \"b\"\npackages = [\"A\", \"gcc\", \"gcc\"]\n" + goodRole, []string{"packages", "packages"}},
		{"-deploy", "build = \"b\"\n[roles.r]\n", []string{"role r", "role r", "role r"}},
		{"-deploy", "build = \"b\"\n[roles.r]\nrun = \"x\"\non = \"edge\"\nshare = 1.5\ncount = 0\n", []string{"role r"}},
		{
			"-deploy", "build = \"b\"\n[roles.r]\nrun = \"x\"\non = \"edge\"\ncount = 0\nserves = [\"all\"]\n",
			[]string{"role r", "role r"},
		},
		{"-deploy", "build = \"b\"\n" + goodRole + "serves = [\"edge\"]\n" + strings.ReplaceAll(goodRole, "roles.r", "roles.s") +
			"serves = [\"edge\"]\n" + strings.ReplaceAll(goodRole, "roles.r", "roles.t"), []string{"role s", "role t"}},
		{"-settings", "node_name=n\nrole=r\nserves=\nip=here\nephemeral_ports=1,2\nseeds=\n", []string{"line 4: ip", "zone"}},
		{"-settings", "a=\\u12", []string{"file"}},
		{"", "{", []string{"configuration"}},
		{"", `{"generation":0,"routes":[{"name":"a","hostname":"h","path_prefix":"/","type":"streaming","timeout_ms":1}],` +
			`"services":[]}`, []string{"generation", `route "a"`}},
	} {
		var arguments []string
		if test.flag != "" {
			arguments = []string{test.flag}
		}
		text, status := runCheck(t, test.text, arguments...)
		var got []string
		for line := range strings.Lines(text) {
			item := line[:strings.LastIndex(line, ": ")]
			for _, want := range test.items {
				if strings.HasPrefix(line, want+": ") {
					item = want
				}
			}
			got = append(got, item)
		}
		if !cmp.Equal(got, test.items) || status != subcommands.ExitFailure {
			t.Errorf("%s %q: got items %q and status %d in\n%s\nwant %q and 1", test.flag, test.text, got, status, text, test.items)
		}
	}
}

// TestGoldenJSON pins the keys of -json and the exit statuses.
func TestGoldenJSON(t *testing.T) {
	for _, test := range []struct {
		text, want string
		status     subcommands.ExitStatus
	}{
		{
			`{"generation":1,"routes":[],"services":[]}`,
			`{"good":true,"summary":"generation 1: 0 routes, 0 services, 0 tenants"}` + "\n", subcommands.ExitSuccess,
		},
		{
			`{"generation":0,"routes":[],"services":[]}`,
			`{"good":false,"faults":[{"item":"generation","reason":"0 is not above 0"}]}` + "\n", subcommands.ExitFailure,
		},
	} {
		if got, status := runCheck(t, test.text, "-json"); got != test.want || status != test.status {
			t.Errorf("%s: got %s and %d, want %s and %d", test.text, got, status, test.want, test.status)
		}
	}
	command := &Command{Program: "test", Out: new(bytes.Buffer)}
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	command.SetFlags(flags)
	if err := flags.Parse([]string{filepath.Join(t.TempDir(), "none")}); err != nil {
		t.Fatal(err)
	}
	if got := command.Execute(context.Background(), flags); got != subcommands.ExitUsageError {
		t.Errorf("a file that is not there: got status %d, want %d", got, subcommands.ExitUsageError)
	}
}
