package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"raventrestle/coordination/engine"
)

// Replica is a running member.
type Replica struct {
	config    Config
	clockBase time.Time // the moment at which the engine's clock showed clockStart
	inbox     inbox
	published
	nextCallID atomic.Uint64

	// Owned by the loop:
	engine       *engine.Engine
	pendingCalls map[uint64]*pendingCall // by call ID
	reassembler  reassembler
	outbox       *outbox
	lastMessage  uint64 // number of the newest message that was sent
	leaving      bool

	// The end of the replica:
	stopping     atomic.Bool   // Stop or Kill was called
	mayLeave     chan struct{} // closed when the member may end after Stop
	leaveBlocker atomic.Value  // string: why it may not end yet
	quit         chan struct{} // closed to end the loop
	done         chan struct{} // closed when the loop has ended
}

var _ Interface = (*Replica)(nil)

// clockStart keeps the engine's times above zero, which means never.
const clockStart = time.Second

// Open recovers the member from its disk, or begins a new one on an empty disk, and starts it. The caller ends it by Stop
// or Kill.
func Open(config Config) (*Replica, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:       config,
		clockBase:    config.Clock(),
		inbox:        newInbox(),
		pendingCalls: map[uint64]*pendingCall{},
		mayLeave:     make(chan struct{}),
		quit:         make(chan struct{}),
		done:         make(chan struct{}),
		lastMessage:  config.RandomSeed, // numbers must differ from those of the incarnation before
	}
	r.engine, err = engine.Open(r.now(), engine.Config{
		Self: config.Self, Seeds: config.Seeds, Bootstrap: config.Bootstrap, FaultTolerance: config.FaultTolerance,
		FS: config.FS, StateMachine: config.StateMachine, RandomSeed: config.RandomSeed, Timing: config.Timing,
		CompactBytes: config.CompactBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	r.outbox = newOutbox(config.Transport.Send)
	r.changed.Store(newChangeSignal())
	r.publish(r.now())
	go r.run()
	return r, nil
}

// now is the time on the engine's clock.
func (r *Replica) now() time.Duration { return r.config.Clock().Sub(r.clockBase) + clockStart }

// clockTime turns a time on the engine's clock into one of Config.Clock; zero stays zero.
func (r *Replica) clockTime(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return r.clockBase.Add(at - clockStart)
}

// Deliver implements Interface.
func (r *Replica) Deliver(fromAddress string, message []byte) {
	r.inbox.put(inboxItem{address: fromAddress, message: message})
}

// Stop implements Interface.
func (r *Replica) Stop(ctx context.Context) error {
	if !r.stopping.CompareAndSwap(false, true) {
		<-r.done
		return nil
	}
	r.inbox.put(inboxItem{leave: true})
	var err error
	select {
	case <-r.mayLeave:
	case <-ctx.Done():
		blocker, _ := r.leaveBlocker.Load().(string)
		err = &OperationError{
			Step: "leave", Peer: r.headAddress(), Err: fmt.Errorf("%w: %s: %w", ErrStillNeeded, blocker, ctx.Err()),
		}
	}
	close(r.quit)
	<-r.done
	return err
}

// Kill ends the replica at once, as the end of its process would, and waits for the end of its goroutine.
func (r *Replica) Kill() {
	if r.stopping.CompareAndSwap(false, true) {
		close(r.quit)
	}
	<-r.done
}
