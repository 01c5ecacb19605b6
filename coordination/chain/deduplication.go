package chain

// Invariant: a command that is among the newest maxRecentCommands applied ones is not applied again, neither when a
// Forward is retried nor after a snapshot. All members make the same decision, because the list is part of the
// replicated state.

// maxRecentCommands is how many applied commands are remembered.
const maxRecentCommands = 1024

// recentCommands remembers the newest applied commands.
type recentCommands struct {
	order []CommandID // oldest first
	ids   map[CommandID]struct{}
}

func newRecentCommands(order []CommandID) recentCommands {
	r := recentCommands{order: append([]CommandID(nil), order...), ids: make(map[CommandID]struct{}, len(order))}
	for _, id := range order {
		r.ids[id] = struct{}{}
	}
	return r
}

func (r *recentCommands) has(id CommandID) bool {
	_, found := r.ids[id]
	return found
}

func (r *recentCommands) add(id CommandID) {
	r.order = append(r.order, id)
	r.ids[id] = struct{}{}
	if len(r.order) > maxRecentCommands {
		delete(r.ids, r.order[0])
		r.order = r.order[1:]
	}
}
