package daydraw

// Machine classes in the bench's words.
const (
	core = "core" // machines whose loss is counted
	edge = "front"
)

// cut partitions counted machines in one of many ways.
func (s *sketch) cut(at, length float64) {
	who := s.pick("leader", "turn", "oldest", "leader all", "near leader", "one_way leader", "leader both", "reader all",
		"lure leader")
	s.add(Entry{
		At: at, Kind: CoreCut, Count: s.machines(), ForS: length,
		How: s.some(who, 0.35, "race", "hard", "meet", "drain", "refuse"),
	})
}

// storm changes the configuration over and over.
func (s *sketch) storm(at, gap, length float64, words ...string) {
	s.add(Entry{At: at, Kind: ConfigStorm, GapS: gap, ForS: length, How: s.pick(words...)})
}

// strikeLeader kills or freezes the machine that acted last.
func (s *sketch) strikeLeader(kind Kind, at, length float64) {
	s.add(Entry{At: at, Kind: kind, On: core, Count: s.machines(), ForS: length, How: "leader race hard"})
}

func drawCut(s *sketch) {
	s.cut(s.at(3, 5), s.at(15, 22))
	s.storm(s.at(4, 8), s.between(0.4, 1.2), s.at(8, 18))
	s.add(Entry{At: s.at(6, 16), Kind: ConfigRace, Count: s.number(2, 5), GapS: s.between(0.3, 1)})
	s.add(Entry{At: s.at(6, 14), Kind: Revoke, Count: 2, GapS: 0.5})
	s.add(Entry{At: s.at(2, 8), Kind: AckLost, X: 0.6, ForS: s.at(8, 20)})
	if s.chance(0.5) {
		s.strikeLeader(NodeFreeze, s.at(10, 22), s.between(1, 6))
	}
	s.close(Kind(s.pick(string(PowerOffAll), string(KillAll), string(WipeAfterAck))))
}

func drawRace(s *sketch) {
	s.add(Entry{At: s.at(2, 4), Kind: ConfigRace, Count: s.number(8, 20), GapS: s.between(0.3, 1)})
	s.storm(s.at(2, 4), s.between(0.3, 1), s.at(10, 24))
	s.add(Entry{
		At: s.at(4, 16), Kind: BadConfig, Count: 4, GapS: 0.6,
		How: s.pick("same_version", "old_version", "stale_match", "shared_key", "cut_short"),
	})
	s.add(Entry{At: s.at(2, 4), Kind: AckLost, X: s.between(0.5, 0.9), ForS: s.at(25, 25)})
	for range s.number(1, 3) {
		kind := Kind(s.pick(string(NodeKill), string(NodeFreeze)))
		s.strikeLeader(kind, s.at(4, 24), s.between(0.8, 4))
	}
	if s.chance(0.5) {
		s.add(Entry{
			At: s.at(5, 18), Kind: AfterAckKill, Count: s.machines(), ForS: s.between(1, 3),
			How: s.pick("kill", "timed", "taken", ""),
		})
	}
	s.close(Kind(s.pick(string(PowerOffAll), string(WipeAfterAck))), "timed", "taken", "oldest")
}

func drawLoss(s *sketch) {
	start := s.at(2, 5)
	s.add(Entry{At: start, Kind: ReplaceCore, X: s.between(0.5, 3), How: s.pick("", "oldest", "planned", "oldest planned")})
	s.add(Entry{
		At: start + s.between(2, 5), Kind: Kind(s.pick(string(AfterAckWipe), string(AfterAckKill))),
		Count: s.machines(), ForS: s.between(1, 3), How: s.pick("timed", "taken", "taken gone"),
	})
	if s.chance(0.6) {
		s.add(Entry{At: s.at(12, 16), Kind: ReplaceCore, X: s.between(0.5, 3), How: s.pick("", "oldest")})
	}
	if s.chance(0.6) {
		s.add(Entry{
			At: s.at(17, 22), Kind: AfterAckWipe, Count: s.machines(), ForS: s.between(1, 3),
			How: s.pick("oldest", "timed"),
		})
	}
	s.lossBeside()
	s.storm(s.at(2, 4), s.between(0.5, 1.5), s.at(22, 22))
	s.close(WipeAfterAck, "timed", "taken", "oldest")
}

