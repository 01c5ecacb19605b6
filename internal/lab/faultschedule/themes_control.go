package faultschedule

// Values of the key `on`, which selects the machines that an event affects.
const (
	coreMachines = "core"  // control machines; the site file limits how many may be lost at once
	edgeMachines = "front" // machines of the routers
)

// addCorePartition adds a partition of core machines with random victims.
func (g *generator) addCorePartition(at, length float64) {
	victim := g.oneOf("leader", "turn", "oldest", "leader all", "near leader", "one_way leader", "leader both", "reader all",
		"lure leader")
	g.add(Event{
		At: at, Kind: CorePartition, Count: g.machineCount(), DurationS: length,
		How: g.withOptional(victim, 0.35, "race", "hard", "meet", "drain", "refuse"),
	})
}

// addConfigStorm adds a series of configuration changes, one every gap seconds for length seconds.
func (g *generator) addConfigStorm(at, gap, length float64, modifiers ...string) {
	g.add(Event{At: at, Kind: ConfigStorm, GapS: gap, DurationS: length, How: g.oneOf(modifiers...)})
}

// addLeaderFault adds a fault, a kill or a freeze, of the core machine that acted last.
func (g *generator) addLeaderFault(kind Kind, at, length float64) {
	g.add(Event{At: at, Kind: kind, On: coreMachines, Count: g.machineCount(), DurationS: length, How: "leader race hard"})
}

func generatePartition(g *generator) {
	g.addCorePartition(g.scaledTime(3, 5), g.scaledTime(15, 22))
	g.addConfigStorm(g.scaledTime(4, 8), g.uniform(0.4, 1.2), g.scaledTime(8, 18))
	g.add(Event{At: g.scaledTime(6, 16), Kind: ConfigRace, Count: g.intBetween(2, 5), GapS: g.uniform(0.3, 1)})
	g.add(Event{At: g.scaledTime(6, 14), Kind: Revoke, Count: 2, GapS: 0.5})
	g.add(Event{At: g.scaledTime(2, 8), Kind: AckLost, Magnitude: 0.6, DurationS: g.scaledTime(8, 20)})
	if g.chance(0.5) {
		g.addLeaderFault(NodeFreeze, g.scaledTime(10, 22), g.uniform(1, 6))
	}
	g.setClosingFault(Kind(g.oneOf(string(PowerOffAll), string(KillAll), string(WipeAfterAck))))
}

func generateConfigRace(g *generator) {
	g.add(Event{At: g.scaledTime(2, 4), Kind: ConfigRace, Count: g.intBetween(8, 20), GapS: g.uniform(0.3, 1)})
	g.addConfigStorm(g.scaledTime(2, 4), g.uniform(0.3, 1), g.scaledTime(10, 24))
	g.add(Event{
		At: g.scaledTime(4, 16), Kind: BadConfig, Count: 4, GapS: 0.6,
		How: g.oneOf("same_version", "old_version", "stale_match", "shared_key", "cut_short"),
	})
	g.add(Event{At: g.scaledTime(2, 4), Kind: AckLost, Magnitude: g.uniform(0.5, 0.9), DurationS: g.scaledTime(25, 25)})
	for range g.intBetween(1, 3) {
		kind := Kind(g.oneOf(string(NodeKill), string(NodeFreeze)))
		g.addLeaderFault(kind, g.scaledTime(4, 24), g.uniform(0.8, 4))
	}
	if g.chance(0.5) {
		g.add(Event{
			At: g.scaledTime(5, 18), Kind: AfterAckKill, Count: g.machineCount(), DurationS: g.uniform(1, 3),
			How: g.oneOf("kill", "timed", "taken", ""),
		})
	}
	g.setClosingFault(Kind(g.oneOf(string(PowerOffAll), string(WipeAfterAck))), "timed", "taken", "oldest")
}

