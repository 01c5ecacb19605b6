package systemsim

import (
	"time"
)

// call is a request of a client that is no process of the world: each way may be cut.
func (n *network) call(from, to *process, patience time.Duration, ask func(answer func(any)), done func(any)) {
	w := n.world
	over := false
	finishWith := func(result any) {
		if !over {
			over = true
			done(result)
		}
	}
	w.After(patience, func() { finishWith(nil) })
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

// whenPassing runs at once, or once a cut is healed, if that is soon: half of what is held up is lost.
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
