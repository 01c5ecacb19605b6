package history

import (
	"cmp"
	"slices"
	"time"
)

// rights: at no moment is more of a right in use than there is. A killed life's rights count until their end,
// since nobody may have them before.
func rights(h *History, b Bounds) (f Findings) {
	type use struct {
		life
		id string
	}
	groups := group(h, func(r *Record) string { return r.Subject }, InUse)
	for _, subject := range ordered(groups) {
		type edge struct {
			at, n int64
			r     *Record
		}
		var edges []edge
		whole, now := int64(0), map[use]*Record{}
		until := map[*Record]int64{}
		for _, r := range groups[subject] {
			whole = max(whole, r.Total)
			k := use{life{r.Courier, r.Epoch}, r.ID}
			if was := now[k]; was != nil {
				until[was] = min(was.Until, max(r.From, was.From))
			}
			now[k], until[r] = r, r.Until
		}
		if w, known := b.Wholes[subject]; known {
			whole = w
		}
		for _, r := range groups[subject] {
			if r.From < until[r] {
				edges = append(edges, edge{r.From, r.N, r}, edge{until[r], -r.N, r})
			}
		}
		// At one moment ends come first: a span does not hold its end.
		slices.SortStableFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.n, b.n)) })
		sum, in := int64(0), map[*Record]bool{}
		over := false
		for _, e := range edges {
			if sum += e.n; e.n < 0 {
				delete(in, e.r)
			} else {
				in[e.r] = true
			}
			if sum > whole && !over {
				var rs []Record
				for r := range in {
					rs = append(rs, *r)
				}
				slices.SortFunc(rs, func(a, b Record) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Courier, b.Courier)) })
				f.add("rights", rs, "%d of %s are in use at %.6f, and there are %d", sum, subject, float64(e.at)/1e9, whole)
			}
			over = sum > whole // one violation for each stretch
		}
	}
	return f
}

// stale: no decision rests on a fact past its hard bound, on one that is older than it says, on one that the
// life never took, or on one of a life that the courier knew, or had to know, to be dead.
func stale(h *History, b Bounds) (f Findings) {
	type learning struct {
		what, origin string
		epoch        uint64
		at           int64 // when its origin learned it
		exact        bool  // by the origin's own word, not by an age that another stated
	}
	type taking struct {
		life
		id string
	}
	type known struct { // by a life, of another courier
		life
		of string
	}
	facts, taken := map[string]learning{}, map[taking]*Record{}
	newest := map[known]uint64{}
	begun := map[string][]*Record{} // lives of each courier
	for i := range h.Records {
		r := &h.Records[i]
		switch r.Kind {
		case Begun:
			begun[r.Courier] = append(begun[r.Courier], r)
		case FactTaken:
			l := learning{r.What, r.Peer, r.PeerEpoch, r.At - r.Age, r.Courier == r.Peer && r.Epoch == r.PeerEpoch}
			if was, ok := facts[r.ID]; !ok || l.exact && !was.exact || l.exact == was.exact && l.at < was.at {
				facts[r.ID] = l
			}
		}
	}
	for i := range h.Records {
		r := &h.Records[i]
		me := life{r.Courier, r.Epoch}
		if r.Kind == FactTaken {
			k := known{me, r.Peer}
			newest[k] = max(newest[k], r.PeerEpoch)
			if _, again := taken[taking{me, r.ID}]; !again {
				taken[taking{me, r.ID}] = r
			}
		}
		if r.Kind != Decided {
			continue
		}
		for _, rest := range r.Evidence {
			if rest.MaxAge > 0 && rest.Age > rest.MaxAge {
				f.add("stale", []Record{*r}, "%s decided on %s, %v old, past its hard bound, %v", r.Courier, rest.ID,
					time.Duration(rest.Age), time.Duration(rest.MaxAge))
				continue
			}
			from := taken[taking{me, rest.ID}]
			if from == nil {
				if s := h.lives[me]; s.gaps {
					f.Unproven++
				} else {
					f.add("stale", []Record{*r}, "%s decided on %s, which this life never took", r.Courier, rest.ID)
				}
				continue
			}
			fact := facts[rest.ID]
			if older := r.At - fact.at; rest.Age < older-int64(b.Slack) {
				f.add("stale", []Record{*from, *r}, "%s decided on %s as %v old, and it is %v", r.Courier, rest.ID, time.Duration(rest.Age), time.Duration(older))
				continue
			}
			if slices.Contains(b.Outlive, fact.what) {
				continue
			}
			dead := newest[known{me, fact.origin}] > fact.epoch || fact.origin == r.Courier && fact.epoch < r.Epoch
			for _, l := range begun[fact.origin] {
				dead = dead || b.DeadAfter > 0 && l.Epoch > fact.epoch && l.At < r.At-int64(b.DeadAfter)
			}
			if dead {
				f.add("stale", []Record{*from, *r}, "%s decided on %s of %s's epoch %d, which is dead", r.Courier, rest.ID, fact.origin, fact.epoch)
			}
		}
	}
	return f
}