func generateMachineLoss(g *generator) {
	start := g.scaledTime(2, 5)
	g.add(Event{At: start, Kind: ReplaceCore, Magnitude: g.uniform(0.5, 3), How: g.oneOf("", "oldest", "planned", "oldest planned")})
	g.add(Event{
		At: start + g.uniform(2, 5), Kind: Kind(g.oneOf(string(AfterAckWipe), string(AfterAckKill))),
		Count: g.machineCount(), DurationS: g.uniform(1, 3), How: g.oneOf("timed", "taken", "taken gone"),
	})
	if g.chance(0.6) {
		g.add(Event{At: g.scaledTime(12, 16), Kind: ReplaceCore, Magnitude: g.uniform(0.5, 3), How: g.oneOf("", "oldest")})
	}
	if g.chance(0.6) {
		g.add(Event{
			At: g.scaledTime(17, 22), Kind: AfterAckWipe, Count: g.machineCount(), DurationS: g.uniform(1, 3),
			How: g.oneOf("oldest", "timed"),
		})
	}
	g.addFurtherLosses()
	g.addConfigStorm(g.scaledTime(2, 4), g.uniform(0.5, 1.5), g.scaledTime(22, 22))
	g.setClosingFault(WipeAfterAck, "timed", "taken", "oldest")
}

// addFurtherLosses adds faults that stop more machines, or their disks, while earlier losses are being repaired.
func (g *generator) addFurtherLosses() {
	if g.chance(0.5) {
		g.add(Event{At: g.scaledTime(6, 20), Kind: MassKill, On: coreMachines, Share: 1, How: g.oneOf("power", "taken", "taken all")})
	}
	if g.chance(0.4) {
		g.add(Event{At: g.scaledTime(8, 20), Kind: RollingStop, On: coreMachines, Share: 0.3, Magnitude: 1, GapS: 1, How: "remove"})
	}
	if g.chance(0.4) {
		g.add(Event{At: g.scaledTime(6, 20), Kind: DiskFull, Count: g.machineCount(), DurationS: g.uniform(3, 8)})
	}
	if g.chance(0.4) {
		g.add(Event{At: g.scaledTime(6, 20), Kind: DiskStall, Count: g.machineCount(), DurationS: g.uniform(2, 6)})
	}
}

func generateManyChanges(g *generator) {
	g.addConfigStorm(g.scaledTime(1.5, 1.5), g.uniform(0.06, 0.14), g.scaledTime(26, 26), "", "idle", "weights")
	for range g.intBetween(2, 4) {
		kind := Kind(g.oneOf(string(NodeKill), string(NodeFreeze), string(CorePartition)))
		event := Event{
			At: g.scaledTime(6, 26), Kind: kind, Count: g.machineCount(), DurationS: g.uniform(1, 7),
			How: g.oneOf("leader", "", "turn", "turn meet", "leader race"),
		}
		if kind != CorePartition {
			event.On = coreMachines
		}
		g.add(event)
	}
	if g.chance(0.5) {
		g.add(Event{At: g.scaledTime(8, 20), Kind: ReplaceCore, Magnitude: g.uniform(0.5, 2), How: g.oneOf("", "oldest", "planned")})
	}
	g.add(Event{At: g.scaledTime(14, 24), Kind: AfterAckWipe, Count: g.machineCount(), DurationS: 2, How: g.oneOf("", "oldest")})
	if g.chance(0.5) {
		g.add(Event{At: g.scaledTime(4, 14), Kind: SeedReplacement})
	}
	g.setClosingFault(Kind(g.oneOf(string(PowerOffAll), string(WipeAfterAck))), "timed", "oldest")
}

