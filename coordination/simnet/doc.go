// Package simnet runs the members of a group in a simulated world and checks them: links that delay, lose, duplicate and
// partition, machines that freeze, are killed, lose power or their disks, and disks that are slow, full, or keep only a
// part of what was not synced. The state machines and the log on disk are the real ones; clock, network and disks are
// simulated. One seed determines a history completely, so a history that fails can be replayed.
//
// After each step the world checks the members against a reference model of what was acknowledged (model.go), of the
// membership (membership.go) and of majority contacts (majority_contact.go). A history ends by healing everything and
// checking that the group commits again and that no member lacks anything acknowledged (history.go).
//
// A World is used by one goroutine. Tests run several worlds at once.
package simnet
