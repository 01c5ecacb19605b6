package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// difference is one item that differs between two configurations.
type difference struct {
	Sign string `json:"sign"` // + added, - removed, ~ changed
	Item string `json:"item"`
}

// differences lists the items that differ between two configurations: removed ones, then changed and added ones.
func differences(before, after []byte) ([]difference, error) {
	old, err := itemsOf(before)
	if err != nil {
		return nil, fmt.Errorf("the configuration in force: %w", err)
	}
	next, err := itemsOf(after)
	if err != nil {
		return nil, fmt.Errorf("the new configuration: %w", err)
	}
	found := []difference{}
	for _, item := range slices.Sorted(maps.Keys(old)) {
		if _, stays := next[item]; !stays {
			found = append(found, difference{Sign: "-", Item: item})
		}
	}
	for _, item := range slices.Sorted(maps.Keys(next)) {
		value, existed := old[item]
		switch {
		case !existed:
			found = append(found, difference{Sign: "+", Item: item})
		case !reflect.DeepEqual(value, next[item]):
			found = append(found, difference{Sign: "~", Item: item})
		}
	}
	return found, nil
}

// itemsOf returns the items of a configuration: those of lists by list and name, everything else by key.
func itemsOf(body []byte) (map[string]any, error) {
	var read map[string]any
	if err := json.Unmarshal(body, &read); err != nil {
		return nil, err
	}
	items := make(map[string]any)
	for key, value := range read {
		list, isList := value.([]any)
		if !isList {
			items[key] = value
			continue
		}
		for index, item := range list {
			items[fmt.Sprintf("%s %s", key, nameOf(item, index))] = item
		}
	}
	return items, nil
}

// nameOf returns the name of a list's item, or its number from 1.
func nameOf(item any, index int) string {
	if fields, isObject := item.(map[string]any); isObject {
		if name, isText := fields["name"].(string); isText {
			return name
		}
	}
	return fmt.Sprintf("#%d", index+1)
}
