package subscription

import "time"

const mostClaims = 16

// knowledge is what is in force, and of which age that is.
type knowledge struct {
	generation  int64
	whole       bool // a whole table of endpoints was taken
	confirmed   bool // the newest configuration at some moment of this life, none maybe, was taken
	ready       bool
	confirmedAt time.Time
	claims      []claim // of configurations that are not in force yet, oldest first
}

// claim states that all versions that were acknowledged anywhere before a moment are at or below a generation.
type claim struct {
	generation int64
	moment     time.Time
}

// claim takes in a statement. It counts once the generation is in force.
func (k *knowledge) claim(c claim) {
	if c.generation <= k.generation {
		k.prove(c.moment)
		return
	}
	for i := range k.claims {
		if k.claims[i].generation == c.generation {
			if c.moment.After(k.claims[i].moment) {
				k.claims[i].moment = c.moment
			}
			return
		}
	}
	if len(k.claims) == mostClaims {
		k.claims = k.claims[1:]
	}
	k.claims = append(k.claims, c)
}

func (k *knowledge) prove(moment time.Time) {
	if moment.After(k.confirmedAt) {
		k.confirmedAt = moment
	}
}

// inForce notes a configuration, and what was stated of it and of earlier ones.
func (k *knowledge) inForce(generation int64) {
	k.generation = generation
	var open []claim
	for _, c := range k.claims {
		if c.generation <= generation {
			k.prove(c.moment)
		} else {
			open = append(open, c)
		}
	}
	k.claims = open
}

// becomesReady says whether this process is ready from now on.
func (k *knowledge) becomesReady() bool {
	if k.ready || !k.whole || !k.confirmed || k.generation == 0 {
		return false
	}
	k.ready = true
	return true
}
