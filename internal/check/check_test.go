package check

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

// checkRun runs the command on a file with this text, and wants its exit status and all parts in its output.
func checkRun(t *testing.T, text string, status subcommands.ExitStatus, parts []string, arguments ...string) {
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
	if got := command.Execute(context.Background(), flags); got != status {
		t.Errorf("got exit status %d, want %d", got, status)
	}
	for _, part := range parts {
		if !strings.Contains(out.String(), part) {
			t.Errorf("got %s, want %q in it", out.String(), part)
		}
	}
}

const goodSettings = `node_name=n
role=r
serves=edge
ip=10.0.0.1
zone=a
listen.front=10.0.0.1:80
listen.readiness=10.0.0.1:81
ephemeral_ports=7500,7515
seeds=
`

func TestSettingsListsAllFindings(t *testing.T) {
	checkRun(t, goodSettings, 0, []string{"good: n, role r, zone a"}, "-settings")
	text := strings.Replace(goodSettings, "ip=10.0.0.1", "ip=here", 1)
	text = strings.Replace(text, "zone=a\n", "", 1)
	checkRun(t, text, 1, []string{"line 4: ip: ", "zone: is missing"}, "-settings")
}

func TestConfigurationListsAllFindings(t *testing.T) {
	checkRun(t, `{"generation":1,"routes":[],"services":[]}`, 0, []string{"good: generation 1"})
	checkRun(t, `{"generation":1,"services":[],"routes":[
		{"name":"a","hostname":"h","path_prefix":"/a/","type":"idempotent","timeout_ms":0,"backend":"x"},
		{"name":"b","hostname":"h","path_prefix":"/a/","type":"idempotent","timeout_ms":5,"backend":"y"}]}`, 1,
		[]string{`"a"`, `"b"`, "timeout_ms"})
	checkRun(t, `{`, 1, nil)
}

func TestDeployListsAllFindings(t *testing.T) {
	checkRun(t, "build = \"b\"\n[roles.r]\nrun = \"x\"\non = \"edge\"\nshare = 1.0\nserves = [\"edge\"]\n", 0,
		[]string{"good: roles r"}, "-deploy")
	checkRun(t, "[roles.r]\non = \"hill\"\nshare = 2.0\nserves = [\"all\"]\n", 1,
		[]string{"build: is missing", "role r: run is missing", `on is "hill"`, "share is 2", `serves "all"`}, "-deploy")
	checkRun(t, "build = \"b\"\nbilld = 1\n", 1, []string{"line 2: billd: is not known"}, "-deploy")
	checkRun(t, "build = \n", 1, []string{"line 1"}, "-deploy")
}

func TestDeployChecksPackageNames(t *testing.T) {
	roles := "[roles.r]\nrun = \"x\"\non = \"edge\"\nshare = 1.0\n"
	checkRun(t, "build = \"b\"\npackages = [\"gcc\", \"libstdc++-12-dev\", \"libc6-dev\"]\n"+roles, 0, []string{"good: roles r"},
		"-deploy")
	checkRun(t, "build = \"b\"\npackages = []\n"+roles, 0, nil, "-deploy")
	checkRun(t, "build = \"b\"\npackages = [\"GCC\", \"a b\", \"\", \"g\", \"-x\", \"gcc\", \"gcc\"]\n"+roles, 1, []string{
		`packages: "GCC" is no name`, `packages: "a b" is`, `packages: "" is`, `packages: "g" is`, `packages: "-x" is`,
		`packages: "gcc" is named twice`,
	}, "-deploy")
	checkRun(t, "build = \"b\"\npackages = \"gcc\"\n"+roles, 1, []string{"line 2: packages"}, "-deploy")
	checkRun(t, "build = \"b\"\npackages = [1]\n"+roles, 1, []string{"line 2: packages"}, "-deploy")
}

// TestDeployFileInServiceIsValid checks deploy/system.toml.
func TestDeployFileInServiceIsValid(t *testing.T) {
	report, err := Deploy(filepath.Join("..", "..", "deploy", "system.toml"))
	if err != nil || !report.Good {
		t.Errorf("got %+v, %v, want a valid file", report, err)
	}
}

func TestMissingFileIsAnError(t *testing.T) {
	if _, err := Configuration(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("got no error for a file that does not exist, want one")
	}
}
