package configuration

import (
	"fmt"
	"strings"
)

// ItemError is the reason why one item of a configuration or of a change is invalid.
//
// Its fields have no tags, and package control/state stores it by their names: they must not be renamed.
type ItemError struct {
	Item   string // such as route "r-1"
	Reason string
}

// Error returns the item and the reason.
func (e ItemError) Error() string { return e.Item + ": " + e.Reason }

// InvalidError is the error of an invalid configuration or change. It lists an ItemError for each reason, in the order in
// which they were found.
type InvalidError struct{ Items []ItemError }

// maxItemsShown bounds the text of an InvalidError; Items has all of them.
const maxItemsShown = 20

// Error returns the first item errors.
func (e *InvalidError) Error() string {
	var text strings.Builder
	text.WriteString("invalid configuration")
	for n, item := range e.Items {
		if n == maxItemsShown {
			fmt.Fprintf(&text, "; and %d more", len(e.Items)-n)
			break
		}
		text.WriteString([]string{": ", "; "}[min(n, 1)])
		text.WriteString(item.Error())
	}
	return text.String()
}

// Unwrap returns the item errors, for errors.As.
func (e *InvalidError) Unwrap() []error {
	items := make([]error, len(e.Items))
	for i, item := range e.Items {
		items[i] = item
	}
	return items
}

// itemErrors collects what is found in one document.
type itemErrors struct{ list []ItemError }

func (f *itemErrors) add(item, format string, arguments ...any) {
	f.list = append(f.list, ItemError{Item: item, Reason: fmt.Sprintf(format, arguments...)})
}

// err returns an *InvalidError, or nil, as an untyped nil, where nothing was found.
func (f *itemErrors) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &InvalidError{Items: f.list}
}
