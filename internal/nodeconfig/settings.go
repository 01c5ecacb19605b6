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
	InterfaceEdge         = "edge"          // requests of clients
	InterfaceControlPlane = "control_plane" // calls of endpoints and of the operator
)

// Config are one process's own. Addresses are IP:port.
type Config struct {
	NodeName         string
	Role             string // name of the role in the deploy file
	MachineClass     string // of the machine
	ServedInterfaces []string

	IP     string
	Zone   string
	Region string
	Zones  map[string]string // zone to region

	IngressAddress     string // clients; where edge is served
	ReadinessAddress   string // the platform's probe; where edge is served
	ControlAddress     string // endpoints and the operator; where control_plane is served
	MetricsAddress     string // "" for none
	FirstEphemeralPort int    // first of the ports for what processes say to one another
	LastEphemeralPort  int
	Seeds              []string // control addresses

	Bootstrap         bool // the whole system starts for the first time, with empty disks
	CountsForQuorum   bool
	Limits            Limits
	DataDir           string // "" where the machine has no disk
	HeartbeatInterval time.Duration
	LogLevel          string // trace, debug, info, warn or error

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
	SeedListLag              time.Duration // the operator's list of control addresses lags by so much
	AddressReuseDelay        time.Duration // then an endpoint's address may be another's
	LivenessWindow           time.Duration // undisturbed for so long, a machine is in touch
	AckTimeout               time.Duration // the operator's orders and the endpoints' farewells
	CatchUpTimeout           time.Duration // a machine that returned counts as lost for so long
	DrainTimeout             time.Duration // no more requests so long after an endpoint's farewell
	GracePeriod              time.Duration // from SIGTERM to SIGKILL
	LostRequestTimeout       time.Duration // a request that was read so long ago must be answered
	ConfigPropagationTimeout time.Duration // a version is in force everywhere so long after its acknowledgement
	DowngradeWindow          time.Duration // no older version so long after one's effect was seen
	PartitionAllowance       time.Duration // more for Configuration beside an unstable core
	StrictRevocation         bool
	RevocationTimeout        time.Duration
	RetryBudgetRatio         float64 // second sends per request, over all routers
	RetryBudgetWindow        time.Duration
	RetryBudgetSlack         float64 // second sends on top
	QuotaWindow              time.Duration
	QuotaOverrunRatio        float64 // part of a tenant's limit that may be exceeded
	QuotaSlack               float64 // on top, in the tenant's unit
	RecoveryTimeout          time.Duration
	EventForwardTimeout      time.Duration // from an endpoint's event to the client
	Again                    time.Duration
	FencingEnabled           bool          // endpoints check the fencing token
	LeaseTTL                 time.Duration // between orders of different holders
	ThawWindow               time.Duration // orders so soon after a thaw don't count
	LoadRateWindow           time.Duration
	LoadRateOverrunRatio     float64 // loads that may begin, against what the weight store allows
}

// Serves says whether the process serves that part.
func (s *Config) Serves(part string) bool { return slices.Contains(s.ServedInterfaces, part) }

// HasContract says whether that part of the rules is in force.
func (s *Config) HasContract(name string) bool { return slices.Contains(s.Contracts, name) }
