package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"raventrestle"
)

// Reload reads the file again for a running courier. The file was replaced after the environment variables were set, so
// its values override them. Startup replaces invalid values by defaults, but a reload accepts the file completely or not
// at all, because the current configuration can stay in use. The error names the invalid field.
func Reload(getenv func(string) string, current *Config) (*Config, error) {
	c, err := load(getenv, false)
	if err != nil {
		return nil, err
	}
	if len(c.Warnings) > 0 {
		return nil, fmt.Errorf("config: %s", strings.Join(c.Warnings, "; "))
	}
	oldTree, err := parseJSON(current.text)
	if err != nil {
		return nil, fmt.Errorf("config: current configuration: %w", err)
	}
	newTree, err := parseJSON(c.text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := checkKeys("", oldTree, newTree, current.Names); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := validate(&c.Settings); err != nil {
		return nil, fmt.Errorf("config: settings.%w", err)
	}
	return c, nil
}

// parseJSON returns the file as generic JSON values, numbers as json.Number.
func parseJSON(text []byte) (any, error) {
	var v any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	err := d.Decode(&v)
	return v, err
}

// checkKeys returns an error if the new value lacks a key of the old one, or has a value of another type there. In a
// list of objects, each new element needs the keys that all old elements have. Names of classes, tenants, kinds and
// zones may be added and removed.
func checkKeys(path string, oldValue, newValue any, names *Names) error {
	switch oldValue := oldValue.(type) {
	case map[string]any:
		newValue, ok := newValue.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is not an object", path)
		}
		for _, key := range slices.Sorted(maps.Keys(oldValue)) {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			if names.contains(key) {
				continue
			}
			v, ok := newValue[key]
			if !ok {
				return fmt.Errorf("%s is missing", keyPath)
			}
			if keyPath == "known" { // the endpoint list, which is used at startup only
				continue
			}
			if err := checkKeys(keyPath, oldValue[key], v, names); err != nil {
				return err
			}
		}
	case []any:
		newValue, ok := newValue.([]any)
		if !ok {
			return fmt.Errorf("%s is not a list", path)
		}
		sharedKeys := commonKeys(oldValue)
		for i, v := range newValue {
			if sharedKeys != nil {
				if err := checkKeys(fmt.Sprintf("%s[%d]", path, i), sharedKeys, v, names); err != nil {
					return err
				}
			} else if len(oldValue) > 0 {
				if err := checkKeys(fmt.Sprintf("%s[%d]", path, i), oldValue[0], v, names); err != nil {
					return err
				}
			}
		}
	case json.Number:
		if _, ok := newValue.(json.Number); !ok {
			return fmt.Errorf("%s is not a number", path)
		}
	case string:
		if _, ok := newValue.(string); !ok {
			return fmt.Errorf("%s is not a string", path)
		}
	case bool:
		if _, ok := newValue.(bool); !ok {
			return fmt.Errorf("%s is not a boolean", path)
		}
	}
	return nil
}

// contains reports whether the key is the name of a class, tenant, kind or zone.
func (n *Names) contains(key string) bool {
	for _, m := range []map[string]int{n.Classes, n.Tenants, n.Kinds, n.Zones} {
		if _, ok := m[key]; ok {
			return true
		}
	}
	return false
}

// commonKeys returns an object with the keys that all objects of the list have, or nil if the list has other elements.
// The value of a key is nil, which any type matches, if its type differs between the objects.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(o)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := o[key]; return !ok })
		for key, v := range common {
			if fmt.Sprintf("%T", v) != fmt.Sprintf("%T", o[key]) {
				common[key] = nil
			}
		}
	}
	return common
}

// maxDeadline is longer than the deadline of any class. A larger value is a typing error or an overflow.
const maxDeadline = 24 * time.Hour

