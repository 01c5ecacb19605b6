package dispatch

import "time"

// What this router remembers of the parts that it sent to a holder: a part counts as kept only if every
// part before it is. The memory is bounded by the endpoint's own, the parts left unused longest go first.

const (
	prefixTTL      = 2 * time.Minute // after which a part counts as given way
	maxCachedParts = 1024            // of one holder
	hashSeed       = 0x9e3779b97f4a7c15
	hashMultiplier = 0xff51afd7ed558ccd
)

// mixHash stirs a hash.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= hashMultiplier
	h ^= h >> 33
	h *= hashMultiplier
	h ^= h >> 33
	return h
}

// stringHash is the same in every process: routers agree by it.
func stringHash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return mixHash(h)
}

// prefixChain lists the hashes of the request's shared parts, each with all before it and the adapter.
func (r *request) prefixChain() []uint64 {
	if r.prefixHashes == nil && len(r.PromptParts) > 0 {
		r.prefixHashes = make([]uint64, len(r.PromptParts))
		h := stringHash(r.Adapter) ^ hashSeed
		for i, part := range r.PromptParts {
			h = mixHash(h ^ part.Hash)
			r.prefixHashes[i] = h
		}
	}
	return r.prefixHashes
}

// prefixCache is the memory of one holder: a doubly linked list in a slice, newest first.
type prefixCache struct {
	index  map[uint64]int32
	nodes  []prefixNode
	newest int32
	oldest int32
	free   []int32
	tokens int
}

type prefixNode struct {
	key          uint64
	tokens       int32
	newer, older int32
	usedAt       time.Duration
}

const noNode = -1

// kept is how many tokens of the request's prompt the holder needs not read again.
func (p *prefixCache) cachedTokens(links []uint64, parts []PromptPart, now time.Duration) int {
	sum := 0
	for i, link := range links {
		at, ok := p.index[link]
		if !ok || now-p.nodes[at].usedAt > prefixTTL {
			return sum
		}
		sum += parts[i].Tokens
	}
	return sum
}

// add notes that the holder reads these parts now. The last come first in giving way.
func (p *prefixCache) add(links []uint64, parts []PromptPart, now time.Duration, most int) {
	for i := len(links) - 1; i >= 0; i-- {
		p.touch(links[i], parts[i].Tokens, now)
	}
	for (p.tokens > most || len(p.index) > maxCachedParts) && len(p.index) > 0 {
		p.drop(p.oldest)
	}
}

func (p *prefixCache) touch(key uint64, tokens int, now time.Duration) {
	if p.index == nil {
		p.index = map[uint64]int32{}
		p.newest, p.oldest = noNode, noNode
	}
	at, ok := p.index[key]
	if ok {
		p.unlink(at)
	} else {
		at = p.alloc()
		p.index[key] = at
		p.tokens += tokens
		p.nodes[at] = prefixNode{key: key, tokens: int32(tokens)}
	}
	p.nodes[at].usedAt = now
	p.link(at)
}

func (p *prefixCache) alloc() int32 {
	if n := len(p.free); n > 0 {
		at := p.free[n-1]
		p.free = p.free[:n-1]
		return at
	}
	p.nodes = append(p.nodes, prefixNode{})
	return int32(len(p.nodes) - 1)
}

func (p *prefixCache) link(at int32) {
	p.nodes[at].newer, p.nodes[at].older = noNode, p.newest
	if p.newest != noNode {
		p.nodes[p.newest].newer = at
	}
	p.newest = at
	if p.oldest == noNode {
		p.oldest = at
	}
}

func (p *prefixCache) unlink(at int32) {
	node := p.nodes[at]
	if node.newer != noNode {
		p.nodes[node.newer].older = node.older
	} else {
		p.newest = node.older
	}
	if node.older != noNode {
		p.nodes[node.older].newer = node.newer
	} else {
		p.oldest = node.newer
	}
}

func (p *prefixCache) drop(at int32) {
	p.unlink(at)
	delete(p.index, p.nodes[at].key)
	p.tokens -= int(p.nodes[at].tokens)
	p.free = append(p.free, at)
}