// lossBeside adds troubles that take more machines, or their disks, in the midst of repairs.
func (s *sketch) lossBeside() {
	if s.chance(0.5) {
		s.add(Entry{At: s.at(6, 20), Kind: HerdKill, On: core, Share: 1, How: s.pick("power", "taken", "taken all")})
	}
	if s.chance(0.4) {
		s.add(Entry{At: s.at(8, 20), Kind: RollTerm, On: core, Share: 0.3, X: 1, GapS: 1, How: "remove"})
	}
	if s.chance(0.4) {
		s.add(Entry{At: s.at(6, 20), Kind: DiskFull, Count: s.machines(), ForS: s.between(3, 8)})
	}
	if s.chance(0.4) {
		s.add(Entry{At: s.at(6, 20), Kind: DiskStall, Count: s.machines(), ForS: s.between(2, 6)})
	}
}

func drawLong(s *sketch) {
	s.storm(s.at(1.5, 1.5), s.between(0.06, 0.14), s.at(26, 26), "", "idle", "weights")
	for range s.number(2, 4) {
		kind := Kind(s.pick(string(NodeKill), string(NodeFreeze), string(CoreCut)))
		entry := Entry{
			At: s.at(6, 26), Kind: kind, Count: s.machines(), ForS: s.between(1, 7),
			How: s.pick("leader", "", "turn", "turn meet", "leader race"),
		}
		if kind != CoreCut {
			entry.On = core
		}
		s.add(entry)
	}
	if s.chance(0.5) {
		s.add(Entry{At: s.at(8, 20), Kind: ReplaceCore, X: s.between(0.5, 2), How: s.pick("", "oldest", "planned")})
	}
	s.add(Entry{At: s.at(14, 24), Kind: AfterAckWipe, Count: s.machines(), ForS: 2, How: s.pick("", "oldest")})
	if s.chance(0.5) {
		s.add(Entry{At: s.at(4, 14), Kind: SeedTurnover})
	}
	s.close(Kind(s.pick(string(PowerOffAll), string(WipeAfterAck))), "timed", "oldest")
}

// drawTwice draws one trouble and lets it come again as the first has just been mended.
func drawTwice(s *sketch) {
	first := s.repeatable()
	first.At = s.at(3, 6)
	s.add(first)
	again := first
	again.At = first.At + max(first.ForS, first.X) + s.afterCatchUp()
	s.add(again)
	s.storm(s.at(2, 4), s.between(0.4, 1.2), s.at(20, 24))
	s.add(Entry{At: s.at(3, 8), Kind: ConfigRace, Count: s.number(2, 6), GapS: s.between(0.5, 2)})
	s.add(Entry{At: s.at(2, 6), Kind: AckLost, X: s.between(0.4, 0.8), ForS: s.at(12, 22)})
	s.close(Kind(s.pick(string(PowerOffAll), string(WipeAfterAck))), "timed", "oldest")
}

// repeatable draws a trouble of the control side that makes sense a second time.
func (s *sketch) repeatable() Entry {
	count, length := s.machines(), s.between(1, 5)
	choices := []Entry{
		{Kind: CoreCut, Count: count, ForS: length, How: s.pick("leader race", "leader meet", "turn", "near leader", "lure leader")},
		{Kind: ReplaceCore, X: s.between(0.5, 2), How: s.pick("", "oldest", "planned")},
		{Kind: AfterAckWipe, Count: count, ForS: s.between(1, 3), How: s.pick("oldest", "timed", "taken")},
		{Kind: AfterAckKill, Count: count, ForS: s.between(1, 3), How: s.pick("", "kill", "timed", "taken")},
		{Kind: NodeFreeze, On: core, Count: count, ForS: length, How: s.pick("leader race hard", "leader meet", "turn")},
		{Kind: NodeKill, On: core, Count: count, ForS: length, How: s.pick("power leader", "leader race drain", "power")},
		{Kind: HerdKill, On: core, Share: 1, ForS: s.between(0.5, 2), How: s.pick("", "power", "taken", "taken all")},
		{Kind: DiskFull, Count: count, ForS: length},
	}
	return choices[s.random.IntN(len(choices))]
}

