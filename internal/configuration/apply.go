package configuration

import (
	"fmt"
	"slices"
)

// Apply returns the document that a change makes of current, which is nil before the first, and leaves current as it is.
// The complete result is validated; the error is an *InvalidError.
func Apply(current *Document, patch *Patch) (*Document, error) {
	next := &Document{members: []member{{name: keyGeneration}, {name: keyRoutes}, {name: keyServices}}}
	var before *Configuration
	if current != nil {
		next.members = slices.Clone(current.members)
		before = current.typed
	}
	next.member(keyGeneration).value = patch.generation
	next.remove(patch.remove)
	var found itemErrors
	for i := range patch.upsert {
		next.upsert(&patch.upsert[i], &found)
	}
	next.buildTyped(&found)
	if err := found.err(); err != nil {
		return nil, err
	}
	if err := Validate(next.typed, before); err != nil {
		return nil, err
	}
	next.encode()
	return next, nil
}

// remove deletes the named items, by list, from a copy of each list.
func (d *Document) remove(names map[string]map[string]bool) {
	for i := range d.members {
		list := &d.members[i]
		list.items = slices.DeleteFunc(slices.Clone(list.items), func(entry item) bool {
			return names[list.name][entry.name]
		})
	}
}

// upsert merges one member of a change into the document.
func (d *Document) upsert(change *member, found *itemErrors) {
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
	case known.value == nil && string(trimSpace(change.value)) == "[]":
		// nothing to add to the list
	case change.value == nil && string(trimSpace(known.value)) == "[]":
		known.value, known.items = nil, slices.Clone(change.items)
	default:
		found.add(fmt.Sprintf("%s of %s", keyUpsert, change.name), "is of another form than what is there")
	}
}

// merge replaces items by name, in their places, and appends those with new names.
func merge(items, changes []item) []item {
	indexes := make(map[string]int, len(items))
	for index, entry := range items {
		indexes[entry.name] = index
	}
	for _, change := range changes {
		if index, known := indexes[change.name]; known {
			items[index] = change
			continue
		}
		items = append(items, change)
	}
	return items
}

// mergeObjects returns the object with the members of the change. Where either is no object, the change replaces it.
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
