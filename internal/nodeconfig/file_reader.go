package nodeconfig

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// maxDuration is the longest duration that is accepted: no setting is as long, and sums of such durations don't overflow.
const maxDuration = 10 * 365 * 24 * time.Hour

// fileReader reads typed values by their keys and collects a KeyError for each key that is missing or malformed. A key
// without a value counts as absent. The parameter absent of a method is the value of an absent key.
type fileReader struct {
	file   string
	values map[string]string
	lines  map[string]int // of each key: the last one, whose value counts
	errors []error
}

func newReader(file string, body []byte) (*fileReader, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	parsed, err := loader.LoadBytes(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &fileReader{file: file, values: parsed.Map(), lines: linesOf(body)}, nil
}

// linesOf returns the line of each key that is followed by "=", the form of the operators' page. Keys in the other forms
// of a properties file are read, but their errors have no line.
func linesOf(body []byte) map[string]int {
	lines := make(map[string]int)
	number := 0
	for line := range bytes.Lines(body) {
		number++
		key, _, assigned := bytes.Cut(line, []byte("="))
		if assigned {
			lines[string(bytes.TrimSpace(key))] = number
		}
	}
	return lines
}

func (r *fileReader) addError(key, format string, arguments ...any) {
	r.errors = append(r.errors, &KeyError{
		File:   r.file,
		Line:   r.lines[key],
		Key:    key,
		Reason: fmt.Sprintf(format, arguments...),
	})
}

// err joins the collected errors; nil where there are none.
func (r *fileReader) err() error { return errors.Join(r.errors...) }

// text returns an optional value without the white space around it.
func (r *fileReader) text(key, absent string) string {
	if value := strings.TrimSpace(r.values[key]); value != "" {
		return value
	}
	return absent
}

// required returns the value of a key that must have one.
func (r *fileReader) required(key string) string {
	value := r.text(key, "")
	if value == "" {
		r.addError(key, "is missing")
	}
	return value
}

// requiredList returns a list that may be empty, but whose key must be present.
func (r *fileReader) requiredList(key string) []string {
	if _, present := r.values[key]; !present {
		r.addError(key, "is missing")
	}
	return r.optionalList(key)
}

// optionalList returns the items between commas that are not empty.
func (r *fileReader) optionalList(key string) []string {
	var items []string
	for item := range strings.SplitSeq(r.values[key], ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// withPrefix returns the values of the keys with a prefix, by what follows it.
func (r *fileReader) withPrefix(prefix string) map[string]string {
	found := make(map[string]string)
	for key, value := range r.values {
		if rest, below := strings.CutPrefix(key, prefix); below && rest != "" {
			found[rest] = strings.TrimSpace(value)
		}
	}
	return found
}

// optionalAddress returns an address, IP:port, or "".
func (r *fileReader) optionalAddress(key string) string {
	value := r.text(key, "")
	r.checkAddress(key, value)
	return value
}

func (r *fileReader) checkAddress(key, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.addError(key, "%q is not IP:port", value)
	}
}

// requiredIP returns an IP address without a port.
func (r *fileReader) requiredIP(key string) string {
	value := r.required(key)
	if value == "" {
		return ""
	}
	if _, err := netip.ParseAddr(value); err != nil {
		r.addError(key, "%q is not an IP address", value)
	}
	return value
}

// boolean returns a truth value in one of the forms of strconv.ParseBool.
func (r *fileReader) boolean(key string, absent bool) bool {
	value := r.text(key, "")
	if value == "" {
		return absent
	}
	truth, err := strconv.ParseBool(value)
	if err != nil {
		r.addError(key, "%q is neither true nor false", value)
	}
	return truth
}

// nonNegative returns a finite number of 0 or more.
func (r *fileReader) nonNegative(key string, absent float64) float64 {
	value := r.text(key, "")
	if value == "" {
		return absent
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		r.addError(key, "%q is not a number of 0 or more", value)
		return absent
	}
	return number
}

// integer returns an integer from 0 to 2147483647; 4.0 is one.
func (r *fileReader) integer(key string, absent int) int {
	number := r.nonNegative(key, float64(absent))
	if number != math.Trunc(number) || number > math.MaxInt32 {
		r.addError(key, "%q is not an integer from 0 to 2147483647", r.values[key])
		return absent
	}
	return int(number)
}

func (r *fileReader) milliseconds(key string, absent time.Duration) time.Duration {
	return r.duration(key, time.Millisecond, absent)
}

func (r *fileReader) seconds(key string, absent time.Duration) time.Duration {
	return r.duration(key, time.Second, absent)
}

// duration returns a number of units, rounded to nanoseconds.
func (r *fileReader) duration(key string, unit, absent time.Duration) time.Duration {
	number := r.nonNegative(key, -1)
	if number < 0 {
		return absent
	}
	if number*float64(unit) > float64(maxDuration) {
		r.addError(key, "%q is longer than ten years", r.values[key])
		return absent
	}
	return time.Duration(math.Round(number * float64(unit)))
}
