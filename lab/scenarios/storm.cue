about: "Spoilt answers, errors and shut channels while couriers are killed again and again"
load: [0.6, 0.9]
troubles: [
	{mode: "broken", channels: 4, at_s: [8, 10], for_s: [12, 20]},
	{mode: "errors", channels: 3, at_s: [12, 16], for_s: [10, 16]},
	{mode: "shut", channels: 2, at_s: [10, 16], for_s: [10, 16]},
]
restarts: [
	{how: "kill", couriers: 3, at_s: [12, 18]}, {how: "kill", couriers: 3, at_s: [22, 30]}, {how: "kill", couriers: 2, at_s: [31, 38]},
]