// allowance: what all couriers charge to an agreed record in a window is at most what it allows a site.
func allowance(h *History, b Bounds) (f Findings) {
	type key struct {
		id, site string
		window   uint64
	}
	groups := group(h, func(r *Record) key { return key{r.ID, r.Subject, r.Window} }, Charged)
	var over []key
	sums := map[key][2]int64{}
	for k, rs := range groups {
		sum, whole := int64(0), int64(0)
		for _, r := range rs {
			sum, whole = sum+r.N, max(whole, r.Total)
		}
		if w, known := b.Allowances[k.id]; known {
			whole = w
		}
		if sum > whole {
			over, sums[k] = append(over, k), [2]int64{sum, whole}
		}
	}
	slices.SortFunc(over, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.site, b.site), cmp.Compare(a.window, b.window))
	})
	for _, k := range over {
		f.add("allowance", quote(groups[k]), "record %s, site %s, window %d: %d were charged, and %d allowed", k.id, k.site, k.window,
			sums[k][0], sums[k][1])
	}
	return f
}

// waits: a life that has heard a wait of an endpoint writes it no call until it is over, but for calls that
// were on their way.
func waits(h *History, b Bounds) (f Findings) {
	type to struct {
		life
		endpoint string
	}
	heard := map[to][]*Record{}
	for i := range h.Records {
		r := &h.Records[i]
		k := to{life{r.Courier, r.Epoch}, r.Subject}
		switch r.Kind {
		case WaitHeard:
			if r.Until <= r.At {
				delete(heard, k)
				continue
			}
			heard[k] = append(slices.DeleteFunc(heard[k], func(w *Record) bool { return w.Until <= r.At }), r)
		case CallWritten:
			for _, w := range heard[k] {
				if r.At > w.At+int64(b.Air) && r.At < w.Until {
					f.add("waits", []Record{*w, *r}, "%s wrote a call to %s %v before the wait was over that it had heard %v earlier", r.Courier, r.Subject,
						time.Duration(w.Until-r.At), time.Duration(r.At-w.At))
					break
				}
			}
		}
	}
	return f
}

// epochs: each life of a courier has a larger epoch than all before it.
func epochs(h *History, _ Bounds) (f Findings) {
	last := map[string]*Record{}
	for i := range h.Records {
		r := &h.Records[i]
		if r.Kind != Begun {
			continue
		}
		if was := last[r.Courier]; was != nil && r.Epoch <= was.Epoch {
			f.add("epochs", []Record{*was, *r}, "%s began epoch %d after %d", r.Courier, r.Epoch, was.Epoch)
		}
		if was := last[r.Courier]; was == nil || r.Epoch > was.Epoch {
			last[r.Courier] = r
		}
	}
	return f
}
