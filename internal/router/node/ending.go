package node

import "time"

const (
	servesOn     = 2300 * time.Millisecond // after SIGTERM: the platform's probe, once a second, has failed twice
	servesOnPart = 4                       // of the time until the last answers, all but one part in so many at most
	endMargin    = 600 * time.Millisecond  // before SIGKILL
	answerMargin = 600 * time.Millisecond  // before the end; a connection that is being made holds up its answer
	marginPart   = 6                       // of the time until SIGKILL, each margin takes one part in so many at most
)

// course is what happens when after SIGTERM.
type course struct {
	drain  time.Duration // no more clients are let in, nothing is held, resting connections are closed
	answer time.Duration // whatever has had no first byte is answered
	end    time.Duration // the process ends with what is still open
}

// ending is the course of a process that is killed after grace.
func ending(grace, servesOn time.Duration) course {
	part := grace / marginPart
	end := grace - min(endMargin, part)
	answer := end - min(answerMargin, part)
	return course{drain: min(servesOn, answer*(servesOnPart-1)/servesOnPart), answer: answer, end: end}
}
