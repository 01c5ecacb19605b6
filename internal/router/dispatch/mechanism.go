package dispatch

// Mechanism is a set of mechanisms of endpoint selection and queueing. Tests and experiments switch single ones off
// to measure their effect; the programs use all of them.
type Mechanism uint32

// Mechanisms that can be switched off.
const (
	SizeIntervals     Mechanism = 1 << iota // endpoints of a model prefer prompts of different sizes
	UtilizationCost                         // endpoints with more slots in use cost more
	RendezvousHashing                       // routers agree on the endpoint that caches shared parts of prompts
	PrefixCaching                           // endpoints that cache parts of a prompt cost less
	SlownessLearning                        // predictions take into account how much slower an endpoint is than its peers
	Exploration                             // requests are sent although they are predicted to miss their target, to correct the estimates
	FairnessPriority                        // requests of ranks that are served less often than they should be get another Priority header
	ZonePreference                          // endpoints of other zones cost more
	LoadAnticipation                        // a model is assumed to be loaded before its endpoint announces it
)

// uses reports whether the decider uses a mechanism.
func (d *Decider) uses(mechanism Mechanism) bool { return d.config.Without&mechanism == 0 }
