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
	classes = []string{"edge", "core"}
	served  = []string{"edge", "control_plane"}
)

// deployFile says how the system is built and which program runs on which machines.
type deployFile struct {
	Build    string          `toml:"build"`
	Packages []string        `toml:"packages"` // system packages that the build needs, by their Debian names
	Roles    map[string]role `toml:"roles"`
}

type role struct {
	Run    string   `toml:"run"`
	On     string   `toml:"on"`
	Share  *float64 `toml:"share"`
	Count  *int     `toml:"count"`
	Apart  bool     `toml:"apart"`
	Serves []string `toml:"serves"`
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
		return bad(faultsOfTOML(body, err)), nil
	}
	if faults := file.faults(); len(faults) > 0 {
		return bad(faults), nil
	}
	return good("roles %s", strings.Join(slices.Sorted(maps.Keys(file.Roles)), ", ")), nil
}

// faultsOfTOML names the line of each unknown or malformed key.
func faultsOfTOML(body []byte, err error) []Fault {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var faults []Fault
		for i := range unknown.Errors {
			faults = append(faults, faultOfTOML(body, &unknown.Errors[i], "is not known"))
		}
		return faults
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		return []Fault{faultOfTOML(body, malformed, goField.ReplaceAllString(malformed.Error(), ""))}
	}
	return []Fault{{Item: "file", Reason: err.Error()}}
}

// goField is how the library names a field of this program, which is nothing to the reader of a deploy file.
var goField = regexp.MustCompile(`struct field \S+ of type `)

func faultOfTOML(body []byte, err *toml.DecodeError, reason string) Fault {
	line, _ := err.Position()
	item := strings.Join(err.Key(), ".")
	if item == "" {
		item = keyOfLine(body, line)
	}
	return Fault{Item: strings.TrimSuffix(fmt.Sprintf("line %d: %s", line, item), ": "), Reason: reason}
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

func (d *deployFile) faults() []Fault {
	var found []Fault
	add := func(item, format string, arguments ...any) {
		found = append(found, Fault{Item: item, Reason: fmt.Sprintf(format, arguments...)})
	}
	if d.Build == "" {
		add("build", "is missing")
	}
	for _, reason := range packageFaults(d.Packages) {
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
			key := role.On + " " + what
			if other, twice := taken[key]; twice {
				add(item, "serves %s on %s, as role %s does", what, role.On, other)
			}
			taken[key] = name
		}
		if perClass[role.On]++; perClass[role.On] == mostRoles+1 {
			add(item, "is one of more than %d roles on %s", mostRoles, role.On)
		}
	}
	return found
}

// packageName is what Debian allows as the name of a package.
var packageName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// packageFaults tells which entries are no names of packages, and which come twice.
func packageFaults(packages []string) []string {
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
const mostRoles = 2

func (r *role) check(add func(format string, arguments ...any)) {
	if strings.TrimSpace(r.Run) == "" {
		add("run is missing")
	}
	if !slices.Contains(classes, r.On) {
		add("on is %q and none of %s", r.On, strings.Join(classes, ", "))
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
		if !slices.Contains(served, what) {
			add("serves %q, which is none of %s", what, strings.Join(served, ", "))
		}
	}
}
