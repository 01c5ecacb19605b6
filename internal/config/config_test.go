package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Startup fails only if the file can't be read or a required address is missing. Any other missing or invalid value is
// replaced by a default and reported as a warning, because a courier that does not start reduces the fleet's capacity.
func TestLoadFailsOnlyOnUnusableFile(t *testing.T) {
	const validFile = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","state":"/s","seed":"8c1f",` +
		`"limits":{"cores":0.27,"memory_mb":72,"sockets":608,"disk_mb":3},"settings":{"balancers":300,"limits":{"most_held":86},"specifics":{"call_slots":5}}}`
	for name, c := range map[string]struct{ old, new, warnings, err string }{
		"valid":              {"", "", "", ""},
		"invalid seed":       {`"8c1f"`, `"xyz"`, "seed", ""},
		"no seed":            {`"seed":"8c1f",`, "", "seed", ""},
		"no limits":          {`"cores":0.27,"memory_mb":72,"sockets":608,"disk_mb":3`, "", "limits.cores limits.memory_mb limits.disk_mb limits.sockets", ""},
		"no settings values": {`"balancers":300,"limits":{"most_held":86},"specifics":{"call_slots":5}`, `"new":[1]`, "balancers most_held call_slots", ""},
		"other fields":       {`"name":"n"`, `"name":"n","zones":{"a":1}`, "", ""},
		"no address":         {`"listen":"127.0.0.1:1",`, "", "", "listen"},
		"malformed":          {`"settings"`, ``, "", "config"},
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(strings.Replace(validFile, c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		conf, err := Load(func(key string) string { return map[string]string{"EDGE_CONFIG": file}[key] })
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil {
			continue
		}
		warnings := strings.Join(conf.Warnings, "\n")
		for _, want := range strings.Fields(c.warnings) {
			if !strings.Contains(warnings, want) {
				t.Errorf("%s: no warning about %q in %q", name, want, warnings)
			}
		}
		if (c.warnings == "") != (warnings == "") || conf.Limits.Cores <= 0 || conf.Limits.Sockets <= 0 ||
			min(conf.Settings.Forwarders, conf.Settings.MaxMessages, conf.Settings.CallSlots) < 1 {
			t.Errorf("%s: %+v", name, conf)
		}
	}
}
