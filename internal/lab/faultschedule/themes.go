package faultschedule

import (
	"fmt"
	"strings"
)

// Theme is a family of schedules that test the same kind of failure.
type Theme struct {
	Name        string
	Description string
	generate    func(*generator)
}

// mixTheme is the name of the theme that combines two others.
const mixTheme = "mix"

// Themes lists all themes. The order matters: generateMix expects the mix in the last place, and the seeds of a mix choose
// themes by their place.
func Themes() []Theme {
	return []Theme{
		{"cut", "long partition of a control machine while operators change the configuration", generatePartition},
		{"race", "concurrent changes of one configuration version, lost responses, failing control machines", generateConfigRace},
		{"loss", "a second machine is lost right after a repair or replacement", generateMachineLoss},
		{"long", "hundreds of configuration changes with restarts in between", generateManyChanges},
		{"answers", "truncated, lost and corrupt responses, misbehaving endpoints and clients", generateResponseFaults},
		{"twice", "the same fault twice, the second time just after recovery from the first", generateRepeatedFault},
		{"drain", "endpoints drain and leave while control machines are partitioned", generateDrain},
		{"grey", "grey failures: endpoints and machines that fail partly or slow down", generateGreyFailures},
		{"rolls", "rolling stops, reloads, kills, replacement of the seeds", generateRollingStops},
		{"cutmore", "two partitions in sequence, freezes, restarts of the other machines", generateRepeatedPartition},
		{"disk", "full, stalled and slow disks, then a loss of power", generateDiskFaults},
		{"clock", "jumps of the system clock, frozen machines", generateClockSteps},
		{mixTheme, "two of the other themes in one schedule", generateMix},
	}
}

// ThemeError reports a theme that does not exist.
type ThemeError struct{ Name string }

// Error names the unknown theme and lists all themes.
func (e *ThemeError) Error() string {
	return fmt.Sprintf("%q is not one of %s", e.Name, strings.Join(ThemeNames(), ", "))
}

// ThemeNames lists the names of all themes, in the order of Themes.
func ThemeNames() []string {
	var names []string
	for _, theme := range Themes() {
		names = append(names, theme.Name)
	}
	return names
}

// findTheme returns the theme with the given name, or a ThemeError.
func findTheme(name string) (Theme, error) {
	for _, theme := range Themes() {
		if theme.Name == name {
			return theme, nil
		}
	}
	return Theme{}, &ThemeError{name}
}

// generateMix combines the events of two other themes. The closing fault is that of the first.
func generateMix(g *generator) {
	all := Themes()
	themes := all[:len(all)-1] // without the mix, which is the last one
	order := g.rng.Perm(len(themes))
	themes[order[0]].generate(g)
	themes[order[1]].generate(g)
}
