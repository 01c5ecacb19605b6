package daydraw

import (
	"fmt"
	"strings"
)

// Theme is a family of days.
type Theme struct {
	Name  string
	About string
	draw  func(*sketch)
}

// mixed is the theme that joins two others.
const mixed = "mix"

// Themes lists all themes in their order.
func Themes() []Theme {
	return []Theme{
		{"cut", "one control machine is cut off for long, while operators change the configuration", drawCut},
		{"race", "operators race on one version, their answers get lost, control machines die", drawRace},
		{"loss", "a second loss right after a repair or replacement", drawLoss},
		{"long", "hundreds of changes, restarts in between", drawLong},
		{"answers", "answers broken off, lost or spoilt, endpoints and clients that misbehave", drawAnswers},
		{"twice", "the same trouble comes twice, the second time as the first is just mended", drawTwice},
		{"drain", "endpoints leave while control machines are cut off", drawDrain},
		{"grey", "endpoints and machines that are half ill", drawGrey},
		{"rolls", "processes stopped in turn, reloads, kills, other seeds", drawRolls},
		{"cutmore", "two cuts after each other, freezes, restarts of the others", drawCutMore},
		{"disk", "disks full, stalled and slow, then power is lost", drawDisk},
		{"clock", "the time of day jumps, machines stand still", drawClock},
		{mixed, "two of the others in one day", drawMix},
	}
}

// ThemeError names a theme that there isn't.
type ThemeError struct{ Name string }

// Error lists the themes that there are.
func (e *ThemeError) Error() string {
	return fmt.Sprintf("%q is none of %s", e.Name, strings.Join(Names(), ", "))
}

// Names lists the themes' names.
func Names() []string {
	var names []string
	for _, theme := range Themes() {
		names = append(names, theme.Name)
	}
	return names
}

// find gives the theme of a name.
func find(name string) (Theme, error) {
	for _, theme := range Themes() {
		if theme.Name == name {
			return theme, nil
		}
	}
	return Theme{}, &ThemeError{name}
}

// drawMix joins two themes; the first one closes the day.
func drawMix(s *sketch) {
	all := Themes()
	parts := all[:len(all)-1] // the mix itself is last
	order := s.random.Perm(len(parts))
	parts[order[0]].draw(s)
	parts[order[1]].draw(s)
}
