package configuration

// The keys of a change, besides the generation. All others are ignored.
const (
	keyUpsert = "upsert"
	keyDelete = "delete"
)

// Patch is a change of named items (PROTOCOL.md, PATCH /-/config): those named under delete are removed first, then those
// under upsert replace the items of their names or are appended. Other members under upsert replace, or, where both are
// objects, are merged into, what is there.
type Patch struct {
	generation []byte
	upsert     []member
	remove     map[string]map[string]bool // list to names
}

// ParsePatch reads a change. It checks the form only; Apply checks the result. The error is an *InvalidError.
func ParsePatch(text []byte) (*Patch, error) {
	var found itemErrors
	patch := parsePatch(text, &found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return patch, nil
}

func parsePatch(text []byte, found *itemErrors) *Patch {
	if err := validateJSON(text); err != nil {
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
		case keyGeneration:
			patch.generation = part.value
		case keyUpsert:
			patch.upsert = parseObject(part.value, keyUpsert, found)
			validateUpsert(patch.upsert, found)
		case keyDelete:
			parseDelete(part.value, patch.remove, found)
		}
	}
	if patch.generation == nil {
		found.add(keyGeneration, "is missing")
	}
	return patch
}

// validateUpsert rejects a generation, which has its own key, and two items of one name, of which only one could stay.
func validateUpsert(members []member, found *itemErrors) {
	for _, list := range members {
		if list.name == keyGeneration {
			found.add(keyUpsert, "names the generation")
		}
		names := make(map[string]bool, len(list.items))
		for _, entry := range list.items {
			validateName(keyUpsert+" of "+list.name, entry.name, names, found)
		}
	}
}

// parseDelete reads the names under delete, by list.
func parseDelete(text []byte, remove map[string]map[string]bool, found *itemErrors) {
	lists, err := objectMembers(text)
	if err != nil {
		found.add(keyDelete, "%v", err)
		return
	}
	for _, list := range lists {
		item := keyDelete + " of " + list.name
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
