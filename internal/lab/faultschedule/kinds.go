// Package faultschedule generates random fault schedules for the operators' benchmark, fleetbench. A theme and a seed give
// one schedule, which the benchmark calls a day: a `[[day]]` block in TOML, fitted to a site file. The same site, theme
// and seed always give the same bytes. The package runs no schedule.
package faultschedule

import "slices"

// Kind is the kind of an event. The values are the benchmark's names.
type Kind string

// The kinds of events that the themes generate. In the benchmark's names, "core" is a control machine, "srv" an endpoint
// and "node" any machine of the system.
const (
	AckLost           Kind = "ack_lost"
	AfterAckKill      Kind = "after_ack_kill"
	AfterAckWipe      Kind = "after_ack_wipe"
	ResponseLost      Kind = "answer_lost"
	BadConfig         Kind = "bad_config"
	Burst             Kind = "burst"
	ClockStep         Kind = "clock_step"
	ConfigChange      Kind = "config_change"
	ConfigRace        Kind = "config_race"
	ConfigStorm       Kind = "config_storm"
	CorePartition     Kind = "core_cut"
	DiskFull          Kind = "disk_full"
	DiskSlow          Kind = "disk_slow"
	DiskStall         Kind = "disk_stall"
	CorruptResponse   Kind = "garble"
	ClientAbort       Kind = "give_up"
	MassKill          Kind = "herd_kill"
	HotTenant         Kind = "hot_tenant"
	ReloadSignal      Kind = "hup"
	IdleRace          Kind = "idle_race"
	ModelShift        Kind = "model_shift"
	NodePartition     Kind = "node_cut"
	NodeFreeze        Kind = "node_freeze"
	NodeKill          Kind = "node_kill"
	NodeSlow          Kind = "node_slow"
	Release           Kind = "release"
	ReplaceCore       Kind = "replace_core"
	ReplaceWithReuse  Kind = "replace_with_reuse"
	ResetConnections  Kind = "reset_conns"
	RetryAbuse        Kind = "retry_abuse"
	Revoke            Kind = "revoke"
	RollingStop       Kind = "roll_term"
	ScaleIn           Kind = "scale_in"
	ScaleOut          Kind = "scale_out"
	SeedReplacement   Kind = "seed_turnover"
	ServerCrash       Kind = "srv_crash"
	ServerPartition   Kind = "srv_cut"
	ServerFlapping    Kind = "srv_flap"
	ServerGreyFailure Kind = "srv_grey"
	ServerFalseHealth Kind = "srv_lying_health"
	ServerSlow        Kind = "srv_slow"
)

// The kinds of closing faults, which happen at the end of a schedule.
const (
	PowerOffAll  Kind = "power_off_all"
	WipeAfterAck Kind = "wipe_after_ack"
	KillAll      Kind = "kill_all"
)

// targetKind is what an event affects. The target determines which modifiers the event accepts besides those of its kind.
type targetKind int

const (
	targetOther     targetKind = iota // clients, links or the operators
	targetServers                     // endpoints
	targetMachines                    // machines of the system
	targetPartition                   // machines, by a network partition
)

// kindSpec describes what the benchmark accepts for events of one kind.
type kindSpec struct {
	planned   bool // the event belongs in the list `plan`, not in `faults`
	target    targetKind
	modifiers []string // words of `how` besides those that every event with this target accepts
	contract  string   // the contract that a site needs for this kind; empty if every site supports it
}

