package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// ParseDocument reads a configuration, and keeps the text, which must not be changed afterwards. It checks the form only:
// see Validate. The error is an *InvalidError.
func ParseDocument(text []byte) (*Document, error) {
	var found itemErrors
	d := &Document{text: text}
	d.members = parseMembers(text, "configuration", &found)
	for _, name := range []string{keyGeneration, keyRoutes, keyServices} {
		if len(found.list) == 0 && d.member(name) == nil {
			found.add(name, "is missing")
		}
	}
	d.buildTyped(&found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Parse is ParseDocument for callers that need the typed form alone.
func Parse(text []byte) (*Configuration, error) {
	d, err := ParseDocument(text)
	if err != nil {
		return nil, err
	}
	return d.typed, nil
}

// parseMembers reads JSON text that is an object of named lists and other members; of is the item that errors name.
func parseMembers(text []byte, of string, found *itemErrors) []member {
	if err := validateJSON(text); err != nil {
		found.add(of, "%v", err)
		return nil
	}
	return parseObject(text, of, found)
}

// parseObject is parseMembers for text that is known to be JSON.
func parseObject(text []byte, of string, found *itemErrors) []member {
	parts, err := objectMembers(text)
	if err != nil {
		found.add(of, "%v", err)
		return nil
	}
	members := make([]member, 0, len(parts))
	for _, part := range parts {
		members = append(members, parseMember(part, found))
	}
	return members
}

// parseMember reads one member: a list whose key is known, item by item; another list as named items where each of its
// items has a name; everything else as its text.
func parseMember(part rawMember, found *itemErrors) member {
	if newTypedItem(part.name) == nil {
		if items, named := namedItems(part); named {
			return member{name: part.name, items: items}
		}
		return member{name: part.name, value: part.value}
	}
	texts, err := listItems(part.value)
	if err != nil {
		found.add(part.name, "%v", err)
		return member{name: part.name}
	}
	items := make([]item, 0, len(texts))
	for place, text := range texts {
		items = append(items, parseItem(part.name, place, text, found))
	}
	return member{name: part.name, items: items}
}

// namedItems reads a list with an unknown key. Where all its items have names, a change can replace them one by one.
func namedItems(part rawMember) (items []item, named bool) {
	texts, err := listItems(part.value)
	if err != nil || len(texts) == 0 {
		return nil, false
	}
	for _, text := range texts {
		name, err := itemName(text)
		if err != nil {
			return nil, false
		}
		items = append(items, item{name: name, text: text})
	}
	return items, true
}

// itemName returns the value of an item's key "name".
func itemName(text []byte) (string, error) {
	members, err := objectMembers(text)
	if err != nil {
		return "", err
	}
	for _, part := range members {
		if part.name != "name" {
			continue
		}
		name, err := stringOf(part.value)
		if err != nil {
			return "", fmt.Errorf("its name %w", err)
		}
		return name, nil
	}
	return "", errors.New("has no name")
}

// newTypedItem returns an empty item of the list with this key, or nil where the key is not understood.
func newTypedItem(list string) any {
	switch list {
	case keyRoutes:
		return new(Route)
	case keyServices:
		return new(Service)
	case keyTenants:
		return new(Tenant)
	}
	return nil
}

// parseItem reads one item of a list whose key is understood.
func parseItem(list string, index int, text []byte, found *itemErrors) item {
	where := list + "[" + strconv.Itoa(index) + "]"
	name, err := itemName(text)
	if err != nil {
		found.add(where, "%v", err)
		return item{}
	}
	typed := newTypedItem(list)
	if err := json.Unmarshal(text, typed); err != nil {
		found.add(fmt.Sprintf("%s %q", where, name), "can't be read: %v", err)
		return item{}
	}
	setName(typed, name)
	return item{name: name, text: text, typed: typed}
}

// setName sets the name to the value of the key "name": encoding/json ignores case, and may have read another key, such
// as "Name", over it.
func setName(typed any, name string) {
	switch known := typed.(type) {
	case *Route:
		known.Name = name
	case *Service:
		known.Name = name
	case *Tenant:
		known.Name = name
	}
}
