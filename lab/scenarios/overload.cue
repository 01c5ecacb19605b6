about: "More than the channels can take, for the whole day"
load: [1.15, 1.25]