// kindSpecs describes every kind of event that may be generated. It follows the output of `fleetbench kinds SITE`: the
// words after `how:` in the line of a kind, and the paragraph "For servers, 'how' may also hold ...". The kinds lossy and
// shift are left out, as only one site of a contract lists them.
var kindSpecs = map[Kind]kindSpec{
	AckLost:           {},
	AfterAckKill:      {modifiers: []string{"kill", "timed", "taken", "gone"}},
	AfterAckWipe:      {modifiers: []string{"kill", "timed", "taken", "gone", "oldest"}},
	ResponseLost:      {target: targetServers},
	BadConfig:         {planned: true, modifiers: badConfigModifiers},
	Burst:             {},
	ClockStep:         {target: targetMachines, modifiers: []string{"back", "ahead"}},
	ConfigChange:      {planned: true, modifiers: changeModifiers},
	ConfigRace:        {planned: true},
	ConfigStorm:       {planned: true, modifiers: changeModifiers},
	CorePartition:     {target: targetPartition, modifiers: []string{"all", "near", "oldest", "one_way", "seeds", "both", "lure"}},
	DiskFull:          {target: targetMachines},
	DiskSlow:          {target: targetMachines},
	DiskStall:         {target: targetMachines},
	CorruptResponse:   {target: targetServers, modifiers: []string{"extra", "unframed", "early"}},
	ClientAbort:       {},
	MassKill:          {target: targetMachines, modifiers: []string{"power", "taken", "all"}},
	HotTenant:         {contract: "tenants"},
	ReloadSignal:      {planned: true, target: targetMachines},
	IdleRace:          {target: targetServers, contract: "pool"},
	ModelShift:        {planned: true, contract: "engine"},
	NodePartition:     {target: targetPartition, modifiers: []string{"all", "servers"}},
	NodeFreeze:        {target: targetMachines},
	NodeKill:          {target: targetMachines, modifiers: []string{"power"}},
	NodeSlow:          {target: targetMachines},
	Release:           {planned: true, target: targetServers},
	ReplaceCore:       {modifiers: []string{"oldest", "planned"}},
	ReplaceWithReuse:  {target: targetServers, modifiers: []string{"drain", "dark"}},
	ResetConnections:  {target: targetServers},
	RetryAbuse:        {},
	Revoke:            {planned: true, contract: "tenants"},
	RollingStop:       {planned: true, target: targetMachines, modifiers: []string{"remove", "busy"}},
	ScaleIn:           {target: targetServers, modifiers: []string{"spot"}},
	ScaleOut:          {target: targetServers},
	SeedReplacement:   {planned: true},
	ServerCrash:       {target: targetServers, modifiers: []string{"dark", "gone"}},
	ServerPartition:   {target: targetServers, modifiers: []string{"fronts", "one_way", "reset"}},
	ServerFlapping:    {target: targetServers, contract: "health"},
	ServerGreyFailure: {target: targetServers, modifiers: greyFailureModifiers},
	ServerFalseHealth: {target: targetServers, modifiers: []string{"errors", "hang", "reset", "bad"}, contract: "health"},
	ServerSlow:        {target: targetServers},
}

// closingModifiers lists the words of `how` that each closing fault accepts.
var closingModifiers = map[Kind][]string{
	PowerOffAll:  {"timed", "taken", "oldest"},
	WipeAfterAck: {"timed", "taken", "oldest"},
	KillAll:      {"timed", "taken"},
}

// Words of `how` that more than one kind, target or theme uses.
var (
	changeModifiers      = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
	greyFailureModifiers = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow", "one_zone"}
	badConfigModifiers   = []string{
		"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
		"same_version", "stale_match", "shared_key",
	}
	serverModifiers    = []string{"across", "all"}
	machineModifiers   = []string{"turn", "leader", "reader", "seed", "meet", "race", "hard", "drain"}
	partitionModifiers = []string{"reset", "refuse"}
)

// allowsModifier reports whether `how` of an event of this kind may contain the word.
func (k kindSpec) allowsModifier(modifier string) bool {
	if slices.Contains(k.modifiers, modifier) {
		return true
	}
	switch k.target {
	case targetServers:
		return slices.Contains(serverModifiers, modifier)
	case targetMachines:
		return slices.Contains(machineModifiers, modifier)
	case targetPartition:
		return slices.Contains(machineModifiers, modifier) || slices.Contains(partitionModifiers, modifier)
	}
	return false
}
