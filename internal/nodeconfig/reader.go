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

// KeyError is one key that is missing or malformed.
type KeyError struct {
	File   string
	Line   int // 0 where the key is missing
	Key    string
	Reason string
}

// Error tells file, line, key and reason.
func (f *KeyError) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Key, f.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Reason)
}

// longestDuration keeps durations far from the end of their range; nothing in a settings file is as long.
const maxDuration = 10 * 365 * 24 * time.Hour

// fileReader takes typed values from the file and gathers faults. A key that is empty counts as absent.
type fileReader struct {
	file   string
	values map[string]string
	lines  map[string]int
	faults []error
}

func newReader(file string, body []byte) (*fileReader, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	parsed, err := loader.LoadBytes(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &fileReader{file: file, values: parsed.Map(), lines: linesOf(body)}, nil
}

// linesOf says on which line each key stands: the last one, as the last value counts.
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

func (r *fileReader) addFault(key, format string, arguments ...any) {
	r.faults = append(r.faults, &KeyError{
		File:   r.file,
		Line:   r.lines[key],
		Key:    key,
		Reason: fmt.Sprintf(format, arguments...),
	})
}

func (r *fileReader) err() error { return errors.Join(r.faults...) }

// text returns an optional value.
func (r *fileReader) text(key, absent string) string {
	if value := strings.TrimSpace(r.values[key]); value != "" {
		return value
	}
	return absent
}

// required returns a required value.
func (r *fileReader) required(key string) string {
	value := r.text(key, "")
	if value == "" {
		r.addFault(key, "is missing")
	}
	return value
}

// requiredList returns a list that may be empty, but must be there.
func (r *fileReader) requiredList(key string) []string {
	if _, present := r.values[key]; !present {
		r.addFault(key, "is missing")
	}
	return r.optionalList(key)
}

func (r *fileReader) optionalList(key string) []string {
	var items []string
	for item := range strings.SplitSeq(r.values[key], ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// withPrefix returns the values of the keys below a prefix, by the rest of the key.
func (r *fileReader) withPrefix(prefix string) map[string]string {
	found := make(map[string]string)
	for key, value := range r.values {
		if rest, below := strings.CutPrefix(key, prefix); below && rest != "" {
			found[rest] = strings.TrimSpace(value)
		}
	}
	return found
}

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
		r.addFault(key, "%q is not IP:port", value)
	}
}

func (r *fileReader) requiredIP(key string) string {
	value := r.required(key)
	if value == "" {
		return ""
	}
	if _, err := netip.ParseAddr(value); err != nil {
		r.addFault(key, "%q is not an IP number", value)
	}
	return value
}

func (r *fileReader) boolean(key string, absent bool) bool {
	value := r.text(key, "")
	if value == "" {
		return absent
	}
	truth, err := strconv.ParseBool(value)
	if err != nil {
		r.addFault(key, "%q is neither true nor false", value)
	}
	return truth
}

// nonNegative returns a number that is not negative.
func (r *fileReader) nonNegative(key string, absent float64) float64 {
	value := r.text(key, "")
	if value == "" {
		return absent
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		r.addFault(key, "%q is not a number of 0 or more", value)
		return absent
	}
	return number
}

// integer returns a whole number that is not negative; 4.0 is one.
func (r *fileReader) integer(key string, absent int) int {
	number := r.nonNegative(key, float64(absent))
	if number != math.Trunc(number) || number > math.MaxInt32 {
		r.addFault(key, "%q is not a whole number below two thousand million", r.values[key])
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

func (r *fileReader) duration(key string, unit, absent time.Duration) time.Duration {
	number := r.nonNegative(key, -1)
	if number < 0 {
		return absent
	}
	if number*float64(unit) > float64(maxDuration) {
		r.addFault(key, "%q is too long", r.values[key])
		return absent
	}
	return time.Duration(math.Round(number * float64(unit)))
}
