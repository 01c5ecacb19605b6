package placer

import "time"

// Options of a Placer. Zero fields take the defaults below; the bounds come from the machine's settings.
type Options struct {
	CeilingWindow time.Duration // ceiling_window_s: in any such span the loads that begin are bounded
	CeilingOver   float64       // ceiling_over: by this factor of what the store allows
	QuietBefore   time.Duration // no other holder has sent an order for so long before New
	Looks         bool          // the host carries out Output.Looks; without them room is learned from registrations only

	LoadPrice  float64 // of one load, in requests of usual worth
	OrderPrice float64 // of one order
}

// Defaults of Options.
const (
	DefaultCeilingWindow = 5 * time.Second
	DefaultCeilingOver   = 1.1
	DefaultLoadPrice     = 0.36
	DefaultOrderPrice    = 0.036
)

func (o Options) withDefaults() Options {
	if o.CeilingWindow <= 0 {
		o.CeilingWindow = DefaultCeilingWindow
	}
	if o.CeilingOver < 1 {
		o.CeilingOver = DefaultCeilingOver
	}
	if o.LoadPrice <= 0 {
		o.LoadPrice = DefaultLoadPrice
	}
	if o.OrderPrice <= 0 {
		o.OrderPrice = DefaultOrderPrice
	}
	return o
}
