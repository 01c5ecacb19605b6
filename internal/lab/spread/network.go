package spread

import (
	"slices"
	"time"

	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/fleet/members"
)

// apart says whether the cut parts the two now.
func (f *fleet) apart(a, b int) bool {
	if f.now < f.CutAt || f.now >= f.CutAt+f.CutFor {
		return false
	}
	if f.Coordinator {
		return a == 0 || b == 0
	}
	return (a < f.Members/2) != (b < f.Members/2)
}

func (f *fleet) lost() bool { return f.chance.Float64() < f.Loss }

func (f *fleet) delay() time.Duration {
	return leastWay + time.Duration(f.chance.Int64N(int64(mostWay-leastWay)))
}

func (m *member) send(now time.Duration, bytes int) {
	second := int(now / time.Second)
	for len(m.sent) <= second {
		m.sent = append(m.sent, 0)
	}
	m.sent[second] += bytes
}

// datagram carries what arrives at most twice.
func (f *fleet) datagram(from, to *member, bytes int, arrive func(way time.Duration)) {
	from.send(f.now, bytes)
	copies := 1
	if f.chance.Float64() < doubled {
		copies = 2
	}
	for range copies {
		if way := f.delay(); !f.lost() && !f.apart(from.i, to.i) {
			f.at(f.now+way, func() { arrive(way) })
		}
	}
}

// stream gives how long so many bytes are under way in order; false if the cut or losses keep them.
func (f *fleet) stream(from, to *member, bytes int) (time.Duration, bool) {
	from.send(f.now, bytes)
	way, waits := f.delay(), time.Duration(0)
	for range 1 + bytes/segment {
		for again := resend; f.lost(); again *= 2 {
			if waits += again; waits > f.figures.StreamTimeout {
				return 0, false
			}
		}
	}
	return way + waits, !f.apart(from.i, to.i)
}

// gossip is memberlist's round, with a packet filled as members' delegate fills it.
func (f *fleet) gossip(m *member) {
	const compound, part = 2, 2 // memberlist's own, around the messages of a packet and each of them
	head := members.HeaderSize(m.name)
	for _, to := range f.others(m, f.figures.FanOut) {
		now := m.wall(f.now)
		room := m.budget.PacketAllowance(now, f.figures.MaxDatagram-compound)
		around := part + head
		if room <= around+f.figures.UpdateOverhead+batchHead {
			return
		}
		batch := m.store.Updates(m.clock(f.now), room-around-f.figures.UpdateOverhead-batchHead)
		if len(batch) == 0 {
			return
		}
		c, size := f.loaded(m, batch), f.size(batch)
		m.budget.ChargePacket(now, min(around+f.figures.UpdateOverhead+size, room))
		f.datagram(m, to, size+f.figures.UpdateOverhead+head+f.figures.PacketOverhead, func(way time.Duration) { f.arrive(to, c, way) })
	}
}

func (f *fleet) size(batch []facts.Fact) int {
	b, err := f.codec.Encode(batch)
	if err != nil {
		panic(err) // checked facts of a bounded count
	}
	return len(b)
}

// others are so many members drawn without the one.
func (f *fleet) others(m *member, most int) []*member {
	var out []*member
	for n := min(most, f.Members-1); len(out) < n; {
		if o := f.members[f.chance.IntN(f.Members)]; o != m && !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}

// exchange is one of everything with another: the list, and the whole tables where they are due.
func (f *fleet) exchange(m *member) {
	to := f.others(m, 1)[0]
	there, back := f.delay(), f.delay() // connecting
	c, bytes := f.whole(m)
	way, ok := f.stream(m, to, bytes)
	if !ok {
		return
	}
	f.at(f.now+there+back+way, func() {
		answer, bytes := f.whole(to)
		f.arrive(to, c, there+back+way)
		if back, ok := f.stream(to, m, bytes); ok && way+back <= f.figures.StreamTimeout {
			f.at(f.now+back, func() { f.arrive(m, answer, back) })
		}
	})
}

func (f *fleet) whole(m *member) (cargo, int) {
	listed, now := f.Members*f.figures.MemberBytes, m.wall(f.now)
	if !m.budget.FullStateAllowed(now) {
		return cargo{}, listed
	}
	c := f.loaded(m, m.store.FullState(m.clock(f.now)))
	size := f.size(c.facts)
	m.budget.ChargeFullState(now, size)
	return c, listed + size + members.HeaderSize(m.name)
}

func (f *fleet) reach(r *record, m *member) bool {
	if r.got[m.i] {
		return false
	}
	r.got[m.i] = true
	if r.reached++; r.reached == f.Members-1 {
		r.full = f.now - r.born
	}
	if f.members[r.origin].last[r.fact.Key()] == r {
		f.missing--
	}
	if r.fact.Kind == facts.Wait && f.now < r.born+r.fact.For {
		f.timely++
	}
	return true
}

// queueFor has the coordinator, or all others once it is there, be told of what a member knows now.
func (f *fleet) queueFor(m *member, r *record) {
	add := func(to int) {
		kept := slices.DeleteFunc(m.out[to], func(o *record) bool { return o.origin == r.origin && o.fact.Key() == r.fact.Key() })
		m.out[to] = append(kept, r)
	}
	if m.i != 0 {
		add(0)
		return
	}
	for to := 1; to < f.Members; to++ {
		if to != r.origin {
			add(to)
		}
	}
}

// report is a round of a fleet with a coordinator: what is not acknowledged is told, again if need be.
func (f *fleet) report(m *member) {
	for to := range f.Members {
		m.out[to] = slices.DeleteFunc(m.out[to], func(r *record) bool { return f.now > r.born+f.TTL })
		for left := m.out[to]; len(left) > 0; {
			var batch []facts.Fact
			var told []*record
			var c cargo
			room := f.figures.MaxDatagram - f.figures.PacketOverhead - members.HeaderSize(m.name) - f.figures.UpdateOverhead - batchHead
			for len(left) > 0 && room >= left[0].fact.MaxEncodedSize() {
				x := left[0].fact
				x.Age = f.now - left[0].born - left[0].way[m.i]
				room -= x.MaxEncodedSize()
				batch, told, c.ways = append(batch, x), append(told, left[0]), append(c.ways, left[0].way[m.i])
				left = left[1:]
			}
			c.facts = batch
			f.datagram(m, f.members[to], f.size(batch)+f.figures.UpdateOverhead+members.HeaderSize(m.name)+f.figures.PacketOverhead, func(way time.Duration) {
				f.acknowledge(m, f.members[to], told, c, way)
			})
		}
	}
}

func (f *fleet) acknowledge(m, to *member, told []*record, c cargo, way time.Duration) {
	if to.i == 0 {
		for _, r := range told {
			if !r.got[0] {
				f.queueFor(to, r)
			}
		}
	}
	f.arrive(to, c, way)
	const bytes = 16 // which packet
	f.datagram(to, m, bytes+f.figures.PacketOverhead, func(time.Duration) {
		m.out[to.i] = slices.DeleteFunc(m.out[to.i], func(r *record) bool { return slices.Contains(told, r) })
	})
}
