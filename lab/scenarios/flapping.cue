about: "The links between couriers, and those of one courier to everybody, come and go"
couriers: 8
traffic_s: 24
settle_s: 12
load: [0.6, 0.7]
fleet: true
classes: {
	news: {allowed: "any", aim_s: 1, deadline_s: 5, worth: 1, late: 0.2, share: 0.5, service_ms: [60, 120]}
	booking: {allowed: "floor", window_s: 8, aim_s: 1, deadline_s: 5, worth: 2, late: 0.2, share: 0.3, service_ms: [60, 120]}
	charge: {allowed: "once", aim_s: 1.5, deadline_s: 5, worth: 4, late: 0.2, share: 0.2, service_ms: [60, 120]}
}
channels: plain: {count: 6, headroom: [1.4, 2.2]}
faults: links: [
	{between: "courier <-> courier", at_s: [5, 6], for_s: [0.4, 0.8], up_s: [0.6, 1], times: 6, cut: true},
	{between: "name:? <-> *", at_s: [6, 7], for_s: [0.3, 0.7], up_s: [0.8, 1.2], times: 5, cut: true, refuse: true},
]
