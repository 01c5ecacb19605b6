about: "Answers from some channels can't be read while others hang"
load: [0.6, 0.8]
troubles: [
	{mode: "broken", channels: 3, at_s: [8, 10], for_s: [16, 20]},
	{mode: "hang", channels: 3, kind: "agent", at_s: [8, 10], for_s: [10, 16]},
]
