package quotahost

import (
	"context"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/quota"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const testTimeout = 10 * time.Second // for events that must occur

// fakeDependencies implements Mesh, Replicated and EventRecorder. It discards messages to other instances.
type fakeDependencies struct {
	machine *state.Machine
	failed  chan error
}

func (e *fakeDependencies) Current() *configuration.Configuration {
	return &configuration.Configuration{Tenants: []configuration.Tenant{{Name: "t", RatePerSecond: 1000, Burst: 1000}}}
}
func (e *fakeDependencies) Shares() shares.Table { return e.machine.Shares() }
func (e *fakeDependencies) Send(string, any)     {}
func (e *fakeDependencies) RecordFailed(err error) {
	select {
	case e.failed <- err:
	default:
	}
}

// testInstance is a running host with its replica and a server for routers. The test gives it all shares.
type testInstance struct {
	host         *Host
	replica      *replicatest.Double
	dependencies *fakeDependencies
	server       *transport.Server
	stop         func()
}

// Message implements transport.Handler.
func (i *testInstance) Message(c *transport.Connection, message any) { i.host.Message(c, message) }

// Closed implements transport.Handler.
func (i *testInstance) Closed(*transport.Connection, error) {}

func newCodec() *transport.Codec {
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	return codec
}

func startInstance(t *testing.T, directory string, machine *state.Machine) *testInstance {
	t.Helper()
	self := replica.Member{Identity: "a", Address: "a"}
	dependencies := &fakeDependencies{machine: machine, failed: make(chan error, 1)}
	i := &testInstance{dependencies: dependencies, replica: replicatest.New(machine, replica.Status{Self: self, LiveMembers: []replica.Member{self}})}
	host, err := New(Config{Directory: directory, Holder: quota.Config{Identity: "a", Address: "a", OvershootSlack: 1000}}, Dependencies{
		Replica: i.replica, Replicated: dependencies, ConfirmedAt: time.Now, Mesh: dependencies, Events: dependencies,
	})
	if err != nil {
		t.Fatal(err)
	}
	i.host = host
	if i.server, err = transport.Listen("127.0.0.1:0", newCodec(), i); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { host.Run(ctx) })
	i.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		_ = i.server.Close()
	})
	t.Cleanup(i.stop)
	return i
}

