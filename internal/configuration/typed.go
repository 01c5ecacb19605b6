package configuration

import (
	"encoding/json"
	"fmt"
)

// buildTyped makes the typed form from the members, unless errors have been found already.
func (d *Document) buildTyped(found *itemErrors) {
	if len(found.list) > 0 {
		return
	}
	d.typed = new(Configuration)
	if generation := d.member(keyGeneration); generation != nil {
		if err := json.Unmarshal(generation.value, &d.typed.Generation); err != nil {
			found.add(keyGeneration, "can't be read: %v", err)
		}
	}
	if limits := d.member(keyLimits); limits != nil {
		if err := parseLimits(limits, &d.typed.Limits); err != nil {
			found.add(keyLimits, "%v", err)
		}
	}
	d.typed.Routes = typedItems[Route](d.member(keyRoutes))
	d.typed.Services = typedItems[Service](d.member(keyServices))
	d.typed.Tenants = typedItems[Tenant](d.member(keyTenants))
}

// parseLimits reads the object of the key "limits".
func parseLimits(from *member, to *Limits) error {
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

// typedItems returns the typed items of a list, which may be nil.
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
