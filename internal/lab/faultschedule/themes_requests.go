package faultschedule

func generateResponseFaults(g *generator) {
	g.add(Event{
		At: g.scaledTime(2, 6), Kind: CorruptResponse, Share: 0.8, Magnitude: g.uniform(0.03, 0.2), DurationS: g.scaledTime(10, 20),
		How: g.oneOf("", "extra", "unframed", "early", "extra unframed"),
	})
	g.add(Event{At: g.scaledTime(2, 10), Kind: ResponseLost, Share: 0.7, Magnitude: g.uniform(0.03, 0.2), DurationS: g.scaledTime(8, 16)})
	g.add(Event{At: g.scaledTime(4, 18), Kind: ResetConnections, Share: 0.5, Magnitude: 0.7})
	g.add(Event{
		At: g.scaledTime(8, 22), Kind: ServerGreyFailure, Share: 0.3, Magnitude: 0.5, DurationS: g.uniform(3, 8),
		How: g.oneOf("reset", "mute", "hang", "shed", "busy", "errors"),
	})
	g.add(Event{At: g.scaledTime(8, 20), Kind: ServerPartition, Share: 0.25, DurationS: g.uniform(3, 7), How: g.oneOf("", "fronts", "one_way", "reset")})
	g.addClientAbort(g.scaledTime(4, 18))
	if g.chance(0.6) {
		g.add(Event{At: g.scaledTime(8, 20), Kind: RetryAbuse, Share: 0.3, Magnitude: 3, DurationS: 6})
	}
	if g.chance(0.6) {
		g.add(Event{At: g.scaledTime(8, 20), Kind: ReplaceWithReuse, Share: 0.2, DurationS: 5, How: g.oneOf("", "drain", "dark")})
	}
	g.add(Event{At: g.scaledTime(6, 20), Kind: IdleRace, Share: 0.5, Magnitude: g.uniform(100, 800), DurationS: g.uniform(4, 10)})
	g.add(Event{At: g.scaledTime(3, 14), Kind: RollingStop, Share: 0.4, Magnitude: 1, GapS: 1, How: "busy"})
	g.add(Event{At: g.scaledTime(3, 14), Kind: ReloadSignal, Share: 0.5, GapS: 3})
	g.setClosingFault(KillAll)
}

// addClientAbort adds clients that abort requests after at least 100 ms and at most the latency target of a
// random class. A target below 200 ms counts as 200 ms, one above 1 s as 1 s.
func (g *generator) addClientAbort(at float64) {
	latencyTarget := max(g.randomClass().LatencyTargetMS, 200)
	g.add(Event{At: at, Kind: ClientAbort, Share: 0.3, Magnitude: g.uniform(100, min(latencyTarget, 1000)), DurationS: 8})
}

// generateDrain removes endpoints in several ways, while partitions cut off the control machines to which the endpoints
// announce that they drain.
func generateDrain(g *generator) {
	first := g.scaledTime(3, 8)
	g.addEndpointRemoval(first)
	g.addEndpointRemoval(first + g.nearDrainTime())
	g.addEndpointRemoval(g.scaledTime(12, 22))
	g.add(Event{
		At: first + g.uniform(-1, 1), Kind: CorePartition, Count: g.machineCount(), DurationS: g.uniform(3, 14),
		How: g.withOptional(g.oneOf("lure leader", "lure", "near leader", "leader", "turn", "one_way leader"), 0.5, "drain", "meet", "race"),
	})
	if g.chance(0.6) {
		g.add(Event{
			At: g.scaledTime(12, 22), Kind: NodeKill, On: coreMachines, Count: g.machineCount(), DurationS: g.nearDrainTime(),
			How: g.oneOf("leader race drain", "turn drain", "power drain"),
		})
	}
	if g.chance(0.5) {
		g.add(Event{At: g.scaledTime(6, 20), Kind: NodeFreeze, On: coreMachines, Count: g.machineCount(), DurationS: g.nearDrainTime(), How: "leader drain"})
	}
	g.add(Event{At: g.scaledTime(10, 22), Kind: ScaleOut, Share: 0.2, GapS: g.uniform(0.5, 2)})
	g.add(Event{At: g.scaledTime(4, 16), Kind: NodePartition, Share: g.uniform(0.1, 0.3), DurationS: g.uniform(2, 6), How: g.oneOf("", "servers")})
	g.addConfigStorm(g.scaledTime(3, 8), g.uniform(0.5, 1.5), g.scaledTime(8, 18), "", "weights")
	g.setClosingFault(Kind(g.oneOf(string(KillAll), string(PowerOffAll))))
}

// addEndpointRemoval removes endpoints of a random service in a random way: scale-in, release, replacement or crash.
func (g *generator) addEndpointRemoval(at float64) {
	choices := []Event{
		{Kind: ScaleIn, Share: g.uniform(0.1, 0.25)},
		{Kind: ScaleIn, Share: g.uniform(0.08, 0.2), Magnitude: g.uniform(1, 3), How: "spot"},
		{Kind: Release, Share: g.uniform(0.2, 0.5), Magnitude: float64(g.intBetween(1, 2)), GapS: g.uniform(0.5, 1.5)},
		{Kind: ReplaceWithReuse, Share: g.uniform(0.1, 0.25), DurationS: g.uniform(3, 6), How: g.oneOf("drain", "drain", "dark", "")},
		{Kind: ServerCrash, Share: g.uniform(0.1, 0.2), DurationS: g.uniform(3, 6), How: g.oneOf("", "dark", "gone")},
	}
	event := choices[g.rng.IntN(len(choices))]
	event.At = at
	event.Service = g.randomService()
	g.add(event)
}

