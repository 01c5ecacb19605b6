package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// The functions below take JSON text apart without changing a byte of its parts. All but validate work on
// text that validate has passed.

var (
	errNotObject = errors.New("is not an object")
	errNotList   = errors.New("is not a list")
	errNotString = errors.New("is not a string")
)

// validate says whether the text is one JSON value and nothing else.
func validate(text []byte) error {
	if !utf8.Valid(text) {
		return errors.New("is not UTF-8")
	}
	if json.Valid(text) {
		return nil
	}
	var ignored json.RawMessage
	if err := json.Unmarshal(text, &ignored); err != nil {
		return fmt.Errorf("can't be read: %w", err)
	}
	return errors.New("can't be read")
}

type rawMember struct {
	name  string
	value []byte
}

// objectMembers returns an object's members in order. A name that comes twice is an error.
func objectMembers(object []byte) ([]rawMember, error) {
	object = trim(object)
	if object[0] != '{' {
		return nil, errNotObject
	}
	var members []rawMember
	seen := make(map[string]struct{})
	for at := next(object, 1); object[at] != '}'; {
		end := valueEnd(object, at)
		name, err := stringOf(object[at:end])
		if err != nil {
			return nil, err
		}
		if _, twice := seen[name]; twice {
			return nil, fmt.Errorf("has %q twice", name)
		}
		seen[name] = struct{}{}
		colon := next(object, end)
		start := next(object, colon+1)
		end = valueEnd(object, start)
		members = append(members, rawMember{name: name, value: object[start:end]})
		at = afterValue(object, end)
	}
	return members, nil
}

// listItems returns a list's items in order.
func listItems(list []byte) ([][]byte, error) {
	list = trim(list)
	if list[0] != '[' {
		return nil, errNotList
	}
	var items [][]byte
	for at := next(list, 1); list[at] != ']'; {
		end := valueEnd(list, at)
		items = append(items, list[at:end])
		at = afterValue(list, end)
	}
	return items, nil
}

// stringOf returns the string that the text spells.
func stringOf(text []byte) (string, error) {
	if text[0] != '"' {
		return "", errNotString
	}
	if bytes.IndexByte(text, '\\') < 0 {
		return string(text[1 : len(text)-1]), nil
	}
	var spelled string
	if err := json.Unmarshal(text, &spelled); err != nil {
		return "", err
	}
	return spelled, nil
}

func trim(text []byte) []byte { return bytes.Trim(text, " \t\r\n") }

// next returns the place of the first byte from at on that is no space.
func next(text []byte, at int) int {
	for text[at] == ' ' || text[at] == '\t' || text[at] == '\r' || text[at] == '\n' {
		at++
	}
	return at
}

// afterValue skips the comma after a value, or returns the place of the bracket that ends the whole.
func afterValue(text []byte, end int) int {
	at := next(text, end)
	if text[at] == ',' {
		return next(text, at+1)
	}
	return at
}

// valueEnd returns the place after the value that begins at start.
func valueEnd(text []byte, start int) int {
	depth := 0
	for at := start; at < len(text); at++ {
		switch text[at] {
		case '"':
			at = stringEnd(text, at)
		case '{', '[':
			depth++
			continue
		case '}', ']':
			depth--
		default:
			if depth > 0 || !endsLiteral(text, at) {
				continue
			}
		}
		if depth == 0 {
			return at + 1
		}
	}
	return len(text)
}

// stringEnd returns the place of the quotation mark that ends the string.
func stringEnd(text []byte, start int) int {
	at := start + 1
	for text[at] != '"' {
		if text[at] == '\\' {
			at++
		}
		at++
	}
	return at
}

// endsLiteral says whether a number, true, false or null ends with the byte at that place.
func endsLiteral(text []byte, at int) bool {
	if at+1 == len(text) {
		return true
	}
	switch text[at+1] {
	case ',', ']', '}', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}
