package check

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// The machine classes and interfaces that a deploy file may name.
var (
	knownClasses    = []string{"edge", "core"}
	knownInterfaces = []string{"edge", "control_plane"}
)

// maxRolesPerMachine is how many roles may run on one machine.
const maxRolesPerMachine = 2

// findingList collects findings.
type findingList []Finding

func (l *findingList) add(item, format string, arguments ...any) {
	*l = append(*l, Finding{Item: item, Reason: fmt.Sprintf(format, arguments...)})
}

// findings checks a deploy file against the rules of the operators' page.
func (d *deployFile) findings() []Finding {
	var found findingList
	if d.Build == "" {
		found.add("build", "is missing")
	}
	for _, reason := range invalidPackages(d.Packages) {
		found.add("packages", "%s", reason)
	}
	if len(d.Roles) == 0 {
		found.add("roles", "there is none")
	}
	d.checkRoles(&found)
	return found
}

// checkRoles checks each role, and that roles of one class neither serve the same interface nor exceed a machine.
func (d *deployFile) checkRoles(found *findingList) {
	servedBy := make(map[string]string) // class and interface to role
	perClass := make(map[string]int)
	for _, name := range slices.Sorted(maps.Keys(d.Roles)) {
		role := d.Roles[name]
		item := "role " + name
		role.check(item, found)
		for _, served := range role.Serves {
			key := role.Class + " " + served
			if other, taken := servedBy[key]; taken {
				found.add(item, "serves %s on %s, as role %s does", served, role.Class, other)
			}
			servedBy[key] = name
		}
		if perClass[role.Class]++; perClass[role.Class] == maxRolesPerMachine+1 {
			found.add(item, "is one of more than %d roles on %s", maxRolesPerMachine, role.Class)
		}
	}
}

// check checks one role by itself.
func (r *role) check(item string, found *findingList) {
	if strings.TrimSpace(r.Run) == "" {
		found.add(item, "run is missing")
	}
	if !slices.Contains(knownClasses, r.Class) {
		found.add(item, "on is %q and none of %s", r.Class, strings.Join(knownClasses, ", "))
	}
	switch {
	case r.Share != nil && r.Count != nil:
		found.add(item, "has both share and count")
	case r.Share == nil && r.Count == nil:
		found.add(item, "has neither share nor count")
	case r.Share != nil && (*r.Share <= 0 || *r.Share > 1):
		found.add(item, "share is %v and not above 0 and at most 1", *r.Share)
	case r.Count != nil && *r.Count < 1:
		found.add(item, "count is %d and below 1", *r.Count)
	}
	for _, served := range r.Serves {
		if !slices.Contains(knownInterfaces, served) {
			found.add(item, "serves %q, which is none of %s", served, strings.Join(knownInterfaces, ", "))
		}
	}
}

// packageName is what Debian allows as the name of a package (Debian Policy, section 5.6.1).
var packageName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// invalidPackages returns a reason for each entry that is not the name of a package, or that is repeated.
func invalidPackages(packages []string) []string {
	var reasons []string
	seen := make(map[string]bool)
	for _, name := range packages {
		switch {
		case !packageName.MatchString(name):
			reasons = append(reasons, fmt.Sprintf("%q is no name of a Debian package", name))
		case seen[name]:
			reasons = append(reasons, fmt.Sprintf("%q is named twice", name))
		}
		seen[name] = true
	}
	return reasons
}
