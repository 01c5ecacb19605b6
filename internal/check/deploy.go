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

// deployFile says how the system is built and which program runs on which machines.
type deployFile struct {
	Build    string          `toml:"build"`    // command for a shell
	Packages []string        `toml:"packages"` // Debian packages that the build needs
	Roles    map[string]role `toml:"roles"`
}

// role is a program on some machines of a class.
type role struct {
	Run     string   `toml:"run"`
	Class   string   `toml:"on"`
	Share   *float64 `toml:"share"` // of the class's machines in each zone, rounded up; or Count
	Count   *int     `toml:"count"` // of machines in each zone
	FromEnd bool     `toml:"apart"` // machines are taken from the end of the zone's order
	Serves  []string `toml:"serves"`
}

// Deploy checks a deploy file. The error says that the file can't be read.
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
	if findings := file.findings(); len(findings) > 0 {
		return failed(findings), nil
	}
	return passed("roles %s", strings.Join(slices.Sorted(maps.Keys(file.Roles)), ", ")), nil
}

// findingsOfTOML returns a finding, with its line, for each unknown or malformed key.
func findingsOfTOML(body []byte, err error) []Finding {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var findings []Finding
		for i := range unknown.Errors {
			findings = append(findings, findingOfTOML(body, &unknown.Errors[i], "is not known"))
		}
		return findings
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		return []Finding{findingOfTOML(body, malformed, goField.ReplaceAllString(malformed.Error(), ""))}
	}
	return []Finding{{Item: "file", Reason: err.Error()}}
}

// goField matches the library's name of a Go field, which means nothing to the reader of a deploy file.
var goField = regexp.MustCompile(`struct field \S+ of type `)

func findingOfTOML(body []byte, err *toml.DecodeError, reason string) Finding {
	line, _ := err.Position()
	item := strings.Join(err.Key(), ".")
	if item == "" {
		item = keyOfLine(body, line)
	}
	return Finding{Item: strings.TrimSuffix(fmt.Sprintf("line %d: %s", line, item), ": "), Reason: reason}
}

// keyOfLine returns the key that a line sets, or "". The library doesn't name the key of a value of a wrong type.
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
