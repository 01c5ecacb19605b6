about: "A third of the channels turn all calls away for a while, and come back cold"
load: [0.6, 0.8]
troubles: [{mode: "shut", channels: 4, at_s: [8, 14], for_s: [10, 18]}]
