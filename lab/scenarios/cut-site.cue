about: "One site is cut off from all others, and from discovery, for some seconds"
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
faults: links: [{between: "site:? <-> others", at_s: [7, 8], for_s: [4, 6], cut: true}]
