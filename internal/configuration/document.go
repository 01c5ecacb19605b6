package configuration

// The keys of a configuration that are understood. All others are kept as they are.
const (
	keyGeneration = "generation"
	keyRoutes     = "routes"
	keyServices   = "services"
	keyLimits     = "limits"
	keyTenants    = "tenants"
)

// Document is one version of the operators' configuration: its text, and the typed form of the keys that are understood.
//
// Invariants: the text of each item is kept byte for byte, so what is read back is what the operator sent; the typed form
// always belongs to the text; a Document does not change once it has been made, and any number of goroutines may read it.
type Document struct {
	text    []byte
	members []member
	typed   *Configuration
}

// member is one member (key and value) of the top-level object. Their order is that of the text.
type member struct {
	name  string
	value []byte // nil: a list of named items, in items
	items []item
}

// item is one object of a list of named items.
type item struct {
	name  string
	text  []byte
	typed any // *Route, *Service, *Tenant; nil in a list with an unknown key
}

// Configuration returns the typed form. It must not be changed.
func (d *Document) Configuration() *Configuration { return d.typed }

// Encode returns the JSON text. A document that was parsed has the text it was parsed from; one that Apply made has its
// items' texts without white space between them. It must not be changed.
func (d *Document) Encode() []byte { return d.text }

// member returns the member of a key, or nil.
func (d *Document) member(name string) *member {
	for i := range d.members {
		if d.members[i].name == name {
			return &d.members[i]
		}
	}
	return nil
}
