package node

import "time"

const (
	servesOn     = 2300 * time.Millisecond // after SIGTERM: the platform's probe, once a second, has failed twice
	servesOnPart = 4                       // of the time until all is refused, all but one part in so many at most
	takesAll     = 2800 * time.Millisecond // after SIGTERM: less than 3 s, from which on whatever is taken must end in time
	takesAllPart = 8                       // of the time until all is refused, all but one part in so many at most
	killMargin   = 400 * time.Millisecond  // before SIGKILL the process ends
	cutMargin    = 200 * time.Millisecond  // before the end, for the last answers
	refuseMargin = 900 * time.Millisecond  // before the cut; a connection that is being made is up or not by then
	closePart    = 40                      // per cent of the time from the drain to the cut, that clients are let in
	marginPart   = 8                       // of the time until SIGKILL, a margin takes one part in so many at most
)

// course is what happens when after SIGTERM.
type course struct {
	drain  time.Duration // resting connections are closed, nothing is held for long
	choose time.Duration // only what will end before the cut is taken on
	close  time.Duration // no more clients are let in; earlier where none is left
	refuse time.Duration // nothing is taken on any more
	cut    time.Duration // calls are ended; whoever has seen nothing of an answer is told so
	end    time.Duration // of the process
}

// ending is the course of a process that is killed after grace.
func ending(grace, servesOn time.Duration) course {
	part := grace / marginPart
	c := course{end: grace - min(killMargin, part)}
	c.cut = c.end - min(cutMargin, part)
	c.refuse = c.cut - min(refuseMargin, part)
	c.drain = min(servesOn, c.refuse*(servesOnPart-1)/servesOnPart)
	c.choose = min(takesAll, c.refuse*(takesAllPart-1)/takesAllPart)
	c.close = c.drain + (c.cut-c.drain)*closePart/100
	return c
}
