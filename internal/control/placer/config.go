package placer

import "time"

// Config configures a Placer. Zero fields take the defaults below. LoadRateWindow and LoadRateFactor come from the
// bounds in the machine's settings.
type Config struct {
	LoadRateWindow   time.Duration // ceiling_window_s: length of the window in which the number of started loads is limited
	LoadRateFactor   float64       // ceiling_over: limit of these loads, as a multiple of loads_per_s; at least 1
	HandoverGap      time.Duration // minimum time between the last order of another leader and New
	InspectEndpoints bool          // the caller carries out Output.Inspect; if false, the state is learned from heartbeats alone

	LoadCost  float64 // cost of a load, in requests of middle priority
	OrderCost float64 // cost of an order, in the same unit

	Disabled Mechanism // mechanisms that are switched off, for tests and trials
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
