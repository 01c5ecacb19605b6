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

// words is a replicated list of words.
type words struct {
	lock sync.Mutex
	list []string
}

func (w *words) Apply(_ uint64, command []byte) []byte {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.list = append(w.list, string(command))
	return []byte(fmt.Sprintf("word %d", len(w.list)))
}

func (w *words) Snapshot() []byte { return []byte(w.String()) }

func (w *words) Restore(snapshot []byte) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.list = strings.Fields(string(snapshot))
	return nil
}

func (w *words) String() string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return strings.Join(w.list, " ")
}

// network carries messages within the process.
type network struct {
	lock     sync.Mutex
	members  map[string]*replica.Replica
	messages atomic.Int64
	bytes    atomic.Int64
}

// port is one member's access to the network.
type port struct {
	network *network
	address string
}

func (p port) Send(address string, message []byte) {
	p.network.messages.Add(1)
	p.network.bytes.Add(int64(len(message)))
	p.network.lock.Lock()
	member := p.network.members[address]
	p.network.lock.Unlock()
	if member != nil {
		member.Deliver(p.address, message)
	}
}

// Three members in one process: a command enters at any of them, and after a barrier every other one has it.
func Example() {
	folder, err := os.MkdirTemp("", "replica")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	seeds := []string{"10.0.0.1:7500", "10.0.1.1:7500", "10.0.2.1:7500"}
	net := &network{members: map[string]*replica.Replica{}}
	machines := map[string]*words{}
	for _, address := range seeds {
		machines[address] = &words{}
		member, err := replica.Open(replica.Config{
			Self:           replica.Member{Address: address},
			Seeds:          seeds,
			Bootstrap:      true,
			FaultTolerance: 1,
			Directory:      filepath.Join(folder, address[:8]),
			Transport:      port{network: net, address: address},
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
	// word 1 <nil>
	// word 2 <nil>
	// hello world <nil>
}
