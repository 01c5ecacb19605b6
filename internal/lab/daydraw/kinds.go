// Package daydraw draws days of trouble for the users' bench: a theme and a seed give one `[[day]]` in TOML, fitted to
// a site file. The same site, theme and seed give the same bytes. It plays nothing.
package daydraw

import "slices"

// Kind is one kind of entry of a day, in the bench's words.
type Kind string

// The kinds that themes draw from.
const (
	AckLost          Kind = "ack_lost"
	AfterAckKill     Kind = "after_ack_kill"
	AfterAckWipe     Kind = "after_ack_wipe"
	AnswerLost       Kind = "answer_lost"
	BadConfig        Kind = "bad_config"
	Burst            Kind = "burst"
	ClockStep        Kind = "clock_step"
	ConfigChange     Kind = "config_change"
	ConfigRace       Kind = "config_race"
	ConfigStorm      Kind = "config_storm"
	CoreCut          Kind = "core_cut"
	DiskFull         Kind = "disk_full"
	DiskSlow         Kind = "disk_slow"
	DiskStall        Kind = "disk_stall"
	Garble           Kind = "garble"
	GiveUp           Kind = "give_up"
	HerdKill         Kind = "herd_kill"
	HotTenant        Kind = "hot_tenant"
	Hup              Kind = "hup"
	IdleRace         Kind = "idle_race"
	ModelShift       Kind = "model_shift"
	NodeCut          Kind = "node_cut"
	NodeFreeze       Kind = "node_freeze"
	NodeKill         Kind = "node_kill"
	NodeSlow         Kind = "node_slow"
	Release          Kind = "release"
	ReplaceCore      Kind = "replace_core"
	ReplaceWithReuse Kind = "replace_with_reuse"
	ResetConns       Kind = "reset_conns"
	RetryAbuse       Kind = "retry_abuse"
	Revoke           Kind = "revoke"
	RollTerm         Kind = "roll_term"
	ScaleIn          Kind = "scale_in"
	ScaleOut         Kind = "scale_out"
	SeedTurnover     Kind = "seed_turnover"
	SrvCrash         Kind = "srv_crash"
	SrvCut           Kind = "srv_cut"
	SrvFlap          Kind = "srv_flap"
	SrvGrey          Kind = "srv_grey"
	SrvLyingHealth   Kind = "srv_lying_health"
	SrvSlow          Kind = "srv_slow"
)

// Closing kinds: the fault at the end of a day.
const (
	PowerOffAll  Kind = "power_off_all"
	WipeAfterAck Kind = "wipe_after_ack"
	KillAll      Kind = "kill_all"
)

// target is what an entry strikes; it decides which common words its `how` may hold.
type target int

const (
	others   target = iota // clients, links, the operator
	servers                // endpoints
	machines               // machines of the system
	cuts                   // machines, by a partition
)

// form is what the bench's page says of a kind.
type form struct {
	planned  bool // stands under `plan`, as in the standard days
	strikes  target
	words    []string // of `how`, besides the common ones of what it strikes
	contract string   // the contract that brings the kind; empty: any site has it
}

// forms holds every kind that may be drawn, as `fleetbench kinds SITE` prints it: its line of words after `how:`, and the
// paragraph "For servers, 'how' may also hold ...". A kind that only one site of a contract lists (lossy, shift) is not
// among them.
var forms = map[Kind]form{
	AckLost:          {},
	AfterAckKill:     {words: []string{"kill", "timed", "taken", "gone"}},
	AfterAckWipe:     {words: []string{"kill", "timed", "taken", "gone", "oldest"}},
	AnswerLost:       {strikes: servers},
	BadConfig:        {planned: true, words: badConfigWords},
	Burst:            {},
	ClockStep:        {strikes: machines, words: []string{"back", "ahead"}},
	ConfigChange:     {planned: true, words: changeWords},
	ConfigRace:       {planned: true},
	ConfigStorm:      {planned: true, words: changeWords},
	CoreCut:          {strikes: cuts, words: []string{"all", "near", "oldest", "one_way", "seeds", "both", "lure"}},
	DiskFull:         {strikes: machines},
	DiskSlow:         {strikes: machines},
	DiskStall:        {strikes: machines},
	Garble:           {strikes: servers, words: []string{"extra", "unframed", "early"}},
	GiveUp:           {},
	HerdKill:         {strikes: machines, words: []string{"power", "taken", "all"}},
	HotTenant:        {contract: "tenants"},
	Hup:              {planned: true, strikes: machines},
	IdleRace:         {strikes: servers, contract: "pool"},
	ModelShift:       {planned: true, contract: "engine"},
	NodeCut:          {strikes: cuts, words: []string{"all", "servers"}},
	NodeFreeze:       {strikes: machines},
	NodeKill:         {strikes: machines, words: []string{"power"}},
	NodeSlow:         {strikes: machines},
	Release:          {planned: true, strikes: servers},
	ReplaceCore:      {words: []string{"oldest", "planned"}},
	ReplaceWithReuse: {strikes: servers, words: []string{"drain", "dark"}},
	ResetConns:       {strikes: servers},
	RetryAbuse:       {},
	Revoke:           {planned: true, contract: "tenants"},
	RollTerm:         {planned: true, strikes: machines, words: []string{"remove", "busy"}},
	ScaleIn:          {strikes: servers, words: []string{"spot"}},
	ScaleOut:         {strikes: servers},
	SeedTurnover:     {planned: true},
	SrvCrash:         {strikes: servers, words: []string{"dark", "gone"}},
	SrvCut:           {strikes: servers, words: []string{"fronts", "one_way", "reset"}},
	SrvFlap:          {strikes: servers, contract: "health"},
	SrvGrey:          {strikes: servers, words: greyWords},
	SrvLyingHealth:   {strikes: servers, words: []string{"errors", "hang", "reset", "bad"}, contract: "health"},
	SrvSlow:          {strikes: servers},
}

// closings holds the words of each closing fault.
var closings = map[Kind][]string{
	PowerOffAll:  {"timed", "taken", "oldest"},
	WipeAfterAck: {"timed", "taken", "oldest"},
	KillAll:      {"timed", "taken"},
}

// Words of `how` that several kinds or themes share.
var (
	changeWords    = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
	greyWords      = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow", "one_zone"}
	badConfigWords = []string{
		"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
		"same_version", "stale_match", "shared_key",
	}
	serverWords  = []string{"across", "all"}
	machineWords = []string{"turn", "leader", "reader", "seed", "meet", "race", "hard", "drain"}
	cutWords     = []string{"reset", "refuse"}
)

// allows tells whether `how` of this form may hold a word.
func (f form) allows(word string) bool {
	if slices.Contains(f.words, word) {
		return true
	}
	switch f.strikes {
	case servers:
		return slices.Contains(serverWords, word)
	case machines:
		return slices.Contains(machineWords, word)
	case cuts:
		return slices.Contains(machineWords, word) || slices.Contains(cutWords, word)
	}
	return false
}
