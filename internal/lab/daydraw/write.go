package daydraw

import (
	"fmt"
	"os"
	"path/filepath"
)

// mostDays may be written at once.
const mostDays = 10_000

// Options says which days are wanted.
type Options struct {
	Site   string   // path of the site file
	Out    string   // folder for the days; made if it isn't there
	Themes []string // none: all
	First  uint64   // first seed
	Last   uint64   // last seed
}

// FlagError tells which option is wrong.
type FlagError struct {
	Flag string
	Err  error
}

// Error names the flag.
func (e *FlagError) Error() string { return fmt.Sprintf("--%s: %v", e.Flag, e.Err) }

// Unwrap gives the reason.
func (e *FlagError) Unwrap() error { return e.Err }

func wrong(flag, format string, arguments ...any) error {
	return &FlagError{Flag: flag, Err: fmt.Errorf(format, arguments...)}
}

// check finds the first wrong option, reads the site file, and lists the themes.
func (o Options) check() (*Site, []string, error) {
	themes := o.Themes
	if len(themes) == 0 {
		themes = Names()
	}
	switch {
	case o.Site == "":
		return nil, nil, wrong("site", "name a site file")
	case o.Out == "":
		return nil, nil, wrong("out", "name a folder for the days")
	case o.First < 1:
		return nil, nil, wrong("first", "seeds begin with 1")
	case o.Last < o.First:
		return nil, nil, wrong("last", "%d is below --first, which is %d", o.Last, o.First)
	case o.Last-o.First >= mostDays/uint64(len(themes)):
		return nil, nil, wrong("last", "%d seeds of %d themes are more than %d days", o.Last-o.First+1, len(themes), mostDays)
	}
	for _, theme := range themes {
		if _, err := find(theme); err != nil {
			return nil, nil, &FlagError{Flag: "themes", Err: err}
		}
	}
	site, err := ReadSite(o.Site)
	if err != nil {
		return nil, nil, &FlagError{Flag: "site", Err: err}
	}
	return site, themes, nil
}

// Write draws the days and writes each to a file of its own, THEME-SEED.toml. It returns the paths.
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
			path, err := write(site, theme, seed, o.Out)
			if err != nil {
				return paths, err
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

// write draws one day and writes it.
func write(site *Site, theme string, seed uint64, folder string) (string, error) {
	day, err := Draw(site, theme, seed)
	if err != nil {
		return "", err
	}
	text, err := day.Encode()
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, day.Name+".toml")
	return path, os.WriteFile(path, text, 0o644)
}
