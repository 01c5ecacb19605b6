// Package controller is the pure core of a control instance's soft state. It joins the registry of endpoints (package
// registry) with the routers' subscriptions (package distribution) and translates between them and the outside: the
// replica's status, connections, waiting calls, barriers and routers' reports.
//
// A Controller starts no goroutine, does no I/O and reads no clock. Package host runs it in the process, package
// systemsim in a simulated system; both only carry out the Output of its steps, so that the simulation proves the code
// that ships.
//
// Invariants:
//   - The newest committed configuration is given to the subscriptions before the contact with a majority that covers
//     it, and both before the events of the step (TestContactIsGivenAfterWhatItCovers).
//   - Departures that are committed are given to the registry, and what they change to the subscriptions, before the
//     contact that covers them (TestDeparturesAreGivenBeforeTheContact). An endpoint's end is accepted only once it is
//     committed (TestAnEndIsAcceptedOnceItIsRecorded).
//   - What is known to be confirmed by a majority never moves back (TestContactOutlivesTheEpoch).
//   - Output is carried out in the order of its fields: messages first, answers to endpoints last. An endpoint is
//     answered only after everything that its answer relies on has been sent.
//   - At most one barrier is in flight; a failed one is repeated no sooner than barrierBackoff later.
package controller
