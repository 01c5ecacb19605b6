package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// inheritance is headroom of a previous owner's record. If that owner does not know that it has lost its shares, it may issue
// the headroom until recordValidity after it made the record, which was before a peer received it. Until then the new owner
// counts it as issued now, not at the takeover: else it would leave the issuance interval before what was issued of it last.
type inheritance struct {
	tenant string
	amount float64
	cell   int64 // in which the amount is counted
	until  time.Time
}

// inherit has an amount carried until the given time that is counted in the tenant's newest cell.
func (h *Holder) inherit(now time.Time, tenant string, amount float64, until time.Time) {
	if amount <= 0 || !now.Before(until) {
		return
	}
	cell := h.tenant(now, tenant).issued.newest
	h.inheritances = append(h.inheritances, &inheritance{tenant: tenant, amount: amount, cell: cell, until: until})
}

// carryInheritances moves inherited headroom to the newest cells. What can't be issued any more stays where it is counted.
func (h *Holder) carryInheritances(now time.Time) {
	for _, i := range h.inheritances {
		issued := &h.tenant(now, i.tenant).issued
		issued.remove(i.cell, i.amount)
		issued.add(i.amount)
		i.cell = issued.newest
	}
	h.inheritances = slices.DeleteFunc(h.inheritances, func(i *inheritance) bool { return !now.Before(i.until) })
}

// recordedInheritance returns the inherited headroom for a record, sorted by tenant.
func (h *Holder) recordedInheritance() []RecordedAmount {
	var recorded []RecordedAmount
	for _, i := range h.inheritances {
		recorded = append(recorded, RecordedAmount{Name: i.tenant, Amount: uint64(math.Ceil(i.amount))})
	}
	slices.SortFunc(recorded, func(a, b RecordedAmount) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Amount, b.Amount))
	})
	return recorded
}

// recentDemand returns what was issued to a tenant in the last second, without what a previous owner may have issued.
func (h *Holder) recentDemand(t *tenant) float64 {
	recent := t.issued.sumOfNewest(headroomCells)
	for _, i := range h.inheritances {
		if i.tenant == t.name {
			recent -= i.amount
		}
	}
	return math.Max(0, recent)
}
