about: "Channels of four endpoints each, some of which hang, on couriers with few slots"
couriers: 2
load: [0.7, 0.9]
slots_room: [1.2, 1.6]
channels: {
	principal: {count: 3, endpoints: 4, headroom: [1.4, 2.9], limit: [1.4, 2.9], apart: true, bulk: 10, tells_wait: 0.8, wait_ms: [340, 960]}
	deputy: {count: 5, endpoints: 4, headroom: [1.2, 2.2], tells_wait: 0.3}
	agent: {count: 5, endpoints: 4, headroom: [1.2, 2.1], limit: [1.2, 2.1], tells_wait: 0.4, wait_ms: [230, 940], connections: 24}
}
troubles: [
	{mode: "hang", channels: 2, kind: "deputy", at_s: [8, 10], for_s: [10, 16]},
	{mode: "hang", channels: 1, kind: "agent", at_s: [8, 12], for_s: [10, 16]},
	{mode: "broken", channels: 1, kind: "principal", at_s: [10, 12], for_s: [10, 16]},
]
