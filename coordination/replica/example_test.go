package replica_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle/coordination/replica"
)

// commandList is a state machine that keeps a list of the applied commands.
type commandList struct {
	lock sync.Mutex
	list []string
}

func (l *commandList) Apply(_ uint64, command []byte) []byte {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.list = append(l.list, string(command))
	return []byte(fmt.Sprintf("command %d", len(l.list)))
}

func (l *commandList) Snapshot() []byte { return []byte(l.String()) }

func (l *commandList) Restore(snapshot []byte) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.list = strings.Fields(string(snapshot))
	return nil
}

func (l *commandList) String() string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return strings.Join(l.list, " ")
}

// network carries messages within the process.
type network struct {
	lock     sync.Mutex // protects members
	members  map[string]*replica.Replica
	messages atomic.Int64
	bytes    atomic.Int64
}

// transport is one member's connection to the network.
type transport struct {
	network *network
	address string
}

func (p transport) Send(address string, message []byte) {
	p.network.messages.Add(1)
	p.network.bytes.Add(int64(len(message)))
	p.network.lock.Lock()
	member := p.network.members[address]
	p.network.lock.Unlock()
	if member != nil {
		member.Deliver(p.address, message)
	}
}

// Three members run in one process. Commands are proposed at two of them, and after a barrier the third has applied both.
func Example() {
	directory, err := os.MkdirTemp("", "replica")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	seeds := []string{"10.0.0.1:7500", "10.0.1.1:7500", "10.0.2.1:7500"}
	net := &network{members: map[string]*replica.Replica{}}
	machines := map[string]*commandList{}
	for _, address := range seeds {
		machines[address] = &commandList{}
		member, err := replica.Open(replica.Config{
			Self:           replica.Member{Address: address},
			Seeds:          seeds,
			Bootstrap:      true,
			FaultTolerance: 1,
			Directory:      filepath.Join(directory, address[:8]),
			Transport:      transport{network: net, address: address},
			StateMachine:   machines[address],
		})
		if err != nil {
			panic(err)
		}
		net.lock.Lock()
		net.members[address] = member
		net.lock.Unlock()
	}

	result, err := net.members[seeds[1]].Propose(ctx, []byte("hello"))
	fmt.Println(string(result), err)
	result, err = net.members[seeds[2]].Propose(ctx, []byte("world"))
	fmt.Println(string(result), err)

	_, err = net.members[seeds[0]].Barrier(ctx)
	fmt.Println(machines[seeds[0]], err)
	for _, address := range seeds {
		net.members[address].Kill()
	}
	// Output:
	// command 1 <nil>
	// command 2 <nil>
	// hello world <nil>
}
