about: "Couriers are killed while the busiest channels answer with errors"
load: [0.6, 0.8]
troubles: [{mode: "errors", channels: 2, busiest: true, at_s: [10, 14], for_s: [8, 14]}]
restarts: [{how: "kill", couriers: 2, at_s: [14, 20]}]