// validate checks the settings that the courier can't work without.
func validate(s *raventrestle.Settings) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("classes is empty")
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		field := func(name string) string { return fmt.Sprintf("classes[%d].%s (%q)", i, name, c.Name) }
		switch {
		case c.Name == "" || seen[c.Name]:
			return fmt.Errorf("%s is empty or a duplicate", field("name"))
		case c.Deadline <= 0 || c.Deadline > maxDeadline:
			return fmt.Errorf("%s is not positive and at most %v", field("deadline_us"), maxDeadline)
		case c.SoftDeadline <= 0 || c.SoftDeadline > c.Deadline:
			return fmt.Errorf("%s is not positive and at most the deadline", field("aim_us"))
		case c.DedupWindow < 0 || c.DedupWindow > maxDeadline:
			return fmt.Errorf("%s is not between 0 and %v", field("window_us"), maxDeadline)
		}
		seen[c.Name] = true
	}
	for _, x := range []struct {
		name  string
		value int
	}{{"limits.send_cap", s.MaxAttempts}, {"limits.most_held", s.MaxMessages}, {"specifics.call_slots", s.CallSlots}, {"balancers", s.Forwarders}} {
		if x.value < 1 || x.value > 1<<20 {
			return fmt.Errorf("%s: %d is not between 1 and %d", x.name, x.value, 1<<20)
		}
	}
	return nil
}

// KeepIndices renumbers classes, tenants, kinds and zones so that each name keeps its index from the current
// configuration; new ones are appended. A class whose terms changed is appended as a new class under the same name,
// so that messages in flight keep the terms under which they were accepted.
func (c *Config) KeepIndices(current *Config) {
	s, n := &c.Settings, c.Names
	classes := slices.Clone(current.Settings.Classes)
	for name, i := range n.Classes {
		index, known := current.Names.Classes[name]
		if !known || current.Names.Terms[name] != n.Terms[name] {
			index = slices.IndexFunc(classes, func(x raventrestle.Class) bool { return x == s.Classes[i] })
		}
		if index < 0 {
			index, classes = len(classes), append(classes, s.Classes[i])
		}
		n.Classes[name] = index
	}
	s.Classes = classes
	s.Tenants = mergeByName(current.Settings.Tenants, s.Tenants, current.Names.Tenants, n.Tenants)
	s.Kinds = mergeByName(current.Settings.Kinds, s.Kinds, current.Names.Kinds, n.Kinds)
	zoneName := ""
	for name, i := range n.Zones {
		if i == s.Zone {
			zoneName = name
		}
	}
	s.Zones = mergeByName(current.Settings.Zones, s.Zones, current.Names.Zones, n.Zones)
	s.Zone = Index(n.Zones, zoneName)
}

// mergeByName returns the new items at the indices that their names have in the old list; new names are appended. Old
// items that are not in the new list stay. It updates newIndex accordingly.
func mergeByName[T any](oldItems, newItems []T, oldIndex, newIndex map[string]int) []T {
	merged := slices.Clone(oldItems)
	for _, name := range slices.Sorted(maps.Keys(newIndex)) {
		v := newItems[newIndex[name]]
		if i, ok := oldIndex[name]; ok {
			merged[i], newIndex[name] = v, i
			continue
		}
		newIndex[name], merged = len(merged), append(merged, v)
	}
	for name, i := range oldIndex {
		if _, ok := newIndex[name]; !ok {
			newIndex[name] = i
		}
	}
	return merged
}

// EncodeTerms encodes the terms of a class, such as its deadlines and value. They are stored with each message, so that
// a message keeps them across a reload and a restart.
func EncodeTerms(c raventrestle.Class) string {
	return fmt.Sprint(int64(c.SoftDeadline), c.EstimateFactor, int64(c.Deadline), c.Value, c.LateValueShare, uint8(c.Idempotency), uint8(c.DedupScope), int64(c.DedupWindow))
}

// ParseTerms returns the class with that name and the encoded terms. If they can't be parsed, it returns an error and a
// non-idempotent class, whose messages must not take effect twice.
func ParseTerms(name, terms string) (raventrestle.Class, error) {
	c := raventrestle.Class{Name: name}
	if _, err := fmt.Sscan(terms, &c.SoftDeadline, &c.EstimateFactor, &c.Deadline, &c.Value, &c.LateValueShare, &c.Idempotency, &c.DedupScope, &c.DedupWindow); err != nil || c.SoftDeadline <= 0 || c.Deadline < c.SoftDeadline {
		return raventrestle.Class{Name: name, Idempotency: raventrestle.NonIdempotent, SoftDeadline: time.Second, Deadline: time.Second}, fmt.Errorf("terms %q: %w", terms, err)
	}
	return c, nil
}
