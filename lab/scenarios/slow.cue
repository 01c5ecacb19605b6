about: "Two of the busiest channels answer ten times slower for a while"
load: [0.6, 0.8]
troubles: [{mode: "slow", channels: 2, busiest: true, at_s: [8, 14], for_s: [8, 20]}]
