about: "A quiet day: nothing goes wrong"
load: [0.36, 0.6]
holds: service: 0.8
