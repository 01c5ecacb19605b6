package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// Names of the members of a configuration that are understood. All others are kept as they are.
const (
	memberGeneration = "generation"
	memberRoutes     = "routes"
	memberServices   = "services"
	memberLimits     = "limits"
	memberTenants    = "tenants"
)

// Document is a configuration as it was sent, with its typed view. It is not changed once it is made.
type Document struct {
	text    []byte
	members []member
	view    *Configuration
}

// member is one member of the top level, in its order.
type member struct {
	name  string
	value []byte // nil for a list of named items
	items []item
}

// item is one entry of a list of named items.
type item struct {
	name  string
	text  []byte
	typed any // *Route, *Service, *Tenant; nil in a list that is not understood
}

// Configuration returns the typed view. It must not be changed.
func (d *Document) Configuration() *Configuration { return d.view }

// Encode returns the whole as JSON: a document that was sent whole as it was sent, byte for byte. The text
// must not be changed.
func (d *Document) Encode() []byte { return d.text }

// ParseDocument reads a configuration and keeps its text. It does not check it: see Check. The error is an
// *Invalid.
func ParseDocument(text []byte) (*Document, error) {
	var found faults
	d := &Document{text: text}
	d.members = readMembers(text, "configuration", &found)
	for _, name := range []string{memberGeneration, memberRoutes, memberServices} {
		if len(found.list) == 0 && d.member(name) == nil {
			found.add(name, "is missing")
		}
	}
	d.buildView(&found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Parse reads a configuration. It does not check it: see Check. The error is an *Invalid.
func Parse(text []byte) (*Configuration, error) {
	d, err := ParseDocument(text)
	if err != nil {
		return nil, err
	}
	return d.view, nil
}

// readMembers takes apart an object of lists of named items and other members.
func readMembers(text []byte, whole string, found *faults) []member {
	if err := validate(text); err != nil {
		found.add(whole, "%v", err)
		return nil
	}
	return readObject(text, whole, found)
}

func readObject(text []byte, whole string, found *faults) []member {
	parts, err := objectMembers(text)
	if err != nil {
		found.add(whole, "%v", err)
		return nil
	}
	members := make([]member, 0, len(parts))
	for _, part := range parts {
		members = append(members, readMember(part, found))
	}
	return members
}

func readMember(part rawMember, found *faults) member {
	if newItem(part.name) == nil {
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
		items = append(items, readItem(part.name, place, text, found))
	}
	return member{name: part.name, items: items}
}

// namedItems reads a list that is not understood; where all its items have names, they can be changed
// one by one.
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

// newItem returns an empty item of a list that is understood, or nil.
func newItem(list string) any {
	switch list {
	case memberRoutes:
		return new(Route)
	case memberServices:
		return new(Service)
	case memberTenants:
		return new(Tenant)
	}
	return nil
}

func readItem(list string, place int, text []byte, found *faults) item {
	where := list + "[" + strconv.Itoa(place) + "]"
	name, err := itemName(text)
	if err != nil {
		found.add(where, "%v", err)
		return item{}
	}
	typed := newItem(list)
	if err := json.Unmarshal(text, typed); err != nil {
		found.add(fmt.Sprintf("%s %q", where, name), "can't be read: %v", err)
		return item{}
	}
	setName(typed, name)
	return item{name: name, text: text, typed: typed}
}

// setName keeps to the member "name" where another, such as "Name", was read over it.
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

func (d *Document) member(name string) *member {
	for i := range d.members {
		if d.members[i].name == name {
			return &d.members[i]
		}
	}
	return nil
}

// buildView makes the typed view of the members. Nothing is read where there are faults already.
func (d *Document) buildView(found *faults) {
	if len(found.list) > 0 {
		return
	}
	d.view = new(Configuration)
	if generation := d.member(memberGeneration); generation != nil {
		if err := json.Unmarshal(generation.value, &d.view.Generation); err != nil {
			found.add(memberGeneration, "can't be read: %v", err)
		}
	}
	if limits := d.member(memberLimits); limits != nil {
		if err := readLimits(limits, &d.view.Limits); err != nil {
			found.add(memberLimits, "%v", err)
		}
	}
	d.view.Routes = typedItems[Route](d.member(memberRoutes))
	d.view.Services = typedItems[Service](d.member(memberServices))
	d.view.Tenants = typedItems[Tenant](d.member(memberTenants))
}

func readLimits(from *member, to *Limits) error {
	if from.value == nil || from.value[0] != '{' {
		return errNotObject
	}
	if _, err := objectMembers(from.value); err != nil {
		return err
	}
	if err := json.Unmarshal(from.value, to); err != nil {
		return fmt.Errorf("can't be read: %w", err)
	}
	return nil
}

func typedItems[T any](list *member) []T {
	if list == nil {
		return nil
	}
	items := make([]T, 0, len(list.items))
	for _, from := range list.items {
		items = append(items, *from.typed.(*T))
	}
	return items
}

// encode writes the text from the members, and lets them refer to it: so the texts of former versions
// are not kept in memory.
func (d *Document) encode() {
	var text bytes.Buffer
	text.Grow(d.size())
	keep := func(part []byte) []byte {
		start := text.Len()
		text.Write(part)
		return text.Bytes()[start:text.Len():text.Len()]
	}
	text.WriteByte('{')
	for i := range d.members {
		if i > 0 {
			text.WriteByte(',')
		}
		from := &d.members[i]
		text.Write(quote(from.name))
		text.WriteByte(':')
		if from.value != nil {
			from.value = keep(from.value)
			continue
		}
		text.WriteByte('[')
		for n := range from.items {
			if n > 0 {
				text.WriteByte(',')
			}
			from.items[n].text = keep(from.items[n].text)
		}
		text.WriteByte(']')
	}
	text.WriteByte('}')
	d.text = text.Bytes()
}

// size bounds the length of the text from above, so that it is written without being moved.
func (d *Document) size() int {
	total := len("{}")
	for _, from := range d.members {
		total += len(quote(from.name)) + len(`:[],`) + len(from.value)
		for _, entry := range from.items {
			total += len(entry.text) + len(",")
		}
	}
	return total
}

func quote(name string) []byte {
	quoted, err := json.Marshal(name)
	if err != nil {
		panic(fmt.Sprintf("configuration: %q: %v", name, err)) // a string can always be written
	}
	return quoted
}
