package placer

// Mechanism is a set of the placer's optional mechanisms. Tests and trials switch off single mechanisms to measure the
// benefit of each; the programs use all of them.
type Mechanism uint32

// Mechanisms that can be switched off.
const (
	DemandTrend   Mechanism = 1 << iota // rates are extrapolated to the end of a load
	Redundancy                          // a second replica has additional value
	Packing                             // endpoints with little memory left after the load are preferred
	ZoneSpread                          // the first replica in a zone has additional value
	DormantValue                        // the last replica of a model that has not been requested yet has a value
	WaitingGrowth                       // the weight of requests that wait for a first replica grows with time
)

// uses reports whether the mechanism is enabled.
func (p *Placer) uses(mechanism Mechanism) bool { return p.config.Disabled&mechanism == 0 }
