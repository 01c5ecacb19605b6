package check

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// What a deploy file may name.
var (
	knownClasses    = []string{"edge", "core"}
	knownInterfaces = []string{"edge", "control_plane"}
)

// deployFile says how the system is built and which program runs on which machines.
type deployFile struct {
	Build    string          `toml:"build"`
	Packages []string        `toml:"packages"` // system packages that the build needs, by their Debian names
	Roles    map[string]role `toml:"roles"`
}

type role struct {
	Run     string   `toml:"run"`
	Class   string   `toml:"on"`
	Share   *float64 `toml:"share"`
	Count   *int     `toml:"count"`
	FromEnd bool     `toml:"apart"`
	Serves  []string `toml:"serves"`
}

// Deploy checks a deploy file.
func Deploy(path string) (Report, error) {
	body, err := ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	var file deployFile
	decoder := toml.NewDecoder(bytes.NewReader(body)).DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return failed(findingsOfTOML(body, err)), nil
	}
	if faults := file.findings(); len(faults) > 0 {
		return failed(faults), nil
	}
	return passed("roles %s", strings.Join(slices.Sorted(maps.Keys(file.Roles)), ", ")), nil
}

// findingsOfTOML names the line of each unknown or malformed key.
func findingsOfTOML(body []byte, err error) []Finding {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var faults []Finding
		for i := range unknown.Errors {
			faults = append(faults, findingOfTOML(body, &unknown.Errors[i], "is not known"))
		}
		return faults
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		return []Finding{findingOfTOML(body, malformed, goField.ReplaceAllString(malformed.Error(), ""))}
	}
	return []Finding{{Item: "file", Reason: err.Error()}}
}

// goField is how the library names a field of this program, which is nothing to the reader of a deploy file.
var goField = regexp.MustCompile(`struct field \S+ of type `)

func findingOfTOML(body []byte, err *toml.DecodeError, reason string) Finding {
	line, _ := err.Position()
	item := strings.Join(err.Key(), ".")
	if item == "" {
		item = keyOfLine(body, line)
	}
	return Finding{Item: strings.TrimSuffix(fmt.Sprintf("line %d: %s", line, item), ": "), Reason: reason}
}

// keyOfLine gives the key that a line sets, if it sets one: the library doesn't name the key of a wrong type.
func keyOfLine(body []byte, line int) string {
	lines := strings.Split(string(body), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	key, _, sets := strings.Cut(lines[line-1], "=")
	if !sets {
		return ""
	}
	return strings.TrimSpace(key)
}

func (d *deployFile) findings() []Finding {
	var found []Finding
	add := func(item, format string, arguments ...any) {
		found = append(found, Finding{Item: item, Reason: fmt.Sprintf(format, arguments...)})
	}
	if d.Build == "" {
		add("build", "is missing")
	}
	for _, reason := range packageNameFaults(d.Packages) {
		add("packages", "%s", reason)
	}
	if len(d.Roles) == 0 {
		add("roles", "there is none")
	}
	taken := make(map[string]string) // what is served on a class, by whom
	perClass := make(map[string]int)
	for _, name := range slices.Sorted(maps.Keys(d.Roles)) {
		role := d.Roles[name]
		item := "role " + name
		role.check(func(format string, arguments ...any) { add(item, format, arguments...) })
		for _, what := range role.Serves {
			key := role.Class + " " + what
			if other, twice := taken[key]; twice {
				add(item, "serves %s on %s, as role %s does", what, role.Class, other)
			}
			taken[key] = name
		}
		if perClass[role.Class]++; perClass[role.Class] == maxRolesPerMachine+1 {
			add(item, "is one of more than %d roles on %s", maxRolesPerMachine, role.Class)
		}
	}
	return found
}

// packageName is what Debian allows as the name of a package.
var packageName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// packageNameFaults tells which entries are no names of packages, and which come twice.
func packageNameFaults(packages []string) []string {
	var found []string
	seen := make(map[string]bool)
	for _, name := range packages {
		switch {
		case !packageName.MatchString(name):
			found = append(found, fmt.Sprintf("%q is no name of a Debian package", name))
		case seen[name]:
			found = append(found, fmt.Sprintf("%q is named twice", name))
		}
		seen[name] = true
	}
	return found
}

// mostRoles run on one machine.
const maxRolesPerMachine = 2

func (r *role) check(add func(format string, arguments ...any)) {
	if strings.TrimSpace(r.Run) == "" {
		add("run is missing")
	}
	if !slices.Contains(knownClasses, r.Class) {
		add("on is %q and none of %s", r.Class, strings.Join(knownClasses, ", "))
	}
	switch {
	case r.Share != nil && r.Count != nil:
		add("has both share and count")
	case r.Share == nil && r.Count == nil:
		add("has neither share nor count")
	case r.Share != nil && (*r.Share <= 0 || *r.Share > 1):
		add("share is %v and not above 0 and at most 1", *r.Share)
	case r.Count != nil && *r.Count < 1:
		add("count is %d and below 1", *r.Count)
	}
	for _, what := range r.Serves {
		if !slices.Contains(knownInterfaces, what) {
			add("serves %q, which is none of %s", what, strings.Join(knownInterfaces, ", "))
		}
	}
}
