package dispatch

// Mechanism is a set of mechanisms of the choice and the order of requests. Tests and trials switch single ones off, to measure what
// each is worth; the programs use all.
type Mechanism uint32

// Mechanisms that can be switched off.
const (
	SizeIntervals     Mechanism = 1 << iota // endpoints of a model prefer prompts of different sizes
	UtilizationCost                         // endpoints with more slots in use cost more
	RendezvousHashing                       // routers agree on the endpoint that caches shared parts of prompts
	PrefixCaching                           // endpoints that cache parts of a prompt cost less
	SlownessLearning                        // predictions know how much slower an endpoint is than its peers
	Exploration                             // requests are sent against the estimates, to correct them
	FairnessPriority                        // requests of ranks that are served too seldom get another Priority
	ZonePreference                          // endpoints of other zones cost more
	LoadAnticipation                        // models are expected to be loaded before an endpoint says so
)

// uses reports whether the decider uses a mechanism.
func (d *Decider) uses(mechanism Mechanism) bool { return d.config.Without&mechanism == 0 }
