package systemsim

import (
	"math/bits"
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// isBound says whether the rules with time bounds hold for a router: it and the instances have been without faults for
// livenessBound, and the instances are stable.
func (w *World) isBound(r *router) bool {
	since := max(r.faultAt, r.pathSince, w.network.degradedAt, w.newestInstanceFault())
	return since != never && w.Now()-since >= livenessBound && w.model.majoritySince != never
}

// newestInstanceFault returns when a fault of an instance or of a link between instances last began or ended.
func (w *World) newestInstanceFault() time.Duration {
	at := w.network.instanceLinksAt
	for _, i := range w.instances {
		at = max(at, i.faultAt)
	}
	return at
}

// observeConnectivity derives who reaches whom, and since when.
func (w *World) observeConnectivity() {
	now := w.Now()
	for _, i := range w.instances {
		i.reachesMajority = w.reachesMajority(i)
		r := w.reachabilityOf(i)
		i.isolatedSince = since(i.isolatedSince, now, i.running && !r.majority)
		i.partitionedSince = since(i.partitionedSince, now, i.running && !r.majority && !r.chain)
		i.hearsNobodySince = since(i.hearsNobodySince, now, i.running && !r.anybody)
	}
	w.model.majoritySince = since(w.model.majoritySince, now, w.stable())
	for _, r := range w.routers {
		r.pathSince = since(r.pathSince, now, w.reachesAll(r))
	}
}

// since keeps the time from which on a condition is true; never: it is not.
func since(former, now time.Duration, condition bool) time.Duration {
	switch {
	case !condition:
		return never
	case former == never:
		return now
	}
	return former
}

func (i *instance) up() bool { return i.running && !i.frozen }

// reachesMajority says whether the instance has paths to more than half of all instances.
func (w *World) reachesMajority(i *instance) bool {
	reached := 0
	for _, other := range w.instances {
		if i.up() && other.up() && w.network.path(&i.process, &other.process) {
			reached++
		}
	}
	return 2*reached > len(w.instances)
}

// reachesAll says whether a router has paths to all instances that reach a majority.
func (w *World) reachesAll(r *router) bool {
	if !r.running || r.frozen {
		return false
	}
	return !slices.ContainsFunc(w.instances, func(i *instance) bool {
		return i.reachesMajority && !w.network.path(&r.process, &i.process)
	})
}

// reachability says which part of the group messages of an instance reach and come back from, over any others. A frozen
// process counts: it answers once it thaws.
type reachability struct {
	majority bool // of the voters
	chain    bool // all members, also those that may start again: they commit alone, whatever the other voters do
	anybody  bool // messages of another instance arrive
}

func (w *World) reachabilityOf(i *instance) reachability {
	there := w.reachableFrom(i, func(a, b *instance) bool { return b.running && w.network.passes(&a.process, &b.process) })
	back := w.reachableFrom(i, func(a, b *instance) bool { return b.running && w.network.passes(&b.process, &a.process) })
	both := func(other *instance) bool { return there[other] && back[other] }
	linkedThere := w.reachableFrom(i, func(a, b *instance) bool { return w.network.unblocked(&a.process, &b.process) })
	linkedBack := w.reachableFrom(i, func(a, b *instance) bool { return w.network.unblocked(&b.process, &a.process) })
	linked := func(other *instance) bool { return linkedThere[other] && linkedBack[other] }
	newest := w.newestView()
	return reachability{
		majority: w.isMajority(newest.Voters, both),
		chain:    w.countMembers(newest.Chain, linked) == len(newest.Chain),
		anybody:  len(back) > 1 || len(newest.Voters) < 2,
	}
}

// newestView returns the view of the highest epoch that any instance has published.
func (w *World) newestView() view.View {
	newest := w.instances[0]
	for _, i := range w.instances {
		if i.status.View.Epoch > newest.status.View.Epoch {
			newest = i
		}
	}
	return newest.status.View
}

// countMembers counts the members for whose instances a condition is true. One that lost its disk is no member any more.
func (w *World) countMembers(members []view.Member, condition func(i *instance) bool) int {
	count := 0
	for _, member := range members {
		if i := w.instanceAt(member.Address); i != nil && i.status.Self.Identity == member.Identity && condition(i) {
			count++
		}
	}
	return count
}

func (w *World) isMajority(voters []view.Member, condition func(i *instance) bool) bool {
	return len(voters) == 0 || 2*w.countMembers(voters, condition) > len(voters)
}

// stable says whether more than half of the instances run and are all connected with each other, a majority of the voters
// among them: it takes a while until a lost disk is replaced.
func (w *World) stable() bool {
	for set := range 1 << len(w.instances) {
		if 2*bits.OnesCount(uint(set)) > len(w.instances) && w.connected(set) {
			in := func(i *instance) bool { return set&(1<<slices.Index(w.instances, i)) != 0 }
			if w.isMajority(w.newestView().Voters, in) {
				return true
			}
		}
	}
	return false
}

// connected says whether all instances of a set, one bit for each, run and have paths to each other.
func (w *World) connected(set int) bool {
	for n, a := range w.instances {
		for m, b := range w.instances {
			both := set&(1<<n) != 0 && set&(1<<m) != 0
			if both && (!a.up() || !b.up() || !w.network.path(&a.process, &b.process)) {
				return false
			}
		}
	}
	return true
}

// reachableFrom returns which instances are reached from one, over others.
func (w *World) reachableFrom(from *instance, passes func(a, b *instance) bool) map[*instance]bool {
	reached := map[*instance]bool{from: true}
	list := []*instance{from}
	for len(list) > 0 {
		at := list[0]
		list = list[1:]
		for _, other := range w.instances {
			if !reached[other] && passes(at, other) {
				reached[other] = true
				list = append(list, other)
			}
		}
	}
	return reached
}
