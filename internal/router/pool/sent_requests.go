package pool

import (
	"hash/maphash"
	"slices"
)

// maxSentRequests is how many requests a connection remembers. A surplus answer comes in the place of the next one, and
// a connection on which that is seen is closed, so that older requests matter little.
const maxSentRequests = 16

var requestHashSeed = maphash.MakeSeed()

// sentRequests is the requests that were sent last on a connection, by the hashes of their ids: ids are chosen by clients
// and may be long. Two ids with one hash cost a connection, nothing more.
type sentRequests struct {
	hashes []uint64
	oldest int // index of the hash that the next one replaces, once there are maxSentRequests
}

func (s *sentRequests) add(requestID string) {
	hash := maphash.String(requestHashSeed, requestID)
	if len(s.hashes) < maxSentRequests {
		s.hashes = append(s.hashes, hash)
		return
	}
	s.hashes[s.oldest] = hash
	s.oldest = (s.oldest + 1) % maxSentRequests
}

func (s *sentRequests) contains(requestID string) bool {
	return slices.Contains(s.hashes, maphash.String(requestHashSeed, requestID))
}
