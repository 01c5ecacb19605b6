about: "Every courier is restarted, one after the other"
load: [0.6, 0.8]
restarts: [{how: "rolling", couriers: 3, at_s: [8, 14]}]
