package dissemination

import (
	"slices"
	"time"

	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/fleet/members"
)

// partitioned reports whether the partition separates the two members at the current time.
func (f *fleet) partitioned(a, b int) bool {
	if f.now < f.PartitionStart || f.now >= f.PartitionStart+f.PartitionDuration {
		return false
	}
	if f.Coordinator {
		return a == 0 || b == 0
	}
	return (a < f.Members/2) != (b < f.Members/2)
}

func (f *fleet) packetLost() bool { return f.networkRNG.Float64() < f.PacketLoss }

func (f *fleet) randomDelay() time.Duration {
	return minDelay + time.Duration(f.networkRNG.Int64N(int64(maxDelay-minDelay)))
}

// countSent adds the bytes to those that the member sent in the second of the given time.
func (m *member) countSent(now time.Duration, bytes int) {
	second := int(now / time.Second)
	for len(m.sentBytes) <= second {
		m.sentBytes = append(m.sentBytes, 0)
	}
	m.sentBytes[second] += bytes
}

// sendDatagram counts the bytes as sent and schedules receive for each copy that arrives: none, one or two.
func (f *fleet) sendDatagram(from, to *member, bytes int, receive func(transit time.Duration)) {
	from.countSent(f.now, bytes)
	copies := 1
	if f.networkRNG.Float64() < duplicateProbability {
		copies = 2
	}
	for range copies {
		if transit := f.randomDelay(); !f.packetLost() && !f.partitioned(from.index, to.index) {
			f.schedule(f.now+transit, func() { receive(transit) })
		}
	}
}

// streamDelay counts the bytes as sent and returns how long a stream needs to transfer them. It returns false if a
// partition or too many losses prevent the transfer.
func (f *fleet) streamDelay(from, to *member, bytes int) (time.Duration, bool) {
	from.countSent(f.now, bytes)
	transit, retransmitDelay := f.randomDelay(), time.Duration(0)
	for range 1 + bytes/segmentBytes {
		for timeout := retransmitTimeout; f.packetLost(); timeout *= 2 {
			if retransmitDelay += timeout; retransmitDelay > f.traffic.StreamTimeout {
				return 0, false
			}
		}
	}
	return transit + retransmitDelay, !f.partitioned(from.index, to.index)
}

// gossipRound does what memberlist does in a round of gossip, with each packet filled as the delegate of package members
// fills it.
func (f *fleet) gossipRound(m *member) {
	const packetHeader, messageHeader = 2, 2 // bytes that memberlist adds to a packet and to each of its messages
	nameHeader := members.HeaderSize(m.name)
	for _, peer := range f.randomPeers(m, f.traffic.FanOut) {
		now := m.wallClock(f.now)
		allowance := m.budget.PacketAllowance(now, f.traffic.MaxDatagram-packetHeader)
		overhead := messageHeader + nameHeader
		if allowance <= overhead+f.traffic.UpdateOverhead+batchHeaderBytes {
			return
		}
		batch := m.store.Updates(m.localTime(f.now), allowance-overhead-f.traffic.UpdateOverhead-batchHeaderBytes)
		if len(batch) == 0 {
			return
		}
		sent, size := f.prepareDelivery(m, batch), f.encodedSize(batch)
		m.budget.ChargePacket(now, min(overhead+f.traffic.UpdateOverhead+size, allowance))
		f.sendDatagram(m, peer, size+f.traffic.UpdateOverhead+nameHeader+f.traffic.PacketOverhead, func(transit time.Duration) { f.receive(peer, sent, transit) })
	}
}

// encodedSize returns the number of bytes of the encoded batch.
func (f *fleet) encodedSize(batch []facts.Fact) int {
	encoded, err := f.codec.Encode(batch)
	if err != nil {
		panic(err) // the facts are valid and their number is bounded
	}
	return len(encoded)
}