// generateRepeatedFault draws one fault and repeats it about when the system has recovered from the first.
func generateRepeatedFault(g *generator) {
	first := g.recurringFault()
	first.At = g.scaledTime(3, 6)
	g.add(first)
	second := first
	second.At = first.At + max(first.DurationS, first.Magnitude) + g.catchUpDelay()
	g.add(second)
	g.addConfigStorm(g.scaledTime(2, 4), g.uniform(0.4, 1.2), g.scaledTime(20, 24))
	g.add(Event{At: g.scaledTime(3, 8), Kind: ConfigRace, Count: g.intBetween(2, 6), GapS: g.uniform(0.5, 2)})
	g.add(Event{At: g.scaledTime(2, 6), Kind: AckLost, Magnitude: g.uniform(0.4, 0.8), DurationS: g.scaledTime(12, 22)})
	g.setClosingFault(Kind(g.oneOf(string(PowerOffAll), string(WipeAfterAck))), "timed", "oldest")
}

// recurringFault draws a fault of the control machines that can happen a second time in one schedule.
func (g *generator) recurringFault() Event {
	count, length := g.machineCount(), g.uniform(1, 5)
	choices := []Event{
		{Kind: CorePartition, Count: count, DurationS: length, How: g.oneOf("leader race", "leader meet", "turn", "near leader", "lure leader")},
		{Kind: ReplaceCore, Magnitude: g.uniform(0.5, 2), How: g.oneOf("", "oldest", "planned")},
		{Kind: AfterAckWipe, Count: count, DurationS: g.uniform(1, 3), How: g.oneOf("oldest", "timed", "taken")},
		{Kind: AfterAckKill, Count: count, DurationS: g.uniform(1, 3), How: g.oneOf("", "kill", "timed", "taken")},
		{Kind: NodeFreeze, On: coreMachines, Count: count, DurationS: length, How: g.oneOf("leader race hard", "leader meet", "turn")},
		{Kind: NodeKill, On: coreMachines, Count: count, DurationS: length, How: g.oneOf("power leader", "leader race drain", "power")},
		{Kind: MassKill, On: coreMachines, Share: 1, DurationS: g.uniform(0.5, 2), How: g.oneOf("", "power", "taken", "taken all")},
		{Kind: DiskFull, Count: count, DurationS: length},
	}
	return choices[g.rng.IntN(len(choices))]
}

// generateRepeatedPartition adds two partitions of different kinds, with restarts and freezes of other machines at random
// times around them.
func generateRepeatedPartition(g *generator) {
	first := g.scaledTime(3, 6)
	length := g.uniform(4, 10)
	g.addRandomPartition(first, length)
	g.addRandomPartition(first+length+g.uniform(0.2, 2)+g.site.Timing.CatchUpS*g.uniform(0, 1), g.uniform(3, 9))
	g.addRestart(first + g.uniform(0, length))
	if g.chance(0.6) {
		g.addLeaderFault(NodeFreeze, first+length+g.uniform(0, 6), g.nearConfigDeadline())
	}
	if g.chance(0.4) {
		g.add(Event{At: g.scaledTime(8, 20), Kind: SeedReplacement})
	}
	if g.chance(0.5) {
		g.add(Event{
			At: g.scaledTime(6, 18), Kind: NodePartition, Share: g.uniform(0.1, 0.3), DurationS: g.uniform(2, 6),
			How: g.oneOf("", "all", "servers", "reset"),
		})
	}
	g.addConfigStorm(g.scaledTime(2, 5), g.uniform(0.3, 1.2), g.scaledTime(16, 24), "", "route", "idle", "timeout")
	g.add(Event{At: g.scaledTime(5, 14), Kind: Revoke, Count: g.intBetween(1, 3), GapS: g.uniform(0.5, 2)})
	g.add(Event{At: g.scaledTime(2, 6), Kind: AckLost, Magnitude: g.uniform(0.4, 0.8), DurationS: g.scaledTime(10, 20)})
	g.setClosingFault(Kind(g.oneOf(string(KillAll), string(PowerOffAll), string(WipeAfterAck))))
}

// addRandomPartition adds a partition of core machines with a random direction and random victims.
func (g *generator) addRandomPartition(at, length float64) {
	direction := g.oneOf("near", "all", "lure", "both", "one_way", "seeds", "")
	victim := g.oneOf("leader", "turn", "reader", "oldest", "seed")
	how := g.withOptional(direction+" "+victim, 0.3, "race", "meet", "hard", "drain")
	if response := g.oneOf("", "", "reset", "refuse"); response != "" {
		how += " " + response
	}
	g.add(Event{At: at, Kind: CorePartition, Count: g.machineCount(), DurationS: length, How: how})
}

