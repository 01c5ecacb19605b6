package daydraw

func drawAnswers(s *sketch) {
	s.add(Entry{
		At: s.at(2, 6), Kind: Garble, Share: 0.8, X: s.between(0.03, 0.2), ForS: s.at(10, 20),
		How: s.pick("", "extra", "unframed", "early", "extra unframed"),
	})
	s.add(Entry{At: s.at(2, 10), Kind: AnswerLost, Share: 0.7, X: s.between(0.03, 0.2), ForS: s.at(8, 16)})
	s.add(Entry{At: s.at(4, 18), Kind: ResetConns, Share: 0.5, X: 0.7})
	s.add(Entry{
		At: s.at(8, 22), Kind: SrvGrey, Share: 0.3, X: 0.5, ForS: s.between(3, 8),
		How: s.pick("reset", "mute", "hang", "shed", "busy", "errors"),
	})
	s.add(Entry{At: s.at(8, 20), Kind: SrvCut, Share: 0.25, ForS: s.between(3, 7), How: s.pick("", "fronts", "one_way", "reset")})
	s.leaveEarly(s.at(4, 18))
	if s.chance(0.6) {
		s.add(Entry{At: s.at(8, 20), Kind: RetryAbuse, Share: 0.3, X: 3, ForS: 6})
	}
	if s.chance(0.6) {
		s.add(Entry{At: s.at(8, 20), Kind: ReplaceWithReuse, Share: 0.2, ForS: 5, How: s.pick("", "drain", "dark")})
	}
	s.add(Entry{At: s.at(6, 20), Kind: IdleRace, Share: 0.5, X: s.between(100, 800), ForS: s.between(4, 10)})
	s.add(Entry{At: s.at(3, 14), Kind: RollTerm, Share: 0.4, X: 1, GapS: 1, How: "busy"})
	s.add(Entry{At: s.at(3, 14), Kind: Hup, Share: 0.5, GapS: 3})
	s.close(KillAll)
}

// leaveEarly lets clients give up within the objective of one kind of request.
func (s *sketch) leaveEarly(at float64) {
	most := max(s.class().AimMS, 200)
	s.add(Entry{At: at, Kind: GiveUp, Share: 0.3, X: s.between(100, min(most, 1000)), ForS: 8})
}

// drawDrain lets endpoints leave in several ways, beside cuts of control that strike while they announce it.
func drawDrain(s *sketch) {
	first := s.at(3, 8)
	s.leave(first)
	s.leave(first + s.aroundDrain())
	s.leave(s.at(12, 22))
	s.add(Entry{
		At: first + s.between(-1, 1), Kind: CoreCut, Count: s.machines(), ForS: s.between(3, 14),
		How: s.some(s.pick("lure leader", "lure", "near leader", "leader", "turn", "one_way leader"), 0.5, "drain", "meet", "race"),
	})
	if s.chance(0.6) {
		s.add(Entry{
			At: s.at(12, 22), Kind: NodeKill, On: core, Count: s.machines(), ForS: s.aroundDrain(),
			How: s.pick("leader race drain", "turn drain", "power drain"),
		})
	}
	if s.chance(0.5) {
		s.add(Entry{At: s.at(6, 20), Kind: NodeFreeze, On: core, Count: s.machines(), ForS: s.aroundDrain(), How: "leader drain"})
	}
	s.add(Entry{At: s.at(10, 22), Kind: ScaleOut, Share: 0.2, GapS: s.between(0.5, 2)})
	s.add(Entry{At: s.at(4, 16), Kind: NodeCut, Share: s.between(0.1, 0.3), ForS: s.between(2, 6), How: s.pick("", "servers")})
	s.storm(s.at(3, 8), s.between(0.5, 1.5), s.at(8, 18), "", "weights")
	s.close(Kind(s.pick(string(KillAll), string(PowerOffAll))))
}

// leave draws one way in which endpoints go.
func (s *sketch) leave(at float64) {
	choices := []Entry{
		{Kind: ScaleIn, Share: s.between(0.1, 0.25)},
		{Kind: ScaleIn, Share: s.between(0.08, 0.2), X: s.between(1, 3), How: "spot"},
		{Kind: Release, Share: s.between(0.2, 0.5), X: float64(s.number(1, 2)), GapS: s.between(0.5, 1.5)},
		{Kind: ReplaceWithReuse, Share: s.between(0.1, 0.25), ForS: s.between(3, 6), How: s.pick("drain", "drain", "dark", "")},
		{Kind: SrvCrash, Share: s.between(0.1, 0.2), ForS: s.between(3, 6), How: s.pick("", "dark", "gone")},
	}
	entry := choices[s.random.IntN(len(choices))]
	entry.At = at
	entry.Service = s.service()
	s.add(entry)
}