// assign waits until the instance has registered, and gives it all shares.
func (i *testInstance) assign(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !i.dependencies.Shares().HasHolder("a") {
		if time.Now().After(deadline) {
			t.Fatalf("not registered after %v", testTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	owners := make([]string, shares.Count)
	for i := range owners {
		owners[i] = "a"
	}
	command, err := state.NewAssignment(shares.Assignment{Sequence: i.dependencies.Shares().Sequence + 1, Holders: []string{"a"}, Owners: owners})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := i.replica.Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
}

// testRouter is the router side of a connection.
type testRouter struct {
	t          *testing.T
	connection *transport.Connection
	grants     chan *protocol.CreditGrant
	lastID     uint64
}

// Message implements transport.Handler.
func (r *testRouter) Message(_ *transport.Connection, message any) {
	if grant, isGrant := message.(*protocol.CreditGrant); isGrant {
		r.grants <- grant
	}
}

// Closed implements transport.Handler.
func (r *testRouter) Closed(*transport.Connection, error) {}

func connect(t *testing.T, to *testInstance) *testRouter {
	t.Helper()
	r := &testRouter{t: t, grants: make(chan *protocol.CreditGrant, 10)}
	connection, err := transport.Dial(t.Context(), to.server.Address(), newCodec(), r)
	if err != nil {
		t.Fatal(err)
	}
	r.connection = connection
	t.Cleanup(connection.Close)
	return r
}

// requestCredit requests credit and returns the granted amount.
func (r *testRouter) requestCredit(amount float64) float64 {
	r.t.Helper()
	r.lastID++
	request := protocol.CreditRequest{ID: r.lastID, Tenant: "t", Amount: amount, Waiting: amount, Minimum: amount}
	if err := r.connection.Send(request); err != nil {
		r.t.Fatal(err)
	}
	select {
	case grant := <-r.grants:
		if grant.ID != r.lastID {
			r.t.Fatalf("answer to request %d, want %d", grant.ID, r.lastID)
		}
		return grant.Amount
	case <-time.After(testTimeout):
		r.t.Fatalf("no answer after %v", testTimeout)
		return 0
	}
}

// With an empty disk an instance issues credit as soon as it has shares. A record of the credit is on the disk before the grant
// is sent.
func TestRegisteredInstanceIssuesCredit(t *testing.T) {
	directory := t.TempDir()
	i := startInstance(t, directory, state.New())
	r := connect(t, i)
	if got := r.requestCredit(500); got != 0 {
		t.Errorf("granted %v without shares, want nothing", got)
	}
	i.assign(t)
	if got := r.requestCredit(500); got != 500 {
		t.Errorf("granted %v, want 500", got)
	}
	_, persisted, err := openRecordStore(directory)
	if err != nil || persisted.DiskEmpty || persisted.Record == nil || len(persisted.Record.Tenants) != 1 {
		t.Fatalf("on the disk: %+v, %v; want a record of the tenant", persisted, err)
	}
	view, err := i.host.View(t.Context())
	if err != nil || view.Usable != 1 || len(view.Tenants) != 1 || view.Tenants[0].Issued != 500 {
		t.Errorf("view %+v, %v; want all shares usable and 500 issued", view, err)
	}
}

// A restarted instance continues with the limit that its last record leaves, and counts what was issued before the restart.
func TestRestartedInstanceCountsWhatItIssuedBefore(t *testing.T) {
	directory, machine := t.TempDir(), state.New()
	i := startInstance(t, directory, machine)
	i.assign(t)
	const issuable = 0.96 * (9000 + 1000) // 0.96 of the sum of rate, burst and slack in a window
	if got := connect(t, i).requestCredit(6000); got != 6000 {
		t.Fatalf("granted %v, want 6000", got)
	}
	i.host.Stop(t.Context())
	i.stop()
	r := connect(t, startInstance(t, directory, machine))
	if got := r.requestCredit(5000); got != 0 {
		t.Errorf("granted %v after the restart, want nothing: %v are issuable and 6000 were issued", got, issuable)
	}
	if got := r.requestCredit(3000); got != 3000 {
		t.Errorf("granted %v after the restart, want 3000", got)
	}
}

// A process that cannot know what an earlier one issued issues nothing in its first issuance interval.
func TestNothingIsIssuedWithAnUnreadableRecord(t *testing.T) {
	directory, machine := t.TempDir(), state.New()
	for _, name := range []string{"quota-0", "quota-1"} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte("neither"), recordFileMode); err != nil {
			t.Fatal(err)
		}
	}
	i := startInstance(t, directory, machine)
	i.assign(t)
	if got := connect(t, i).requestCredit(100); got != 0 {
		t.Errorf("granted %v, want nothing", got)
	}
}

// The directory is removed to make writing the record fail.
func TestRecordWriteFailureIsReportedAndNothingIsIssued(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "data")
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	i := startInstance(t, directory, state.New())
	i.assign(t)
	if err := os.Remove(directory); err != nil {
		t.Fatal(err)
	}
	if got := connect(t, i).requestCredit(100); got != 0 {
		t.Errorf("granted %v, want nothing", got)
	}
	select {
	case err := <-i.dependencies.failed:
		if !errors.Is(err, os.ErrNotExist) {
			t.Errorf("reported %v, want that the directory is gone", err)
		}
	case <-time.After(testTimeout):
		t.Errorf("nothing reported after %v", testTimeout)
	}
}