// addRestart restarts control machines or routers, or has processes reload, at a time near a partition.
func (g *generator) addRestart(at float64) {
	gap := g.uniform(0.3, 2)
	choices := []Event{
		{Kind: RollingStop, On: coreMachines, Share: 1, Magnitude: 1, GapS: gap},
		{Kind: RollingStop, On: edgeMachines, Share: g.uniform(0.3, 1), Magnitude: float64(g.intBetween(1, 3)), GapS: gap},
		{Kind: NodeKill, On: coreMachines, Count: g.machineCount(), DurationS: gap, How: g.oneOf("turn", "seed", "reader")},
		{Kind: NodeKill, On: edgeMachines, Share: g.uniform(0.2, 0.5), DurationS: gap},
		{Kind: ReloadSignal, Share: 1, GapS: gap},
	}
	event := choices[g.rng.IntN(len(choices))]
	event.At = at
	g.add(event)
}

// generateDiskFaults adds disk faults and ends with a loss of power or of a machine's data.
func generateDiskFaults(g *generator) {
	for range g.intBetween(2, 4) {
		kind := Kind(g.oneOf(string(DiskFull), string(DiskStall), string(DiskSlow)))
		event := Event{At: g.scaledTime(3, 22), Kind: kind, Count: g.machineCount(), DurationS: g.uniform(2, 9), How: g.oneOf("", "leader", "turn")}
		if kind == DiskSlow {
			event.Magnitude = g.uniform(10, 60)
		}
		g.add(event)
	}
	g.add(Event{
		At: g.scaledTime(8, 20), Kind: Kind(g.oneOf(string(AfterAckKill), string(AfterAckWipe))), Count: g.machineCount(),
		DurationS: g.uniform(1, 3), How: g.oneOf("", "timed", "taken"),
	})
	if g.chance(0.4) {
		g.add(Event{At: g.scaledTime(6, 20), Kind: MassKill, On: coreMachines, Share: 1, How: "power"})
	}
	g.addConfigStorm(g.scaledTime(1.5, 3), g.uniform(0.1, 0.8), g.scaledTime(20, 26))
	g.add(Event{At: g.scaledTime(3, 10), Kind: ConfigRace, Count: g.intBetween(2, 8), GapS: g.uniform(0.4, 1.5)})
	g.setClosingFault(Kind(g.oneOf(string(PowerOffAll), string(WipeAfterAck))), "", "timed", "oldest")
}

// generateClockSteps adds jumps of the system clock, together with freezes and partitions.
func generateClockSteps(g *generator) {
	for range g.intBetween(2, 3) {
		g.add(Event{
			At: g.scaledTime(2, 20), Kind: ClockStep, Share: g.uniform(0.2, 1), Magnitude: g.uniform(500, 8000),
			DurationS: g.uniform(3, 10), How: g.oneOf("back", "ahead", "leader"),
		})
	}
	g.addLeaderFault(NodeFreeze, g.scaledTime(5, 18), g.nearConfigDeadline())
	if g.chance(0.5) {
		g.addCorePartition(g.scaledTime(6, 16), g.uniform(3, 8))
	}
	g.addConfigStorm(g.scaledTime(2, 5), g.uniform(0.3, 1.2), g.scaledTime(16, 24))
	g.add(Event{At: g.scaledTime(4, 14), Kind: ConfigRace, Count: g.intBetween(2, 6), GapS: g.uniform(0.4, 1.5)})
	g.add(Event{At: g.scaledTime(6, 16), Kind: Revoke, Count: 2, GapS: 0.5})
	g.setClosingFault(Kind(g.oneOf(string(PowerOffAll), string(KillAll), string(WipeAfterAck))))
}
