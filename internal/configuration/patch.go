package configuration

import (
	"fmt"
	"slices"
)

const (
	memberUpsert = "upsert"
	memberDelete = "delete"
)

// Patch is a change of named items: first those under delete go, then those under upsert replace the ones
// of their names or are added.
type Patch struct {
	generation []byte
	upsert     []member
	remove     map[string]map[string]bool // list to names
}

// ParsePatch reads a change. The error is an *Invalid.
func ParsePatch(text []byte) (*Patch, error) {
	var found faults
	patch := readPatch(text, &found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return patch, nil
}

func readPatch(text []byte, found *faults) *Patch {
	if err := validate(text); err != nil {
		found.add("change", "%v", err)
		return nil
	}
	parts, err := objectMembers(text)
	if err != nil {
		found.add("change", "%v", err)
		return nil
	}
	patch := &Patch{remove: make(map[string]map[string]bool)}
	for _, part := range parts {
		switch part.name {
		case memberGeneration:
			patch.generation = part.value
		case memberUpsert:
			patch.upsert = readObject(part.value, memberUpsert, found)
			checkUpsert(patch.upsert, found)
		case memberDelete:
			readDelete(part.value, patch.remove, found)
		}
	}
	if patch.generation == nil {
		found.add(memberGeneration, "is missing")
	}
	return patch
}

// checkUpsert refuses two items of one name: only one of them could stay.
func checkUpsert(members []member, found *faults) {
	for _, list := range members {
		if list.name == memberGeneration {
			found.add(memberUpsert, "names the generation")
		}
		names := make(map[string]bool, len(list.items))
		for _, entry := range list.items {
			checkName(memberUpsert+" of "+list.name, entry.name, names, found)
		}
	}
}

func readDelete(text []byte, remove map[string]map[string]bool, found *faults) {
	lists, err := objectMembers(text)
	if err != nil {
		found.add(memberDelete, "%v", err)
		return
	}
	for _, list := range lists {
		item := memberDelete + " of " + list.name
		names, err := listItems(list.value)
		if err != nil {
			found.add(item, "%v", err)
			continue
		}
		remove[list.name] = make(map[string]bool, len(names))
		for _, text := range names {
			name, err := stringOf(text)
			if err != nil {
				found.add(item, "a name %v", err)
				continue
			}
			remove[list.name][name] = true
		}
	}
}

// Apply returns the document that the change makes of current, which is nil before the first. The result
// is checked whole; the error is an *Invalid.
func Apply(current *Document, patch *Patch) (*Document, error) {
	next := &Document{members: []member{{name: memberGeneration}, {name: memberRoutes}, {name: memberServices}}}
	var before *Configuration
	if current != nil {
		next.members = slices.Clone(current.members)
		before = current.view
	}
	next.member(memberGeneration).value = patch.generation
	next.remove(patch.remove)
	var found faults
	for i := range patch.upsert {
		next.upsert(&patch.upsert[i], &found)
	}
	next.buildView(&found)
	if err := found.err(); err != nil {
		return nil, err
	}
	if err := Validate(next.view, before); err != nil {
		return nil, err
	}
	next.encode()
	return next, nil
}

// remove takes out the named items. The lists of the former document stay as they are.
func (d *Document) remove(names map[string]map[string]bool) {
	for i := range d.members {
		list := &d.members[i]
		list.items = slices.DeleteFunc(slices.Clone(list.items), func(entry item) bool {
			return names[list.name][entry.name]
		})
	}
}

// upsert puts in the items of one list, or the members of one object.
func (d *Document) upsert(change *member, found *faults) {
	known := d.member(change.name)
	switch {
	case known == nil:
		d.members = append(d.members, member{
			name: change.name, value: change.value, items: slices.Clone(change.items),
		})
	case known.value == nil && change.value == nil:
		known.items = merge(known.items, change.items)
	case known.value != nil && change.value != nil:
		known.value = mergeObjects(known.value, change.value)
	case known.value == nil && string(trim(change.value)) == "[]":
		// nothing to add to the list
	case change.value == nil && string(trim(known.value)) == "[]":
		known.value, known.items = nil, slices.Clone(change.items)
	default:
		found.add(fmt.Sprintf("%s of %s", memberUpsert, change.name), "is of another form than what is there")
	}
}

func merge(items, changes []item) []item {
	places := make(map[string]int, len(items))
	for place, entry := range items {
		places[entry.name] = place
	}
	for _, change := range changes {
		if place, known := places[change.name]; known {
			items[place] = change
			continue
		}
		items = append(items, change)
	}
	return items
}

// mergeObjects gives the object the members of the change. Whatever is no object is replaced.
func mergeObjects(object, change []byte) []byte {
	members, err := objectMembers(object)
	if err != nil {
		return change
	}
	changes, err := objectMembers(change)
	if err != nil {
		return change
	}
	merged := Document{}
	for _, part := range members {
		merged.members = append(merged.members, member{name: part.name, value: part.value})
	}
	for _, part := range changes {
		if known := merged.member(part.name); known != nil {
			known.value = part.value
			continue
		}
		merged.members = append(merged.members, member{name: part.name, value: part.value})
	}
	merged.encode()
	return merged.text
}
