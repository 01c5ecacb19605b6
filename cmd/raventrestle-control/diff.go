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

// differences lists what differs, by list and name of the item.
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
		value, was := old[item]
		switch {
		case !was:
			found = append(found, difference{Sign: "+", Item: item})
		case !reflect.DeepEqual(value, next[item]):
			found = append(found, difference{Sign: "~", Item: item})
		}
	}
	return found, nil
}

// itemsOf turns a configuration into its items: those of lists by name, all else by key.
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
		for place, item := range list {
			items[fmt.Sprintf("%s %s", key, nameOf(item, place))] = item
		}
	}
	return items, nil
}

func nameOf(item any, place int) string {
	if fields, isObject := item.(map[string]any); isObject {
		if name, isText := fields["name"].(string); isText {
			return name
		}
	}
	return fmt.Sprintf("#%d", place+1)
}
