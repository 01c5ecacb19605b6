about: "Overload at channels that report what is left of their limits"
load: [1.0, 1.2]
channels: {
	principal: {count: 4, headroom: [1.4, 2.9], limit: [0.7, 1.2], apart: true, bulk: 10, tells_wait: 0.3, wait_ms: [340, 960], reports: true}
	agent: {count: 8, headroom: [1.2, 2.2], limit: [0.7, 1.2], connections: 24, reports: true}
}
