package dispatch

import (
	"time"
)

// Prefix cache of endpoints as this router expects it: which parts of prompts it sent to an endpoint lately. A part counts as cached only
// if every part before it is. The memory is bounded by the endpoint's KV cache, eviction is least recently used.

const (
	prefixTTL      = 2 * time.Minute // after which a part counts as evicted
	maxCachedParts = 1024            // of one residency
	hashSeed       = 0x9e3779b97f4a7c15
	hashMultiplier = 0xff51afd7ed558ccd
)

// mixHash is the finalizer of MurmurHash3, with its first multiplier used twice.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= hashMultiplier
	h ^= h >> 33
	h *= hashMultiplier
	h ^= h >> 33
	return h
}

// stringHash is FNV-1a, mixed. It is the same in every process: routers agree by it.
func stringHash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return mixHash(h)
}

// prefixChain returns the hashes of the request's parts, each combined with all parts before it and with the adapter.
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

// prefixCache holds the parts expected in one endpoint's cache: a doubly linked list in a slice, most recently used first.
type prefixCache struct {
	index  map[uint64]int32
	nodes  []prefixNode
	newest int32
	oldest int32
	free   []int32
	tokens int
}

// prefixNode is an entry of a prefixCache; newer and older are indexes of nodes, or noNode.
type prefixNode struct {
	key          uint64
	tokens       int32
	newer, older int32
	usedAt       time.Duration
}

// noNode is the index of no node.
const noNode = -1

// cachedTokens returns how many leading tokens of a prompt with these parts need no prefill.
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

// add notes that the endpoint reads these parts now. The last parts are evicted first.
func (p *prefixCache) add(links []uint64, parts []PromptPart, now time.Duration, maxTokens int) {
	for i := len(links) - 1; i >= 0; i-- {
		p.touch(links[i], parts[i].Tokens, now)
	}
	for (p.tokens > maxTokens || len(p.index) > maxCachedParts) && len(p.index) > 0 {
		p.drop(p.oldest)
	}
}

// touch makes a part the most recently used one.
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

// alloc returns the index of a free node.
func (p *prefixCache) alloc() int32 {
	if n := len(p.free); n > 0 {
		at := p.free[n-1]
		p.free = p.free[:n-1]
		return at
	}
	p.nodes = append(p.nodes, prefixNode{})
	return int32(len(p.nodes) - 1)
}

// link inserts a node as the most recently used one.
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

// unlink takes a node out of the list.
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

// drop evicts a part.
func (p *prefixCache) drop(at int32) {
	p.unlink(at)
	delete(p.index, p.nodes[at].key)
	p.tokens -= int(p.nodes[at].tokens)
	p.free = append(p.free, at)
}

// expire evicts what was not used for prefixTTL, and releases the memory of an empty cache.
func (p *prefixCache) expire(now time.Duration) {
	for len(p.index) > 0 && now-p.nodes[p.oldest].usedAt > prefixTTL {
		p.drop(p.oldest)
	}
	if len(p.index) == 0 {
		*p = prefixCache{}
	}
}
