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
	clockBase time.Time // time of Config.Clock at which the engine's clock read clockStart
	inbox     inbox
	published
	nextCallID atomic.Uint64

	// Owned by the loop:
	engine            *engine.Engine
	pendingCalls      map[uint64]*pendingCall // by call ID
	reassembler       reassembler
	outbox            *outbox
	lastMessageNumber uint64 // number of the most recently sent message
	leaving           bool

	// Shutdown:
	stopping     atomic.Bool   // Stop or Kill was called
	leaveAllowed chan struct{} // closed by the loop when the member may leave and Stop may return
	leaveBlocker atomic.Value  // string: why the member may not leave yet
	quit         chan struct{} // closed by Stop or Kill to end the loop
	done         chan struct{} // closed when the loop has ended
}

var _ Interface = (*Replica)(nil)

// clockStart is the engine's time at the start. It is above zero because the engine uses zero for never.
const clockStart = time.Second

// Open recovers the member from its disk, or creates a new one if the disk is empty, and starts it. The caller must end it
// with Stop or Kill.
func Open(config Config) (*Replica, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:            config,
		clockBase:         config.Clock(),
		inbox:             newInbox(),
		pendingCalls:      map[uint64]*pendingCall{},
		leaveAllowed:      make(chan struct{}),
		quit:              make(chan struct{}),
		done:              make(chan struct{}),
		lastMessageNumber: config.RandomSeed, // message numbers must differ from those of the previous incarnation
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

// now returns the time on the engine's clock.
func (r *Replica) now() time.Duration { return r.config.Clock().Sub(r.clockBase) + clockStart }

// clockTime converts a time of the engine's clock to one of Config.Clock; zero is converted to the zero time.
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
	case <-r.leaveAllowed:
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

// Kill ends the replica at once without leaving the group, as a crash of the process would, and waits until the loop has
// ended.
func (r *Replica) Kill() {
	if r.stopping.CompareAndSwap(false, true) {
		close(r.quit)
	}
	<-r.done
}
