package faultschedule

import (
	"fmt"
	"os"
	"path/filepath"
)

// maxSchedules is the largest number of schedules that one call of Write accepts.
const maxSchedules = 10_000

// Options selects the schedules to write.
type Options struct {
	Site   string   // path of the site file
	Out    string   // directory for the schedules; created if it does not exist
	Themes []string // names of themes; all themes if empty
	First  uint64   // first seed
	Last   uint64   // last seed
}

// FlagError reports the command line flag of an invalid option.
type FlagError struct {
	Flag string
	Err  error
}

// Error names the flag and the reason.
func (e *FlagError) Error() string { return fmt.Sprintf("--%s: %v", e.Flag, e.Err) }

// Unwrap returns the reason.
func (e *FlagError) Unwrap() error { return e.Err }

func flagErrorf(flag, format string, arguments ...any) error {
	return &FlagError{Flag: flag, Err: fmt.Errorf(format, arguments...)}
}

// check validates the options and returns the site and the names of the themes, or a FlagError for the first invalid one.
func (o Options) check() (*Site, []string, error) {
	themes := o.Themes
	if len(themes) == 0 {
		themes = ThemeNames()
	}
	switch {
	case o.Site == "":
		return nil, nil, flagErrorf("site", "a site file is required")
	case o.Out == "":
		return nil, nil, flagErrorf("out", "a directory for the schedules is required")
	case o.First < 1:
		return nil, nil, flagErrorf("first", "seeds begin at 1")
	case o.Last < o.First:
		return nil, nil, flagErrorf("last", "%d is less than --first, which is %d", o.Last, o.First)
	case o.Last-o.First >= maxSchedules/uint64(len(themes)):
		return nil, nil, flagErrorf("last", "%d seeds of %d themes are more than %d schedules", o.Last-o.First+1, len(themes), maxSchedules)
	}
	for _, theme := range themes {
		if _, err := findTheme(theme); err != nil {
			return nil, nil, &FlagError{Flag: "themes", Err: err}
		}
	}
	site, err := ReadSite(o.Site)
	if err != nil {
		return nil, nil, &FlagError{Flag: "site", Err: err}
	}
	return site, themes, nil
}

// Write generates the schedules and writes each to its own file, THEME-SEED.toml. It returns the paths of the files.
func Write(o Options) ([]string, error) {
	site, themes, err := o.check()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, &FlagError{Flag: "out", Err: err}
	}
	var paths []string
	for seed := o.First; seed <= o.Last; seed++ {
		for _, theme := range themes {
			path, err := writeSchedule(site, theme, seed, o.Out)
			if err != nil {
				return paths, err
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

// writeSchedule generates one schedule, writes it to a file and returns the path.
func writeSchedule(site *Site, theme string, seed uint64, directory string) (string, error) {
	schedule, err := Generate(site, theme, seed)
	if err != nil {
		return "", err
	}
	text, err := schedule.Encode()
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, schedule.Name+".toml")
	return path, os.WriteFile(path, text, 0o644)
}