// drawGrey makes endpoints and machines half ill.
func drawGrey(s *sketch) {
	for range s.number(2, 4) {
		s.greyEndpoints(s.at(3, 22))
	}
	s.add(Entry{At: s.at(5, 18), Kind: NodeSlow, Share: s.between(0.1, 0.25), X: s.between(3, 7), ForS: s.between(3, 7)})
	s.add(Entry{At: s.at(4, 18), Kind: SrvSlow, Share: s.between(0.1, 0.3), X: s.between(2, 6), ForS: s.between(4, 8)})
	s.add(Entry{
		At: s.at(4, 20), Kind: SrvLyingHealth, Share: s.between(0.05, 0.15), ForS: s.between(4, 8),
		How: s.pick("errors", "hang", "reset", "bad"),
	})
	s.add(Entry{At: s.at(4, 20), Kind: SrvFlap, Share: s.between(0.05, 0.15), GapS: s.between(0.6, 2), ForS: s.between(4, 8)})
	s.add(Entry{At: s.at(4, 20), Kind: IdleRace, Share: 0.5, X: s.between(100, 800), ForS: s.between(4, 10)})
	if s.chance(0.5) {
		s.add(Entry{At: s.at(6, 18), Kind: RetryAbuse, Share: 0.3, X: float64(s.number(2, 4)), ForS: s.between(4, 8)})
	}
	if s.chance(0.5) {
		s.add(Entry{At: s.at(6, 18), Kind: HotTenant, Count: s.number(1, 3), X: s.between(4, 8), ForS: s.between(5, 11)})
	}
	if s.chance(0.5) {
		s.add(Entry{At: s.at(6, 18), Kind: Burst, Class: s.class().Name, X: s.between(1.5, 2.8), ForS: s.between(3, 6)})
	}
	s.leaveEarly(s.at(4, 18))
	s.add(Entry{At: s.at(6, 20), Kind: ConfigChange, How: s.pick(changeWords...)})
	s.close(KillAll)
}

// greyEndpoints lets endpoints fail part of their requests, now and then for the callers of one zone only.
func (s *sketch) greyEndpoints(at float64) {
	how := s.pick("errors", "shed", "busy", "hang", "reset", "mute", "slow")
	entry := Entry{At: at, Kind: SrvGrey, Share: s.between(0.1, 0.3), X: s.between(0.2, 0.7), ForS: s.between(3, 8), How: how}
	if how == "slow" {
		entry.X = s.between(4, 9)
	}
	if s.chance(0.4) {
		entry.How += " one_zone"
		entry.ToZone = s.zone()
	}
	s.add(entry)
}

// drawRolls stops, reloads and kills processes in turn, and names other seeds.
func drawRolls(s *sketch) {
	s.add(Entry{
		At: s.at(2, 6), Kind: RollTerm, Share: s.between(0.3, 1), X: float64(s.number(1, 2)), GapS: s.between(0.8, 2),
		How: "busy",
	})
	s.add(Entry{At: s.at(8, 18), Kind: RollTerm, On: s.pick(core, edge), Share: 0.3, X: 1, GapS: s.between(1, 2), How: "remove"})
	s.add(Entry{At: s.at(3, 16), Kind: Hup, Share: s.between(0.3, 1), GapS: s.between(1, 4)})
	s.add(Entry{At: s.at(6, 20), Kind: NodeKill, Share: s.between(0.1, 0.4), ForS: s.between(0.5, 4), How: s.pick("", "power")})
	s.add(Entry{At: s.at(4, 14), Kind: SeedTurnover})
	if s.chance(0.6) {
		s.add(Entry{At: s.at(10, 22), Kind: RollTerm, On: core, Share: 1, X: 1, GapS: s.site.Timing.CatchUpS * s.between(0.5, 1.5)})
	}
	if s.chance(0.4) {
		s.add(Entry{At: s.at(10, 22), Kind: HerdKill, Share: s.between(0.3, 0.7), ForS: s.between(0.5, 2), How: s.pick("", "power")})
	}
	s.storm(s.at(3, 8), s.between(0.4, 1.2), s.at(8, 18), "", "route", "timeout", "idle")
	s.add(Entry{At: s.at(6, 16), Kind: Revoke, Count: 2, GapS: s.between(0.5, 1.5)})
	s.close(Kind(s.pick(string(KillAll), string(PowerOffAll))))
}
