package placer

import "time"

// Config has the values of a Placer. Zero fields take the defaults below; the bounds come from the machine's
// settings.
type Config struct {
	LoadRateWindow   time.Duration // ceiling_window_s: in any span of this length the loads that begin are bounded
	LoadRateFactor   float64       // ceiling_over: bound of these loads, as a multiple of loads_per_s; at least 1
	HandoverGap      time.Duration // no other leader has sent an order for this long before New
	InspectEndpoints bool          // the caller carries out Output.Inspect; if not, state is learned from heartbeats alone

	LoadCost  float64 // cost of a load, in requests of middle priority
	OrderCost float64 // cost of an order, in the same unit

	Without Mechanism // switched off, for tests and trials
}

// Defaults of Config.
const (
	DefaultLoadRateWindow = 5 * time.Second
	DefaultLoadRateFactor = 1.1
	DefaultLoadCost       = 0.36
	DefaultOrderCost      = 0.036
)

func (c Config) withDefaults() Config {
	if c.LoadRateWindow <= 0 {
		c.LoadRateWindow = DefaultLoadRateWindow
	}
	if c.LoadRateFactor < 1 {
		c.LoadRateFactor = DefaultLoadRateFactor
	}
	if c.LoadCost <= 0 {
		c.LoadCost = DefaultLoadCost
	}
	if c.OrderCost <= 0 {
		c.OrderCost = DefaultOrderCost
	}
	return c
}
