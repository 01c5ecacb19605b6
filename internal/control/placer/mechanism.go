package placer

// Mechanism is a set of mechanisms of the placer. Tests and trials switch single ones off, to measure what each is worth; the
// programs use all.
type Mechanism uint32

// Mechanisms that can be switched off.
const (
	DemandTrend   Mechanism = 1 << iota // rates are extrapolated to the end of a load
	Redundancy                          // a second replica has a value of its own
	Packing                             // endpoints whose memory is filled well are preferred
	ZoneSpread                          // the first replica in a zone has a value of its own
	DormantValue                        // models that nobody has asked for yet are kept
	WaitingGrowth                       // requests that wait longer for a first replica weigh more
)

// uses reports whether the placer uses a mechanism.
func (p *Placer) uses(mechanism Mechanism) bool { return p.config.Without&mechanism == 0 }