// The newest complete record is used, whichever file it is in. If its write was cut off, the previous record is used.
func TestRecordFilesAlternate(t *testing.T) {
	directory := t.TempDir()
	store, persisted, err := openRecordStore(directory)
	if err != nil || !persisted.DiskEmpty {
		t.Fatalf("disk empty: got %v, %v; want true for an empty directory", persisted.DiskEmpty, err)
	}
	for sequence := uint64(1); sequence <= 5; sequence++ {
		if err := store.writeOwn(&quota.Record{Sequence: sequence, Identity: "a"}); err != nil {
			t.Fatal(err)
		}
		_, persisted, err := openRecordStore(directory)
		if err != nil || persisted.Record == nil || persisted.Record.Sequence != sequence {
			t.Errorf("read %+v, %v; want record %d", persisted, err, sequence)
		}
	}
	newest := store.own.paths[store.own.syncedSlot]
	content, err := os.ReadFile(newest)
	if err != nil {
		t.Fatal(err)
	}
	for length := range content {
		if err := os.WriteFile(newest, content[:length], recordFileMode); err != nil {
			t.Fatal(err)
		}
		if _, persisted, err := openRecordStore(directory); err != nil || persisted.Record == nil || persisted.Record.Sequence != 4 {
			t.Fatalf("with %d of %d bytes of the newest record: %+v, %v; want record 4", length, len(content), persisted, err)
		}
	}
}

// If the write of a copy was cut off, the previous copy is used, because it may have been acknowledged.
func TestCopiesAreReadBack(t *testing.T) {
	directory := t.TempDir()
	writeCopies(t, directory, "b", "c@10.0.0.1:7500", "b", "b")
	requireCopies(t, directory, map[string]uint64{"b": 4, "c@10.0.0.1:7500": 2})
	writeCopies(t, directory, "d") // by a later process
	store, _, err := openRecordStore(directory)
	if err != nil {
		t.Fatal(err)
	}
	for name, file := range store.copies {
		content, err := os.ReadFile(file.paths[file.syncedSlot])
		if err != nil {
			t.Fatal(err)
		}
		if record, err := quota.DecodeRecord(content); err != nil || record.Identity != "b" {
			continue
		}
		for length := range content {
			if err := os.WriteFile(file.paths[file.syncedSlot], content[:length], recordFileMode); err != nil {
				t.Fatal(err)
			}
			requireCopies(t, directory, map[string]uint64{"b": 3, "c@10.0.0.1:7500": 2, "d": 1})
		}
		if err := os.WriteFile(file.paths[1-file.syncedSlot], []byte("damaged"), recordFileMode); err != nil {
			t.Fatal(err)
		}
		if _, persisted, err := openRecordStore(directory); err != nil || !persisted.CopiesUnreadable || len(persisted.Copies) != 2 {
			t.Errorf("read %+v, %v with both files of %s damaged; want 2 copies, and unreadable ones reported", persisted, err, name)
		}
	}
}

// writeCopies writes copies of records with sequences 1, 2, ... of the given holders.
func writeCopies(t *testing.T, directory string, identities ...string) {
	t.Helper()
	store, _, err := openRecordStore(directory)
	if err != nil {
		t.Fatal(err)
	}
	for i, identity := range identities {
		record := &quota.Record{Sequence: uint64(i + 1), Identity: identity}
		encoded, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := store.writeCopy(&quota.RecordCopy{Record: record, Encoded: encoded}); err != nil {
			t.Fatal(err)
		}
	}
}

// requireCopies requires that exactly the given copies can be read, by identity and sequence, and that there is no own record.
func requireCopies(t *testing.T, directory string, want map[string]uint64) {
	t.Helper()
	_, persisted, err := openRecordStore(directory)
	if err != nil || persisted.CopiesUnreadable || !persisted.DiskEmpty {
		t.Fatalf("read %+v, %v; want copies and no record", persisted, err)
	}
	got := make(map[string]uint64)
	for _, recordCopy := range persisted.Copies {
		got[recordCopy.Record.Identity] = recordCopy.Record.Sequence
	}
	if !maps.Equal(got, want) {
		t.Fatalf("read copies %v, want %v", got, want)
	}
}

// A stopped host still answers requests, without granting anything, while the rest of the instance shuts down.
func TestStoppedHostAnswersRequestsUntilItsContextEnds(t *testing.T) {
	i := startInstance(t, t.TempDir(), state.New())
	i.assign(t)
	r := connect(t, i)
	if got := r.requestCredit(1000); got != 1000 {
		t.Fatalf("granted %v, want 1000", got)
	}
	i.host.Stop(t.Context())
	for range 4 {
		if got := r.requestCredit(100); got != 0 {
			t.Errorf("granted %v after the stop, want nothing", got)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
