package dispatch

import (
	"time"
)

// Prefix cache: the parts of prompts that this router expects an endpoint to have cached, because it sent them there
// recently. A part counts as cached only if every part before it does. The size is limited by the endpoint's KV
// cache; the least recently used parts are evicted.

const (
	prefixTTL      = 2 * time.Minute // after which a part counts as evicted
	maxCachedParts = 1024            // per residency
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

// stringHash returns the mixed FNV-1a hash of s. It must be the same in every process, since the routers' agreement
// depends on it.
func stringHash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return mixHash(h)
}

// prefixChain returns a hash for each part of the request's prompt, which covers the adapter, the part and all parts
// before it.
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

// prefixCache holds the parts expected in the cache of one residency: a doubly linked list in a slice, from the most
// to the least recently used, with an index by hash.
type prefixCache struct {
	index  map[uint64]int32
	nodes  []prefixNode
	newest int32
	oldest int32
	free   []int32
	tokens int
}

// prefixNode is an entry of a prefixCache; newer and older are indexes into nodes, or noNode.
type prefixNode struct {
	key          uint64
	tokens       int32
	newer, older int32
	usedAt       time.Duration
}

// noNode is the index at the ends of the list.
const noNode = -1

// cachedTokens returns how many leading tokens of a prompt with these parts need no prefill.
func (p *prefixCache) cachedTokens(hashes []uint64, parts []PromptPart, now time.Duration) int {
	sum := 0
	for i, hash := range hashes {
		node, ok := p.index[hash]
		if !ok || now-p.nodes[node].usedAt > prefixTTL {
			return sum
		}
		sum += parts[i].Tokens
	}
	return sum
}

// add records that the endpoint reads these parts now. The last part becomes the oldest of them, so that it is
// evicted first.
func (p *prefixCache) add(hashes []uint64, parts []PromptPart, now time.Duration, maxTokens int) {
	for i := len(hashes) - 1; i >= 0; i-- {
		p.touch(hashes[i], parts[i].Tokens, now)
	}
	for (p.tokens > maxTokens || len(p.index) > maxCachedParts) && len(p.index) > 0 {
		p.evict(p.oldest)
	}
}

// touch makes a part the most recently used one, and adds it if needed.
func (p *prefixCache) touch(key uint64, tokens int, now time.Duration) {
	if p.index == nil {
		p.index = map[uint64]int32{}
		p.newest, p.oldest = noNode, noNode
	}
	node, ok := p.index[key]
	if ok {
		p.unlink(node)
	} else {
		node = p.alloc()
		p.index[key] = node
		p.tokens += tokens
		p.nodes[node] = prefixNode{key: key, tokens: int32(tokens)}
	}
	p.nodes[node].usedAt = now
	p.link(node)
}

// alloc returns the index of a free node.
func (p *prefixCache) alloc() int32 {
	if n := len(p.free); n > 0 {
		node := p.free[n-1]
		p.free = p.free[:n-1]
		return node
	}
	p.nodes = append(p.nodes, prefixNode{})
	return int32(len(p.nodes) - 1)
}

// link inserts a node as the most recently used one.
func (p *prefixCache) link(node int32) {
	p.nodes[node].newer, p.nodes[node].older = noNode, p.newest
	if p.newest != noNode {
		p.nodes[p.newest].newer = node
	}
	p.newest = node
	if p.oldest == noNode {
		p.oldest = node
	}
}

// unlink removes a node from the list.
func (p *prefixCache) unlink(index int32) {
	entry := p.nodes[index]
	if entry.newer != noNode {
		p.nodes[entry.newer].older = entry.older
	} else {
		p.newest = entry.older
	}
	if entry.older != noNode {
		p.nodes[entry.older].newer = entry.newer
	} else {
		p.oldest = entry.newer
	}
}

// evict removes a part from the cache.
func (p *prefixCache) evict(node int32) {
	p.unlink(node)
	delete(p.index, p.nodes[node].key)
	p.tokens -= int(p.nodes[node].tokens)
	p.free = append(p.free, node)
}

// expire evicts parts that were not used for prefixTTL, and releases the memory of an empty cache.
func (p *prefixCache) expire(now time.Duration) {
	for len(p.index) > 0 && now-p.nodes[p.oldest].usedAt > prefixTTL {
		p.evict(p.oldest)
	}
	if len(p.index) == 0 {
		*p = prefixCache{}
	}
}
