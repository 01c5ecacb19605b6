package configuration

import (
	"fmt"
	"strings"
)

// ItemError is one thing that makes a configuration invalid.
type ItemError struct {
	Item   string // what it is about, such as route "r-1"
	Reason string
}

// String tells the item and the reason.
func (f ItemError) String() string { return f.Item + ": " + f.Reason }

// InvalidError is the error of a configuration or a change that can't be taken. It lists all faults.
type InvalidError struct{ Items []ItemError }

// mostFaultsTold bounds the text of the error; the list has all of them.
const mostFaultsTold = 20

// Error tells the first faults.
func (i *InvalidError) Error() string {
	var text strings.Builder
	text.WriteString("invalid configuration")
	for n, fault := range i.Items {
		if n == mostFaultsTold {
			fmt.Fprintf(&text, "; and %d more", len(i.Items)-n)
			break
		}
		text.WriteString([]string{": ", "; "}[min(n, 1)])
		text.WriteString(fault.String())
	}
	return text.String()
}

// faults gathers what is found.
type faults struct{ list []ItemError }

func (f *faults) add(item, format string, arguments ...any) {
	f.list = append(f.list, ItemError{Item: item, Reason: fmt.Sprintf(format, arguments...)})
}

// err returns nothing, not an empty Invalid, where there are no faults.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &InvalidError{Items: f.list}
}
