package configuration

import (
	"fmt"
	"strings"
)

// Fault is one thing that makes a configuration invalid.
type Fault struct {
	Item   string // what it is about, such as route "r-1"
	Reason string
}

// String tells the item and the reason.
func (f Fault) String() string { return f.Item + ": " + f.Reason }

// Invalid is the error of a configuration or a change that can't be taken. It lists all faults.
type Invalid struct{ Faults []Fault }

// mostFaultsTold bounds the text of the error; the list has all of them.
const mostFaultsTold = 20

// Error tells the first faults.
func (i *Invalid) Error() string {
	var text strings.Builder
	text.WriteString("invalid configuration")
	for n, fault := range i.Faults {
		if n == mostFaultsTold {
			fmt.Fprintf(&text, "; and %d more", len(i.Faults)-n)
			break
		}
		text.WriteString([]string{": ", "; "}[min(n, 1)])
		text.WriteString(fault.String())
	}
	return text.String()
}

// faults gathers what is found.
type faults struct{ list []Fault }

func (f *faults) add(item, format string, arguments ...any) {
	f.list = append(f.list, Fault{Item: item, Reason: fmt.Sprintf(format, arguments...)})
}

// err returns nothing, not an empty Invalid, where there are no faults.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &Invalid{Faults: f.list}
}
