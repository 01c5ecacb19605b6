package nodeconfig

import (
	"slices"
	"time"
)

// EnvironmentVariable is the variable with the path of the settings file.
const EnvironmentVariable = "RAVENTRESTLE_SETTINGS"

// The interfaces that a role may serve to callers outside, as the deploy file and the key "serves" name them.
const (
	InterfaceEdge         = "edge"          // requests of clients
	InterfaceControlPlane = "control_plane" // calls of endpoints and of the operator
)

// Config is the settings file of one process. Addresses are IP:port. It is not changed once it has been read.
type Config struct {
	NodeName         string
	Role             string   // name of the role in the deploy file
	MachineClass     string   // edge or core
	ServedInterfaces []string // InterfaceEdge, InterfaceControlPlane; may be empty

	IP     string
	Zone   string
	Region string            // by default the region that Zones gives for Zone
	Zones  map[string]string // zone to region

	IngressAddress     string   // for clients (listen.front); required with InterfaceEdge
	ReadinessAddress   string   // for the platform's readiness probe; required with InterfaceEdge
	ControlAddress     string   // for endpoints and the operator; required with InterfaceControlPlane
	MetricsAddress     string   // "" for none
	FirstEphemeralPort int      // first of the ports for the processes' own protocol
	LastEphemeralPort  int      // last of them
	Seeds              []string // control addresses of some control instances; may be empty

	Bootstrap         bool // the system starts for the first time, with empty disks
	CountsForQuorum   bool // the machine counts for the fault tolerance
	Limits            Limits
	DataDir           string        // "" where the machine has no disk; required with InterfaceControlPlane
	HeartbeatInterval time.Duration // of endpoints
	LogLevel          string        // trace, debug, info, warn or error

	Contracts               []string // names of the parts of the rules that are in force
	FaultToleranceMachines  int      // lost at once, with all rules kept
	FaultToleranceZones     int
	FaultToleranceRegions   int
	Bounds                  Bounds
	FaultToleranceSpecified bool // false where the file has no fault_tolerance.machines, and one machine is assumed
}

// Limits is what the machine allows this process.
type Limits struct {
	CPUShare float64 // of a core
	Cores    int     // that the machine shows
	MemoryMB int     // in MiB; 0: unlimited
	MaxFDs   int     // file descriptors, sockets among them
	LinkMbps float64 // megabits per second
	DiskMB   int
}

// Bounds is the bounds of the rules (RULES.md). A bound that the file lacks has the default beside its key in bounds.go.
type Bounds struct {
	SeedListLag              time.Duration // of the operator's list of control addresses
	AddressReuseDelay        time.Duration // after which an endpoint's address may be another endpoint's
	LivenessWindow           time.Duration // a machine that was undisturbed for so long is in touch
	AckTimeout               time.Duration // for changes of the configuration and for deregistrations
	CatchUpTimeout           time.Duration // a machine that has returned counts as lost for so long
	DrainTimeout             time.Duration // from an acknowledged deregistration until no request may be sent
	GracePeriod              time.Duration // from SIGTERM to SIGKILL
	LostRequestTimeout       time.Duration // a request that was read so long ago must be answered at the end
	ConfigPropagationTimeout time.Duration // from a version's acknowledgement until it is in force everywhere
	DowngradeWindow          time.Duration // from a version's first effect until older ones must not be followed
	PartitionAllowance       time.Duration // added to ConfigPropagationTimeout while the core is unstable
	StrictRevocation         bool
	RevocationTimeout        time.Duration
	RetryBudgetRatio         float64 // further attempts for each request, over all routers
	RetryBudgetWindow        time.Duration
	RetryBudgetSlack         float64 // further attempts on top
	QuotaWindow              time.Duration
	QuotaOverrunRatio        float64 // share of a tenant's limit by which it may be exceeded
	QuotaSlack               float64 // on top, in the tenant's unit
	RecoveryTimeout          time.Duration
	EventForwardTimeout      time.Duration // from an endpoint's event until the client has it
	Again                    time.Duration // again_s; no page explains it, and nothing uses it
	FencingEnabled           bool          // endpoints check the fencing token
	LeaseTTL                 time.Duration // time between the orders of different leaders
	ThawWindow               time.Duration // orders this soon after a freeze or a partition don't count
	LoadRateWindow           time.Duration // of the load rate limit
	LoadRateFactor           float64       // loads that may begin, as a multiple of what the weight store allows
}

// Serves reports whether the process serves an interface to callers outside.
func (c *Config) Serves(name string) bool { return slices.Contains(c.ServedInterfaces, name) }

// HasContract reports whether a part of the rules is in force.
func (c *Config) HasContract(name string) bool { return slices.Contains(c.Contracts, name) }
