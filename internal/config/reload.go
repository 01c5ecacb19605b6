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

// Reload reads the file anew for a courier that holds a configuration. It was replaced after the variables
// were set, so it goes before them. While a start makes do with what it finds, a file that comes in service
// is taken whole or not at all, since there is one in use: the error names the field.
func Reload(getenv func(string) string, held *Config) (*Config, error) {
	c, err := load(getenv, false)
	if err != nil {
		return nil, err
	}
	if len(c.Aside) > 0 {
		return nil, fmt.Errorf("config: %s", strings.Join(c.Aside, "; "))
	}
	was, err := tree(held.text)
	if err != nil {
		return nil, fmt.Errorf("config: the one in use: %w", err)
	}
	is, err := tree(c.text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := complete("", was, is, held.Names); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := sound(&c.Settings); err != nil {
		return nil, fmt.Errorf("config: settings.%w", err)
	}
	return c, nil
}

// tree is the file as it stands, numbers as they are written.
func tree(text []byte) (any, error) {
	var v any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	err := d.Decode(&v)
	return v, err
}

// complete says which key of the file in use has gone, or has a value of another type. The keys of a list's
// members are those that all of its members have in the file in use. Names of classes, tenants, kinds and
// zones may come and go.
func complete(at string, was, is any, names *Names) error {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", at)
		}
		for _, key := range slices.Sorted(maps.Keys(was)) {
			path := strings.TrimPrefix(at+"."+key, ".")
			if names.have(key) {
				continue
			}
			v, ok := is[key]
			if !ok {
				return fmt.Errorf("%s is missing", path)
			}
			if path == "known" { // a list, which is for a start
				continue
			}
			if err := complete(path, was[key], v, names); err != nil {
				return err
			}
		}
	case []any:
		is, ok := is.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", at)
		}
		common := shared(was)
		for i, v := range is {
			if common != nil {
				if err := complete(fmt.Sprintf("%s[%d]", at, i), common, v, names); err != nil {
					return err
				}
			} else if len(was) > 0 {
				if err := complete(fmt.Sprintf("%s[%d]", at, i), was[0], v, names); err != nil {
					return err
				}
			}
		}
	case json.Number:
		if _, ok := is.(json.Number); !ok {
			return fmt.Errorf("%s is no number", at)
		}
	case string:
		if _, ok := is.(string); !ok {
			return fmt.Errorf("%s is no text", at)
		}
	case bool:
		if _, ok := is.(bool); !ok {
			return fmt.Errorf("%s is neither true nor false", at)
		}
	}
	return nil
}

func (n *Names) have(key string) bool {
	for _, m := range []map[string]int{n.Classes, n.Tenants, n.Kinds, n.Zones} {
		if _, ok := m[key]; ok {
			return true
		}
	}
	return false
}

// shared is an object of the keys that all objects of the list have, nil for a list of other things. A value
// that differs in type among them is left open.
func shared(list []any) map[string]any {
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

// longest is more than any class waits: beyond it lies a slip of the pen, or an overflow.
const longest = 24 * time.Hour

// sound checks what the courier cannot do without.
func sound(s *raventrestle.Settings) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("classes is empty")
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		field := func(name string) string { return fmt.Sprintf("classes[%d].%s (%q)", i, name, c.Name) }
		switch {
		case c.Name == "" || seen[c.Name]:
			return fmt.Errorf("%s is empty or stands twice", field("name"))
		case c.Deadline <= 0 || c.Deadline > longest:
			return fmt.Errorf("%s is no positive time within %v", field("deadline_us"), longest)
		case c.SoftDeadline <= 0 || c.SoftDeadline > c.Deadline:
			return fmt.Errorf("%s is no positive time within the deadline", field("aim_us"))
		case c.DedupWindow < 0 || c.DedupWindow > longest:
			return fmt.Errorf("%s is no time within %v", field("window_us"), longest)
		}
		seen[c.Name] = true
	}
	for _, x := range []struct {
		name  string
		value int
	}{{"limits.send_cap", s.MaxAttempts}, {"limits.most_held", s.MaxMessages}, {"specifics.call_slots", s.CallSlots}, {"balancers", s.Forwarders}} {
		if x.value < 1 || x.value > 1<<20 {
			return fmt.Errorf("%s: %d is no positive number within %d", x.name, x.value, 1<<20)
		}
	}
	return nil
}

// Follow gives all that has a name the index that it has in the held configuration; what is new stands behind.
// A class with other terms is a new one under the same name: messages under way keep theirs.
func (c *Config) Follow(held *Config) {
	s, n := &c.Settings, c.Names
	classes := slices.Clone(held.Settings.Classes)
	for name, i := range n.Classes {
		at, known := held.Names.Classes[name]
		if !known || held.Names.Terms[name] != n.Terms[name] {
			at = slices.IndexFunc(classes, func(x raventrestle.Class) bool { return x == s.Classes[i] })
		}
		if at < 0 {
			at, classes = len(classes), append(classes, s.Classes[i])
		}
		n.Classes[name] = at
	}
	s.Classes = classes
	s.Tenants = union(held.Settings.Tenants, s.Tenants, held.Names.Tenants, n.Tenants)
	s.Kinds = union(held.Settings.Kinds, s.Kinds, held.Names.Kinds, n.Kinds)
	home := ""
	for name, i := range n.Zones {
		if i == s.Zone {
			home = name
		}
	}
	s.Zones = union(held.Settings.Zones, s.Zones, held.Names.Zones, n.Zones)
	s.Zone = Index(n.Zones, home)
}

// union is the list with the indices of the one before it; what that has beyond stays.
func union[T any](was, is []T, wasNames, isNames map[string]int) []T {
	all := slices.Clone(was)
	for _, name := range slices.Sorted(maps.Keys(isNames)) {
		v := is[isNames[name]]
		if i, ok := wasNames[name]; ok {
			all[i], isNames[name] = v, i
			continue
		}
		isNames[name], all = len(all), append(all, v)
	}
	for name, i := range wasNames {
		if _, ok := isNames[name]; !ok {
			isNames[name] = i
		}
	}
	return all
}

// Terms words what a class's messages are owed, so that they keep it across settings and lives.
func Terms(c raventrestle.Class) string {
	return fmt.Sprint(int64(c.SoftDeadline), c.EstimateFactor, int64(c.Deadline), c.Value, c.LateValueShare, uint8(c.Idempotency), uint8(c.DedupScope), int64(c.DedupWindow))
}

// OfTerms is the class of the name with those terms. Terms that can't be read are an error, and the class is
// then one that must not take effect twice.
func OfTerms(name, terms string) (raventrestle.Class, error) {
	c := raventrestle.Class{Name: name}
	if _, err := fmt.Sscan(terms, &c.SoftDeadline, &c.EstimateFactor, &c.Deadline, &c.Value, &c.LateValueShare, &c.Idempotency, &c.DedupScope, &c.DedupWindow); err != nil || c.SoftDeadline <= 0 || c.Deadline < c.SoftDeadline {
		return raventrestle.Class{Name: name, Idempotency: raventrestle.NonIdempotent, SoftDeadline: time.Second, Deadline: time.Second}, fmt.Errorf("terms %q: %w", terms, err)
	}
	return c, nil
}
