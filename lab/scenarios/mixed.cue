about: "Most channels of two kinds hang while spoilt answers come from the third, and slots are scarce"
load: [0.7, 0.9]
slots_room: [1.2, 1.5]
troubles: [
	{mode: "hang", channels: 4, kind: "deputy", at_s: [8, 10], for_s: [14, 20]},
	{mode: "hang", channels: 3, kind: "agent", at_s: [9, 12], for_s: [12, 18]},
	{mode: "broken", channels: 1, kind: "principal", at_s: [10, 12], for_s: [10, 16]},
	{mode: "slow", channels: 1, kind: "principal", at_s: [12, 16], for_s: [10, 16]},
]