// generateGreyFailures makes endpoints and machines slow or lets them fail part of their requests.
func generateGreyFailures(g *generator) {
	for range g.intBetween(2, 4) {
		g.addGreyEndpoints(g.scaledTime(3, 22))
	}
	g.add(Event{At: g.scaledTime(5, 18), Kind: NodeSlow, Share: g.uniform(0.1, 0.25), Magnitude: g.uniform(3, 7), DurationS: g.uniform(3, 7)})
	g.add(Event{At: g.scaledTime(4, 18), Kind: ServerSlow, Share: g.uniform(0.1, 0.3), Magnitude: g.uniform(2, 6), DurationS: g.uniform(4, 8)})
	g.add(Event{
		At: g.scaledTime(4, 20), Kind: ServerFalseHealth, Share: g.uniform(0.05, 0.15), DurationS: g.uniform(4, 8),
		How: g.oneOf("errors", "hang", "reset", "bad"),
	})
	g.add(Event{At: g.scaledTime(4, 20), Kind: ServerFlapping, Share: g.uniform(0.05, 0.15), GapS: g.uniform(0.6, 2), DurationS: g.uniform(4, 8)})
	g.add(Event{At: g.scaledTime(4, 20), Kind: IdleRace, Share: 0.5, Magnitude: g.uniform(100, 800), DurationS: g.uniform(4, 10)})
	if g.chance(0.5) {
		g.add(Event{At: g.scaledTime(6, 18), Kind: RetryAbuse, Share: 0.3, Magnitude: float64(g.intBetween(2, 4)), DurationS: g.uniform(4, 8)})
	}
	if g.chance(0.5) {
		g.add(Event{At: g.scaledTime(6, 18), Kind: HotTenant, Count: g.intBetween(1, 3), Magnitude: g.uniform(4, 8), DurationS: g.uniform(5, 11)})
	}
	if g.chance(0.5) {
		g.add(Event{At: g.scaledTime(6, 18), Kind: Burst, Class: g.randomClass().Name, Magnitude: g.uniform(1.5, 2.8), DurationS: g.uniform(3, 6)})
	}
	g.addClientAbort(g.scaledTime(4, 18))
	g.add(Event{At: g.scaledTime(6, 20), Kind: ConfigChange, How: g.oneOf(changeModifiers...)})
	g.setClosingFault(KillAll)
}

// addGreyEndpoints adds endpoints that fail part of their requests, with probability 0.4 only for callers of one zone.
func (g *generator) addGreyEndpoints(at float64) {
	how := g.oneOf("errors", "shed", "busy", "hang", "reset", "mute", "slow")
	event := Event{At: at, Kind: ServerGreyFailure, Share: g.uniform(0.1, 0.3), Magnitude: g.uniform(0.2, 0.7), DurationS: g.uniform(3, 8), How: how}
	if how == "slow" {
		event.Magnitude = g.uniform(4, 9)
	}
	if g.chance(0.4) {
		event.How += " one_zone"
		event.ToZone = g.randomZone()
	}
	g.add(event)
}

// generateRollingStops stops, reloads and kills processes one after the other, and replaces the seeds.
func generateRollingStops(g *generator) {
	g.add(Event{
		At: g.scaledTime(2, 6), Kind: RollingStop, Share: g.uniform(0.3, 1), Magnitude: float64(g.intBetween(1, 2)), GapS: g.uniform(0.8, 2),
		How: "busy",
	})
	g.add(Event{At: g.scaledTime(8, 18), Kind: RollingStop, On: g.oneOf(coreMachines, edgeMachines), Share: 0.3, Magnitude: 1, GapS: g.uniform(1, 2), How: "remove"})
	g.add(Event{At: g.scaledTime(3, 16), Kind: ReloadSignal, Share: g.uniform(0.3, 1), GapS: g.uniform(1, 4)})
	g.add(Event{At: g.scaledTime(6, 20), Kind: NodeKill, Share: g.uniform(0.1, 0.4), DurationS: g.uniform(0.5, 4), How: g.oneOf("", "power")})
	g.add(Event{At: g.scaledTime(4, 14), Kind: SeedReplacement})
	if g.chance(0.6) {
		g.add(Event{At: g.scaledTime(10, 22), Kind: RollingStop, On: coreMachines, Share: 1, Magnitude: 1, GapS: g.site.Timing.CatchUpS * g.uniform(0.5, 1.5)})
	}
	if g.chance(0.4) {
		g.add(Event{At: g.scaledTime(10, 22), Kind: MassKill, Share: g.uniform(0.3, 0.7), DurationS: g.uniform(0.5, 2), How: g.oneOf("", "power")})
	}
	g.addConfigStorm(g.scaledTime(3, 8), g.uniform(0.4, 1.2), g.scaledTime(8, 18), "", "route", "timeout", "idle")
	g.add(Event{At: g.scaledTime(6, 16), Kind: Revoke, Count: 2, GapS: g.uniform(0.5, 1.5)})
	g.setClosingFault(Kind(g.oneOf(string(KillAll), string(PowerOffAll))))
}