// randomPeers returns count distinct random members other than m, or all of them if there are fewer.
func (f *fleet) randomPeers(m *member, count int) []*member {
	var peers []*member
	for n := min(count, f.Members-1); len(peers) < n; {
		if peer := f.members[f.networkRNG.IntN(f.Members)]; peer != m && !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// exchangeState exchanges the list of members with a random peer, in both directions, and the full state of the stores
// where the budgets allow it.
func (f *fleet) exchangeState(m *member) {
	peer := f.randomPeers(m, 1)[0]
	connectRequest, connectResponse := f.randomDelay(), f.randomDelay() // round trip of the connection setup
	request, requestBytes := f.fullState(m)
	requestTransit, ok := f.streamDelay(m, peer, requestBytes)
	if !ok {
		return
	}
	f.schedule(f.now+connectRequest+connectResponse+requestTransit, func() {
		response, responseBytes := f.fullState(peer)
		f.receive(peer, request, connectRequest+connectResponse+requestTransit)
		if responseTransit, ok := f.streamDelay(peer, m, responseBytes); ok && requestTransit+responseTransit <= f.traffic.StreamTimeout {
			f.schedule(f.now+responseTransit, func() { f.receive(m, response, responseTransit) })
		}
	})
}

// fullState returns the full state that a member sends in an exchange and the number of bytes of the message. Without
// budget for the full state, the member sends the list of members only.
func (f *fleet) fullState(m *member) (delivery, int) {
	memberListBytes, now := f.Members*f.traffic.MemberBytes, m.wallClock(f.now)
	if !m.budget.FullStateAllowed(now) {
		return delivery{}, memberListBytes
	}
	state := f.prepareDelivery(m, m.store.FullState(m.localTime(f.now)))
	size := f.encodedSize(state.facts)
	m.budget.ChargeFullState(now, size)
	return state, memberListBytes + size + members.HeaderSize(m.name)
}

// recordReceipt records that a fact, or a later one of the same origin and key, reached the member. It returns false if the
// fact had reached the member before.
func (f *fleet) recordReceipt(r *factRecord, m *member) bool {
	if r.received[m.index] {
		return false
	}
	r.received[m.index] = true
	if r.reachedMembers++; r.reachedMembers == f.Members-1 {
		r.deliveryTime = f.now - r.created
	}
	if f.members[r.origin].latest[r.fact.Key()] == r {
		f.missingPairs--
	}
	if r.fact.Kind == facts.Wait && f.now < r.created+r.fact.For {
		f.timelyWaits++
	}
	return true
}

// enqueue queues a fact for sending: from a member to the coordinator, or from the coordinator to all members except the
// origin. It replaces a queued fact of the same origin and key.
func (f *fleet) enqueue(m *member, r *factRecord) {
	add := func(to int) {
		others := slices.DeleteFunc(m.unacknowledged[to], func(other *factRecord) bool { return other.origin == r.origin && other.fact.Key() == r.fact.Key() })
		m.unacknowledged[to] = append(others, r)
	}
	if m.index != 0 {
		add(0)
		return
	}
	for to := 1; to < f.Members; to++ {
		if to != r.origin {
			add(to)
		}
	}
}

// coordinatorRound is a member's round in a fleet with a coordinator. It sends every fact that is not yet acknowledged,
// also if it was sent before, and drops expired ones.
func (f *fleet) coordinatorRound(m *member) {
	for to := range f.Members {
		m.unacknowledged[to] = slices.DeleteFunc(m.unacknowledged[to], func(r *factRecord) bool { return f.now > r.created+f.TTL })
		for pending := m.unacknowledged[to]; len(pending) > 0; {
			var batch []facts.Fact
			var records []*factRecord
			var sent delivery
			remaining := f.traffic.MaxDatagram - f.traffic.PacketOverhead - members.HeaderSize(m.name) - f.traffic.UpdateOverhead - batchHeaderBytes
			for len(pending) > 0 && remaining >= pending[0].fact.MaxEncodedSize() {
				fact := pending[0].fact
				fact.Age = f.now - pending[0].created - pending[0].minTransit[m.index]
				remaining -= fact.MaxEncodedSize()
				batch, records, sent.transits = append(batch, fact), append(records, pending[0]), append(sent.transits, pending[0].minTransit[m.index])
				pending = pending[1:]
			}
			sent.facts = batch
			f.sendDatagram(m, f.members[to], f.encodedSize(batch)+f.traffic.UpdateOverhead+members.HeaderSize(m.name)+f.traffic.PacketOverhead, func(transit time.Duration) {
				f.deliverAcknowledged(m, f.members[to], records, sent, transit)
			})
		}
	}
}

// deliverAcknowledged delivers a datagram of coordinatorRound and sends the acknowledgement, which removes the records from
// the sender's queue. The coordinator queues facts that are new to it for all other members.
func (f *fleet) deliverAcknowledged(m, to *member, records []*factRecord, sent delivery, transit time.Duration) {
	if to.index == 0 {
		for _, r := range records {
			if !r.received[0] {
				f.enqueue(to, r)
			}
		}
	}
	f.receive(to, sent, transit)
	const packetIDBytes = 16 // an acknowledgement identifies the packet
	f.sendDatagram(to, m, packetIDBytes+f.traffic.PacketOverhead, func(time.Duration) {
		m.unacknowledged[to.index] = slices.DeleteFunc(m.unacknowledged[to.index], func(r *factRecord) bool { return slices.Contains(records, r) })
	})
}
