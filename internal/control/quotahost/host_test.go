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

const testTimeout = 10 * time.Second // for what must happen

// environment implements the host's collaborators.
type environment struct {
	machine *state.Machine
	failed  chan error
}

func (e *environment) Current() *configuration.Configuration {
	return &configuration.Configuration{Tenants: []configuration.Tenant{{Name: "t", RatePerSecond: 1000, Burst: 1000}}}
}
func (e *environment) Shares() shares.Table { return e.machine.Shares() }
func (e *environment) Send(string, any)     {}
func (e *environment) RecordFailed(err error) {
	select {
	case e.failed <- err:
	default:
	}
}

// instance is a host with its replica, whose shares are all given to it, and a server for routers.
type instance struct {
	host    *Host
	replica *replicatest.Double
	events  *environment
	server  *transport.Server
	stop    func()
}

// Message implements transport.Handler.
func (i *instance) Message(c *transport.Connection, message any) { i.host.Message(c, message) }

// Closed implements transport.Handler.
func (i *instance) Closed(*transport.Connection, error) {}

func newCodec() *transport.Codec {
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	return codec
}

func startInstance(t *testing.T, directory string, machine *state.Machine) *instance {
	t.Helper()
	self := replica.Member{Identity: "a", Address: "a"}
	events := &environment{machine: machine, failed: make(chan error, 1)}
	i := &instance{events: events, replica: replicatest.New(machine, replica.Status{Self: self, LiveMembers: []replica.Member{self}})}
	host, err := New(Config{Directory: directory, Holder: quota.Config{Identity: "a", Address: "a", OvershootSlack: 1000}}, Dependencies{
		Replica: i.replica, Replicated: events, ConfirmedAt: time.Now, Mesh: events, Events: events,
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
func (i *instance) assign(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !i.events.Shares().HasHolder("a") {
		if time.Now().After(deadline) {
			t.Fatalf("not registered after %v", testTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	owners := make([]string, shares.Count)
	for at := range owners {
		owners[at] = "a"
	}
	command, err := state.NewAssignment(shares.Assignment{Sequence: i.events.Shares().Sequence + 1, Holders: []string{"a"}, Owners: owners})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := i.replica.Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
}

// router is a router's end of a connection.
type router struct {
	t          *testing.T
	connection *transport.Connection
	grants     chan *protocol.CreditGrant
	id         uint64
}

// Message implements transport.Handler.
func (r *router) Message(_ *transport.Connection, message any) {
	if grant, isCredit := message.(*protocol.CreditGrant); isCredit {
		r.grants <- grant
	}
}

// Closed implements transport.Handler.
func (r *router) Closed(*transport.Connection, error) {}

func connect(t *testing.T, to *instance) *router {
	t.Helper()
	r := &router{t: t, grants: make(chan *protocol.CreditGrant, 10)}
	connection, err := transport.Dial(t.Context(), to.server.Address(), newCodec(), r)
	if err != nil {
		t.Fatal(err)
	}
	r.connection = connection
	t.Cleanup(connection.Close)
	return r
}

// ask asks for credit and returns what is granted.
func (r *router) ask(amount float64) float64 {
	r.t.Helper()
	r.id++
	request := protocol.CreditRequest{ID: r.id, Tenant: "t", Amount: amount, Waiting: amount, Minimum: amount}
	if err := r.connection.Send(request); err != nil {
		r.t.Fatal(err)
	}
	select {
	case grant := <-r.grants:
		if grant.ID != r.id {
			r.t.Fatalf("answer to request %d, want %d", grant.ID, r.id)
		}
		return grant.Amount
	case <-time.After(testTimeout):
		r.t.Fatalf("no answer after %v", testTimeout)
		return 0
	}
}

// TestRegisteredInstanceIssuesCredit: on an empty disk at once, and what it issued is on the disk before it is answered.
func TestRegisteredInstanceIssuesCredit(t *testing.T) {
	directory := t.TempDir()
	i := startInstance(t, directory, state.New())
	r := connect(t, i)
	if got := r.ask(500); got != 0 {
		t.Errorf("granted %v without shares, want nothing", got)
	}
	i.assign(t)
	if got := r.ask(500); got != 500 {
		t.Errorf("granted %v, want 500", got)
	}
	_, former, err := openRecordStore(directory)
	if err != nil || former.Fresh || former.Record == nil || len(former.Record.Tenants) != 1 {
		t.Fatalf("on the disk: %+v, %v; want a record of the tenant", former, err)
	}
	view, err := i.host.View(t.Context())
	if err != nil || view.Usable != 1 || len(view.Tenants) != 1 || view.Tenants[0].Issued != 500 {
		t.Errorf("view %+v, %v; want all shares usable and 500 issued", view, err)
	}
}

// TestStoppedInstanceGoesOnAfterItsRestart: with what its last record leaves, though not with what it had issued.
func TestStoppedInstanceGoesOnAfterItsRestart(t *testing.T) {
	directory, machine := t.TempDir(), state.New()
	i := startInstance(t, directory, machine)
	i.assign(t)
	const issuable = 0.96 * (9000 + 1000) // rate, burst and slack
	if got := connect(t, i).ask(6000); got != 6000 {
		t.Fatalf("granted %v, want 6000", got)
	}
	i.host.Stop(t.Context())
	i.stop()
	r := connect(t, startInstance(t, directory, machine))
	if got := r.ask(5000); got != 0 {
		t.Errorf("granted %v after the restart, want nothing: %v are issuable and 6000 were issued", got, issuable)
	}
	if got := r.ask(3000); got != 3000 {
		t.Errorf("granted %v after the restart, want 3000", got)
	}
}

// TestUnreadableRecordRests: a process that can't know what was issued issues nothing in its first interval.
func TestUnreadableRecordRests(t *testing.T) {
	directory, machine := t.TempDir(), state.New()
	for _, name := range []string{"quota-0", "quota-1"} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte("neither"), recordMode); err != nil {
			t.Fatal(err)
		}
	}
	i := startInstance(t, directory, machine)
	i.assign(t)
	if got := connect(t, i).ask(100); got != 0 {
		t.Errorf("granted %v, want nothing", got)
	}
}

// TestFailedRecordIsReportedAndNothingIssued: the directory is gone, as on a disk that fails.
func TestFailedRecordIsReportedAndNothingIssued(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "data")
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	i := startInstance(t, directory, state.New())
	i.assign(t)
	if err := os.Remove(directory); err != nil {
		t.Fatal(err)
	}
	if got := connect(t, i).ask(100); got != 0 {
		t.Errorf("granted %v, want nothing", got)
	}
	select {
	case err := <-i.events.failed:
		if !errors.Is(err, os.ErrNotExist) {
			t.Errorf("reported %v, want that the directory is gone", err)
		}
	case <-time.After(testTimeout):
		t.Errorf("nothing reported after %v", testTimeout)
	}
}

// TestRecordSlotsAlternate: the newest record that is whole counts, whichever slot has it, and one that was cut off on its way to
// the disk leaves the one before.
func TestRecordSlotsAlternate(t *testing.T) {
	directory := t.TempDir()
	store, former, err := openRecordStore(directory)
	if err != nil || !former.Fresh {
		t.Fatalf("fresh %v, %v; want an empty directory to be fresh", former.Fresh, err)
	}
	for sequence := uint64(1); sequence <= 5; sequence++ {
		if err := store.writeOwn(&quota.Record{Sequence: sequence, Identity: "a"}); err != nil {
			t.Fatal(err)
		}
		_, former, err := openRecordStore(directory)
		if err != nil || former.Record == nil || former.Record.Sequence != sequence {
			t.Errorf("read %+v, %v; want record %d", former, err, sequence)
		}
	}
	newest := store.own.names[store.own.synced]
	content, err := os.ReadFile(newest)
	if err != nil {
		t.Fatal(err)
	}
	for length := range content {
		if err := os.WriteFile(newest, content[:length], recordMode); err != nil {
			t.Fatal(err)
		}
		if _, former, err := openRecordStore(directory); err != nil || former.Record == nil || former.Record.Sequence != 4 {
			t.Fatalf("with %d of %d bytes of the newest record: %+v, %v; want record 4", length, len(content), former, err)
		}
	}
}

// TestCopiesAreReadBack: one that was cut off on its way to the disk leaves the one before, which may have been acknowledged.
func TestCopiesAreReadBack(t *testing.T) {
	directory := t.TempDir()
	writeCopies(t, directory, "b", "c@10.0.0.1:7500", "b", "b")
	requireCopies(t, directory, map[string]uint64{"b": 4, "c@10.0.0.1:7500": 2})
	writeCopies(t, directory, "d") // by another process
	store, _, err := openRecordStore(directory)
	if err != nil {
		t.Fatal(err)
	}
	for name, file := range store.copies {
		content, err := os.ReadFile(file.names[file.synced])
		if err != nil {
			t.Fatal(err)
		}
		if record, err := quota.DecodeRecord(content); err != nil || record.Identity != "b" {
			continue
		}
		for length := range content {
			if err := os.WriteFile(file.names[file.synced], content[:length], recordMode); err != nil {
				t.Fatal(err)
			}
			requireCopies(t, directory, map[string]uint64{"b": 3, "c@10.0.0.1:7500": 2, "d": 1})
		}
		if err := os.WriteFile(file.names[1-file.synced], []byte("damaged"), recordMode); err != nil {
			t.Fatal(err)
		}
		if _, former, err := openRecordStore(directory); err != nil || !former.CopiesLost || len(former.Copies) != 2 {
			t.Errorf("read %+v, %v with both files of %s damaged; want the others, and that one is lost", former, err, name)
		}
	}
}

// writeCopies writes copies of records with sequences 1, 2, ... of these holders.
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

// requireCopies requires that these copies are read back, by identity and sequence, and no own record.
func requireCopies(t *testing.T, directory string, want map[string]uint64) {
	t.Helper()
	_, former, err := openRecordStore(directory)
	if err != nil || former.CopiesLost || !former.Fresh {
		t.Fatalf("read %+v, %v; want copies and no record", former, err)
	}
	got := make(map[string]uint64)
	for _, kept := range former.Copies {
		got[kept.Record.Identity] = kept.Record.Sequence
	}
	if !maps.Equal(got, want) {
		t.Fatalf("read copies %v, want %v", got, want)
	}
}

// TestStoppedHostGoesOnUntilItsContextEnds: it steps on while the rest of the instance stops.
func TestStoppedHostGoesOnUntilItsContextEnds(t *testing.T) {
	i := startInstance(t, t.TempDir(), state.New())
	i.assign(t)
	r := connect(t, i)
	if got := r.ask(1000); got != 1000 {
		t.Fatalf("granted %v, want 1000", got)
	}
	i.host.Stop(t.Context())
	for range 4 {
		if got := r.ask(100); got != 0 {
			t.Errorf("granted %v after the stop, want nothing", got)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
