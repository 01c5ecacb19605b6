package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// encode writes the text from the members, and has the members refer to the new text, so that the texts of former
// versions can be collected.
func (d *Document) encode() {
	var text bytes.Buffer
	text.Grow(d.size())
	keep := func(part []byte) []byte {
		start := text.Len()
		text.Write(part)
		return text.Bytes()[start:text.Len():text.Len()]
	}
	text.WriteByte('{')
	for i := range d.members {
		if i > 0 {
			text.WriteByte(',')
		}
		from := &d.members[i]
		text.Write(quote(from.name))
		text.WriteByte(':')
		if from.value != nil {
			from.value = keep(from.value)
			continue
		}
		text.WriteByte('[')
		for n := range from.items {
			if n > 0 {
				text.WriteByte(',')
			}
			from.items[n].text = keep(from.items[n].text)
		}
		text.WriteByte(']')
	}
	text.WriteByte('}')
	d.text = text.Bytes()
}

// size returns an upper bound of the text's length, so that encode allocates once.
func (d *Document) size() int {
	total := len("{}")
	for _, from := range d.members {
		total += len(quote(from.name)) + len(`:[],`) + len(from.value)
		for _, entry := range from.items {
			total += len(entry.text) + len(",")
		}
	}
	return total
}

// quote returns a string as JSON.
func quote(name string) []byte {
	quoted, err := json.Marshal(name)
	if err != nil {
		panic(fmt.Sprintf("configuration: %q: %v", name, err)) // a string can always be encoded
	}
	return quoted
}
