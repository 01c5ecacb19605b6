// Package distribution decides what each subscribed router is sent and when. It is pure: the host passes in
// subscriptions, confirmations, changes and the time, and carries out what comes back.
//
// Invariants, each with its test:
//   - A router gets committed configurations only, and never an older one after a newer one (TestVersionsOnlyRise).
//   - Update.GenerationConfirmed is set only after a barrier that began after the router's subscription
//     (TestSubscriptionGetsEverythingAndIsConfirmedByALaterBarrier).
//   - No connection goes without a message for longer than two BeaconIntervals while the host runs
//     (TestBeaconsOnlyWhereNothingElseIsSent).
//   - Each message states how old the instance's newest contact with a majority is. Without a fresh one no router is
//     sent a snapshot, which replaces its own table (TestFreshnessProofsAreTrue).
package distribution
