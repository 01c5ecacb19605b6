package protocol

// How a tenant's limit is shared while a router has no grant that is still good. The control plane's allocator
// counts on these parts; routers must not spend more.
const (
	// QuotaFloorShare is the part of the rate that all routers without a grant may spend together, each an even
	// part of it.
	UngrantedRateShare = 0.5
	// QuotaDebtShare is the part of the tolerance (quota_over of what a window allows, and quota_slack) by which
	// the buckets of all routers together may go below nothing, each an even part of it.
	OverdraftShare = 0.5
)
