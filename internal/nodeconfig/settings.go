// Package nodeconfig reads the settings file that each process is given by the platform: what it is,
// where it listens, what its machine allows, and the figures of the rules in force.
package nodeconfig

import (
	"slices"
	"time"
)

// EnvironmentVariable names the variable that holds the path of the settings file.
const EnvironmentVariable = "RAVENTRESTLE_SETTINGS"

// What a role may serve.
const (
	ServesEdge         = "edge"          // requests of clients
	ServesControlPlane = "control_plane" // calls of endpoints and of the operator
)

// Settings are one process's own. Addresses are IP:port.
type Settings struct {
	NodeName string
	Role     string // name of the role in the deploy file
	Class    string // of the machine
	Serves   []string

	IP     string
	Zone   string
	Region string
	Zones  map[string]string // zone to region

	ListenFront     string // clients; where edge is served
	ListenReadiness string // the platform's probe; where edge is served
	ListenControl   string // endpoints and the operator; where control_plane is served
	ListenMetrics   string // "" for none
	EphemeralFirst  int    // first of the ports for what processes say to one another
	EphemeralLast   int
	Seeds           []string // control addresses

	Bootstrap       bool // the whole system starts for the first time, with empty disks
	CountsForQuorum bool
	Limits          Limits
	DataDir         string // "" where the machine has no disk
	Heartbeat       time.Duration
	LogLevel        string // trace, debug, info, warn or error

	Contracts               []string // parts of the rules that are in force
	FaultToleranceMachines  int
	FaultToleranceZones     int
	FaultToleranceRegions   int
	Bounds                  Bounds
	FaultToleranceSpecified bool // false where the file says nothing of it, and one machine is assumed
}

// Limits are what the machine allows this process.
type Limits struct {
	CPUShare float64 // of a core
	Cores    int     // that the machine shows
	MemoryMB int
	MaxFDs   int
	LinkMbps float64
	DiskMB   int
}

// Bounds are the figures of the rules. A bound that the file leaves out has the default that stands beside
// its key in bounds.go.
type Bounds struct {
	SeedLag          time.Duration // the operator's list of control addresses lags by so much
	ReuseAfter       time.Duration // then an endpoint's address may be another's
	Liveness         time.Duration // undisturbed for so long, a machine is in touch
	Acknowledge      time.Duration // the operator's orders and the endpoints' farewells
	CatchUp          time.Duration // a machine that returned counts as lost for so long
	Drain            time.Duration // no more requests so long after an endpoint's farewell
	Grace            time.Duration // from SIGTERM to SIGKILL
	Lost             time.Duration // a request that was read so long ago must be answered
	Configuration    time.Duration // a version is in force everywhere so long after its acknowledgement
	Downgrade        time.Duration // no older version so long after one's effect was seen
	Partition        time.Duration // more for Configuration beside an unstable core
	StrictRevocation bool
	Revoke           time.Duration
	RetryBudgetRatio float64 // second sends per request, over all routers
	BudgetWindow     time.Duration
	BudgetSlack      float64 // second sends on top
	QuotaWindow      time.Duration
	QuotaOver        float64 // part of a tenant's limit that may be exceeded
	QuotaSlack       float64 // on top, in the tenant's unit
	Recovery         time.Duration
	Pass             time.Duration // from an endpoint's event to the client
	Again            time.Duration
	Fencing          bool          // endpoints check the fencing token
	Lease            time.Duration // between orders of different holders
	Thaw             time.Duration // orders so soon after a thaw don't count
	CeilingWindow    time.Duration
	CeilingOver      float64 // loads that may begin, against what the weight store allows
}

// ServesRole says whether the process serves that part.
func (s *Settings) ServesRole(part string) bool { return slices.Contains(s.Serves, part) }

// Contract says whether that part of the rules is in force.
func (s *Settings) Contract(name string) bool { return slices.Contains(s.Contracts, name) }
