about: "Two channels get four to six times their messages for a while"
load: [0.5, 0.7]
hot: [{channels: 2, times: [4, 6], at_s: [10, 14], for_s: [15, 20]}]
