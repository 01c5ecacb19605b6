package placer

import "time"

// Config of a Placer. Zero fields take the defaults below; the bounds come from the machine's settings.
type Config struct {
	LoadRateWindow   time.Duration // ceiling_window_s: in any such span the loads that begin are bounded
	LoadRateFactor   float64       // ceiling_over: by this factor of what the store allows
	HandoverGap      time.Duration // no other holder has sent an order for so long before New
	InspectEndpoints bool          // the host carries out Output.Inspect; without them room is learned from registrations only

	LoadCost  float64 // of one load, in requests of usual worth
	OrderCost float64 // of one order
}

// Defaults of Config.
const (
	DefaultLoadRateWindow = 5 * time.Second
	DefaultLoadRateFactor = 1.1
	DefaultLoadCost       = 0.36
	DefaultOrderCost      = 0.036
)

func (o Config) withDefaults() Config {
	if o.LoadRateWindow <= 0 {
		o.LoadRateWindow = DefaultLoadRateWindow
	}
	if o.LoadRateFactor < 1 {
		o.LoadRateFactor = DefaultLoadRateFactor
	}
	if o.LoadCost <= 0 {
		o.LoadCost = DefaultLoadCost
	}
	if o.OrderCost <= 0 {
		o.OrderCost = DefaultOrderCost
	}
	return o
}
