package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// The functions of this file divide JSON text into its parts without changing a byte of them, which encoding/json can't.
// All but validateJSON expect text that validateJSON has accepted, and may panic on other text.

var (
	errNotObject = errors.New("is not an object")
	errNotList   = errors.New("is not a list")
	errNotString = errors.New("is not a string")
)

// validateJSON checks that the text is one JSON value, in UTF-8, and nothing else.
func validateJSON(text []byte) error {
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

// rawMember is one member of an object, its value as text.
type rawMember struct {
	name  string
	value []byte
}

// objectMembers returns an object's members in their order. A repeated key is an error.
func objectMembers(object []byte) ([]rawMember, error) {
	object = trimSpace(object)
	if object[0] != '{' {
		return nil, errNotObject
	}
	var members []rawMember
	seen := make(map[string]struct{})
	for at := skipSpace(object, 1); object[at] != '}'; {
		end := valueEnd(object, at)
		name, err := stringOf(object[at:end])
		if err != nil {
			return nil, err
		}
		if _, twice := seen[name]; twice {
			return nil, fmt.Errorf("has %q twice", name)
		}
		seen[name] = struct{}{}
		colon := skipSpace(object, end)
		start := skipSpace(object, colon+1)
		end = valueEnd(object, start)
		members = append(members, rawMember{name: name, value: object[start:end]})
		at = afterValue(object, end)
	}
	return members, nil
}

// listItems returns the texts of a list's items in their order.
func listItems(list []byte) ([][]byte, error) {
	list = trimSpace(list)
	if list[0] != '[' {
		return nil, errNotList
	}
	var items [][]byte
	for at := skipSpace(list, 1); list[at] != ']'; {
		end := valueEnd(list, at)
		items = append(items, list[at:end])
		at = afterValue(list, end)
	}
	return items, nil
}

// stringOf returns the value of a JSON string.
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

// trimSpace removes JSON white space (RFC 8259, section 2) from both ends.
func trimSpace(text []byte) []byte { return bytes.Trim(text, " \t\r\n") }

// skipSpace returns the index of the first byte, from at on, that is not white space.
func skipSpace(text []byte, at int) int {
	for text[at] == ' ' || text[at] == '\t' || text[at] == '\r' || text[at] == '\n' {
		at++
	}
	return at
}

// afterValue returns the index after a value and its comma, or that of the bracket that follows.
func afterValue(text []byte, end int) int {
	at := skipSpace(text, end)
	if text[at] == ',' {
		return skipSpace(text, at+1)
	}
	return at
}

// valueEnd returns the index after the value that begins at start.
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

// stringEnd returns the index of the quotation mark that ends the string beginning at start.
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

// endsLiteral reports whether a number, true, false or null ends with the byte at this index.
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
