package dispatch

import (
	"cmp"
	"slices"
	"testing"
)

// TestLargeRequestsAreServed checks that, in a burst far beyond the capacity, the largest tenth of a kind's requests
// is served at least 0.6 times as often as all requests of the kind.
func TestLargeRequestsAreServed(t *testing.T) {
	for seed := range uint64(1) {
		w := runOverload(t, 40+seed, 12)
		for _, k := range w.kinds[:2] {
			var all []*simulatedClient
			for _, list := range w.clients {
				for _, c := range list {
					if c.kind == k && !c.retried {
						all = append(all, c)
					}
				}
			}
			slices.SortFunc(all, func(a, b *simulatedClient) int { return cmp.Compare(a.size(), b.size()) })
			allServed, tenth := servedFraction(all), servedFraction(all[len(all)*9/10:])
			t.Logf("%s: %.3f of %d served, of the largest tenth %.3f", k.name, allServed, len(all), tenth)
			if tenth < 0.6*allServed {
				t.Errorf("%s: the largest tenth is served %.3f, want at least 0.6 of all's %.3f", k.name, tenth, allServed)
			}
		}
	}
}

// size returns a measure of the request's work.
func (c *simulatedClient) size() int { return c.request.PromptTokens + 10*c.request.OutputTokens }

func servedFraction(list []*simulatedClient) float64 {
	n := 0
	for _, c := range list {
		if c.served {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}
