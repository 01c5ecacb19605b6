// Package systemsim simulates control instances, routers, endpoints and operators together, in virtual time and driven by
// one seed. What decides is the code that ships: the chain with its log on a modelled disk, the replicated configuration,
// the controller with its registry and subscriptions, the leadership of the singleton roles, and the routers' deciders.
// Modelled are processes with their clocks, links, streams and clients.
//
// The model (model.go) keeps what really happened; the checks (checks.go) compare each process with it after each step. A
// seed names a history: it is simulated again exactly, fault by fault. Mutants (mutant.go) are faults put into the
// processes to see that the checks find them.
//
// One goroutine simulates one history; nothing in this package is safe for concurrent use.
package systemsim
