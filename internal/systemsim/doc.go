// Package systemsim plays control instances, routers, endpoints and operators together in a seeded world in virtual
// time. What decides is the real code: the chain with its log on a modelled disk, the replicated configuration, the
// registry and the routers' subscriptions at the instances, the tenure of the single roles, and each router's
// decider. Modelled are processes, links and callers. After each step the world holds what was done against what it
// knows to be true; a seed names a history and replays it exactly.
package systemsim
