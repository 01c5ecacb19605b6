package systemsim

import "time"

// call sends a request of a client to a process and gives the answer to done, or nil: the process does not run, the timeout
// is over, or a fault blocked the way there or back.
func (n *network) call(from, to *process, timeout time.Duration, ask func(answer func(any)), done func(any)) {
	w := n.world
	finished := false
	finishWith := func(result any) {
		if !finished {
			finished = true
			done(result)
		}
	}
	w.After(timeout, func() { finishWith(nil) })
	w.After(n.delay(from, to), func() {
		n.whenPassing(from, to, func() {
			if !to.running {
				w.After(n.delay(to, from), func() { finishWith(nil) })
				return
			}
			to.do(to.incarnation, func() {
				ask(func(result any) {
					w.After(n.delay(to, from), func() {
						if n.passes(to, from) {
							finishWith(result)
						}
					})
				})
			})
		})
	})
}

// whenPassing runs something at once, or, where a fault blocks the way, some time later if it is unblocked by then. Half
// of what is blocked is lost.
func (n *network) whenPassing(from, to *process, run func()) {
	w := n.world
	if n.passes(from, to) {
		run()
		return
	}
	if w.oneIn(2) {
		return
	}
	w.After(w.between(200*time.Millisecond, 3*time.Second), func() {
		if n.passes(from, to) {
			run()
		}
	})
}
