// Package simnet plays the members of a group in a seeded world: links that delay, lose, double, cut and reset,
// machines that freeze, die, lose power or their disks, disks that stall, fill up or tear what they write. The
// state machines and the log on disk are the real ones. After every step the world checks what must hold; a seed
// names a history and replays it exactly.
package simnet