// drawCutMore cuts twice in different ways, with the others restarted or frozen in varying order.
func drawCutMore(s *sketch) {
	first := s.at(3, 6)
	length := s.between(4, 10)
	s.cutWays(first, length)
	s.cutWays(first+length+s.between(0.2, 2)+s.site.Timing.CatchUpS*s.between(0, 1), s.between(3, 9))
	s.restartOthers(first + s.between(0, length))
	if s.chance(0.6) {
		s.strikeLeader(NodeFreeze, first+length+s.between(0, 6), s.aroundConfig())
	}
	if s.chance(0.4) {
		s.add(Entry{At: s.at(8, 20), Kind: SeedTurnover})
	}
	if s.chance(0.5) {
		s.add(Entry{
			At: s.at(6, 18), Kind: NodeCut, Share: s.between(0.1, 0.3), ForS: s.between(2, 6),
			How: s.pick("", "all", "servers", "reset"),
		})
	}
	s.storm(s.at(2, 5), s.between(0.3, 1.2), s.at(16, 24), "", "route", "idle", "timeout")
	s.add(Entry{At: s.at(5, 14), Kind: Revoke, Count: s.number(1, 3), GapS: s.between(0.5, 2)})
	s.add(Entry{At: s.at(2, 6), Kind: AckLost, X: s.between(0.4, 0.8), ForS: s.at(10, 20)})
	s.close(Kind(s.pick(string(KillAll), string(PowerOffAll), string(WipeAfterAck))))
}

// cutWays draws a cut with any of the ways and victims that there are.
func (s *sketch) cutWays(at, length float64) {
	way := s.pick("near", "all", "lure", "both", "one_way", "seeds", "")
	who := s.pick("leader", "turn", "reader", "oldest", "seed")
	how := s.some(way+" "+who, 0.3, "race", "meet", "hard", "drain")
	if loud := s.pick("", "", "reset", "refuse"); loud != "" {
		how += " " + loud
	}
	s.add(Entry{At: at, Kind: CoreCut, Count: s.machines(), ForS: length, How: how})
}

// restartOthers restarts control machines or routers beside a cut.
func (s *sketch) restartOthers(at float64) {
	gap := s.between(0.3, 2)
	choices := []Entry{
		{Kind: RollTerm, On: core, Share: 1, X: 1, GapS: gap},
		{Kind: RollTerm, On: edge, Share: s.between(0.3, 1), X: float64(s.number(1, 3)), GapS: gap},
		{Kind: NodeKill, On: core, Count: s.machines(), ForS: gap, How: s.pick("turn", "seed", "reader")},
		{Kind: NodeKill, On: edge, Share: s.between(0.2, 0.5), ForS: gap},
		{Kind: Hup, Share: 1, GapS: gap},
	}
	entry := choices[s.random.IntN(len(choices))]
	entry.At = at
	s.add(entry)
}

// drawDisk troubles disks, and ends with a loss of power.
func drawDisk(s *sketch) {
	for range s.number(2, 4) {
		kind := Kind(s.pick(string(DiskFull), string(DiskStall), string(DiskSlow)))
		entry := Entry{At: s.at(3, 22), Kind: kind, Count: s.machines(), ForS: s.between(2, 9), How: s.pick("", "leader", "turn")}
		if kind == DiskSlow {
			entry.X = s.between(10, 60)
		}
		s.add(entry)
	}
	s.add(Entry{
		At: s.at(8, 20), Kind: Kind(s.pick(string(AfterAckKill), string(AfterAckWipe))), Count: s.machines(),
		ForS: s.between(1, 3), How: s.pick("", "timed", "taken"),
	})
	if s.chance(0.4) {
		s.add(Entry{At: s.at(6, 20), Kind: HerdKill, On: core, Share: 1, How: "power"})
	}
	s.storm(s.at(1.5, 3), s.between(0.1, 0.8), s.at(20, 26))
	s.add(Entry{At: s.at(3, 10), Kind: ConfigRace, Count: s.number(2, 8), GapS: s.between(0.4, 1.5)})
	s.close(Kind(s.pick(string(PowerOffAll), string(WipeAfterAck))), "", "timed", "oldest")
}

// drawClock lets the time of day jump beside stops and cuts.
func drawClock(s *sketch) {
	for range s.number(2, 3) {
		s.add(Entry{
			At: s.at(2, 20), Kind: ClockStep, Share: s.between(0.2, 1), X: s.between(500, 8000),
			ForS: s.between(3, 10), How: s.pick("back", "ahead", "leader"),
		})
	}
	s.strikeLeader(NodeFreeze, s.at(5, 18), s.aroundConfig())
	if s.chance(0.5) {
		s.cut(s.at(6, 16), s.between(3, 8))
	}
	s.storm(s.at(2, 5), s.between(0.3, 1.2), s.at(16, 24))
	s.add(Entry{At: s.at(4, 14), Kind: ConfigRace, Count: s.number(2, 6), GapS: s.between(0.4, 1.5)})
	s.add(Entry{At: s.at(6, 16), Kind: Revoke, Count: 2, GapS: 0.5})
	s.close(Kind(s.pick(string(PowerOffAll), string(KillAll), string(WipeAfterAck))))
}
