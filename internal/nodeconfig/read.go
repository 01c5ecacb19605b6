package nodeconfig

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	defaultHeartbeat    = 1200 * time.Millisecond
	defaultCPUShare     = 0.25 // of a core
	defaultMemoryMB     = 256
	defaultMaxFDs       = 1024
	defaultLinkMbps     = 1000
	defaultTolerated    = 1 // machines
	defaultLogLevel     = "info"
	zonesPrefix         = "zones."
	ephemeralPortsKey   = "ephemeral_ports"
	toleratedKey        = "fault_tolerance.machines"
	largestPort         = 65535
	portsInEphemeralKey = 2
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// FromEnvironment reads the file that EnvironmentVariable names.
func FromEnvironment() (*Settings, error) {
	path := os.Getenv(EnvironmentVariable)
	if path == "" {
		return nil, fmt.Errorf("settings: variable %s is not set", EnvironmentVariable)
	}
	return Load(path)
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, body)
}

// Parse reads and checks the text of a settings file. Its error joins a Fault for each key in fault.
func Parse(file string, body []byte) (*Settings, error) {
	r, err := newReader(file, body)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{
		NodeName:        r.need("node_name"),
		Role:            r.need("role"),
		Class:           r.text("machine_class", ""),
		Serves:          r.list("serves"),
		IP:              r.ip("ip"),
		Zone:            r.need("zone"),
		Zones:           r.under(zonesPrefix),
		Seeds:           r.seeds(),
		Bootstrap:       r.truth("bootstrap", false),
		CountsForQuorum: r.truth("counts_for_quorum", false),
		Limits:          readLimits(r),
		DataDir:         r.text("data_dir", ""),
		Heartbeat:       r.milliseconds("heartbeat_ms", defaultHeartbeat),
		LogLevel:        r.logLevel(),
		ListenMetrics:   r.optionalAddress("listen.metrics"),
		Contracts:       r.optionalList("contracts"),
		Bounds:          readBounds(r),
	}
	s.Region = r.text("region", s.Zones[s.Zone])
	s.EphemeralFirst, s.EphemeralLast = r.ephemeralPorts()
	readTolerance(r, s)
	readListeners(r, s)
	if err := r.err(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func readLimits(r *reader) Limits {
	return Limits{
		CPUShare: r.fraction("limits.cpu_share", defaultCPUShare),
		Cores:    max(1, r.whole("limits.cores", 1)),
		MemoryMB: r.whole("limits.memory_mb", defaultMemoryMB),
		MaxFDs:   r.whole("limits.max_fds", defaultMaxFDs),
		LinkMbps: r.fraction("limits.link_mbps", defaultLinkMbps),
		DiskMB:   r.whole("limits.disk_mb", 0),
	}
}

func readTolerance(r *reader, s *Settings) {
	s.FaultToleranceSpecified = r.text(toleratedKey, "") != ""
	s.FaultToleranceMachines = r.whole(toleratedKey, defaultTolerated)
	s.FaultToleranceZones = r.whole("fault_tolerance.zones", 0)
	s.FaultToleranceRegions = r.whole("fault_tolerance.regions", 0)
}

// readListeners needs the addresses of what is served, and a folder where the control state is kept.
func readListeners(r *reader, s *Settings) {
	s.ListenFront = r.optionalAddress("listen.front")
	s.ListenReadiness = r.optionalAddress("listen.readiness")
	s.ListenControl = r.optionalAddress("listen.control")
	if s.ServesRole(ServesEdge) {
		r.need("listen.front")
		r.need("listen.readiness")
	}
	if s.ServesRole(ServesControlPlane) {
		r.need("listen.control")
		r.need("data_dir")
	}
}

func (r *reader) seeds() []string {
	const key = "seeds"
	seeds := r.list(key)
	for _, seed := range seeds {
		r.checkAddress(key, seed)
	}
	return seeds
}

func (r *reader) ephemeralPorts() (first, last int) {
	value := r.need(ephemeralPortsKey)
	if value == "" {
		return 0, 0
	}
	ports := r.optionalList(ephemeralPortsKey)
	if len(ports) != portsInEphemeralKey {
		r.fault(ephemeralPortsKey, "%q is not FIRST,LAST", value)
		return 0, 0
	}
	first, errFirst := strconv.Atoi(ports[0])
	last, errLast := strconv.Atoi(ports[1])
	if errFirst != nil || errLast != nil || first < 1 || last < first || last > largestPort {
		r.fault(ephemeralPortsKey, "%q is not a range of ports", value)
	}
	return first, last
}

func (r *reader) logLevel() string {
	const key = "log.level"
	level := strings.ToLower(r.text(key, defaultLogLevel))
	if !slices.Contains(logLevels, level) {
		r.fault(key, "%q is none of %s", level, strings.Join(logLevels, ", "))
	}
	return level
}
