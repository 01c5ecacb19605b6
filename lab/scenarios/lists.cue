about: "Endpoints drain while discovery is late, and drop away while it is out"
load: [0.6, 0.8]
list_late_s: [0.2, 2]
list_out: [{at_s: [20, 22], for_s: [10, 14]}]
troubles: [
	{mode: "drain", channels: 4, at_s: [8, 10], for_s: [8, 10]},
	{mode: "drain", channels: 3, at_s: [24, 26], for_s: [12, 16]},
]
restarts: [{how: "kill", couriers: 1, at_s: [24, 28]}]
