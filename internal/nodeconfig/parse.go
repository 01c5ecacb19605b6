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
	defaultHeartbeat         = 1200 * time.Millisecond
	defaultCPUShare          = 0.25 // of a core
	defaultMemoryMB          = 256
	defaultMaxFDs            = 1024
	defaultLinkMbps          = 1000
	defaultToleratedMachines = 1
	defaultLogLevel          = "info"
	zonesPrefix              = "zones."
	ephemeralPortsKey        = "ephemeral_ports"
	toleratedMachinesKey     = "fault_tolerance.machines"
	maxPort                  = 65535
	portsInEphemeralKey      = 2 // first and last
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// FromEnvironment reads and checks the settings file that EnvironmentVariable names.
func FromEnvironment() (*Config, error) {
	path := os.Getenv(EnvironmentVariable)
	if path == "" {
		return nil, fmt.Errorf("settings: variable %s is not set", EnvironmentVariable)
	}
	return Load(path)
}

// Load reads and checks a settings file. Its error names the file and, where the content is at fault, is that of Parse.
func Load(path string) (*Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, body)
}

// Parse checks the text of a settings file, whose name is used in errors only. Its error wraps a KeyError for each key
// that is missing or malformed, or says why the text is no properties file.
func Parse(file string, body []byte) (*Config, error) {
	r, err := newReader(file, body)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Config{
		NodeName:          r.required("node_name"),
		Role:              r.required("role"),
		MachineClass:      r.text("machine_class", ""),
		ServedInterfaces:  r.requiredList("serves"),
		IP:                r.requiredIP("ip"),
		Zone:              r.required("zone"),
		Zones:             r.withPrefix(zonesPrefix),
		Seeds:             r.seeds(),
		Bootstrap:         r.boolean("bootstrap", false),
		CountsForQuorum:   r.boolean("counts_for_quorum", false),
		Limits:            readLimits(r),
		DataDir:           r.text("data_dir", ""),
		HeartbeatInterval: r.milliseconds("heartbeat_ms", defaultHeartbeat),
		LogLevel:          r.logLevel(),
		MetricsAddress:    r.optionalAddress("listen.metrics"),
		Contracts:         r.optionalList("contracts"),
		Bounds:            readBounds(r),
	}
	c.Region = r.text("region", c.Zones[c.Zone])
	c.FirstEphemeralPort, c.LastEphemeralPort = r.ephemeralPorts()
	readTolerance(r, c)
	readListeners(r, c)
	if err := r.err(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

// readLimits reads what the machine allows.
func readLimits(r *fileReader) Limits {
	return Limits{
		CPUShare: r.nonNegative("limits.cpu_share", defaultCPUShare),
		Cores:    max(1, r.integer("limits.cores", 1)),
		MemoryMB: r.integer("limits.memory_mb", defaultMemoryMB),
		MaxFDs:   r.integer("limits.max_fds", defaultMaxFDs),
		LinkMbps: r.nonNegative("limits.link_mbps", defaultLinkMbps),
		DiskMB:   r.integer("limits.disk_mb", 0),
	}
}

// readTolerance reads how many machines, zones and regions may be lost at once.
func readTolerance(r *fileReader, c *Config) {
	c.FaultToleranceSpecified = r.text(toleratedMachinesKey, "") != ""
	c.FaultToleranceMachines = r.integer(toleratedMachinesKey, defaultToleratedMachines)
	c.FaultToleranceZones = r.integer("fault_tolerance.zones", 0)
	c.FaultToleranceRegions = r.integer("fault_tolerance.regions", 0)
}

// readListeners reads the addresses to listen on. Those of a served interface are required, and for the control plane a
// directory for its state.
func readListeners(r *fileReader, c *Config) {
	c.IngressAddress = r.optionalAddress("listen.front")
	c.ReadinessAddress = r.optionalAddress("listen.readiness")
	c.ControlAddress = r.optionalAddress("listen.control")
	if c.Serves(InterfaceEdge) {
		r.required("listen.front")
		r.required("listen.readiness")
	}
	if c.Serves(InterfaceControlPlane) {
		r.required("listen.control")
		r.required("data_dir")
	}
}

func (r *fileReader) seeds() []string {
	const key = "seeds"
	seeds := r.requiredList(key)
	for _, seed := range seeds {
		r.checkAddress(key, seed)
	}
	return seeds
}

func (r *fileReader) ephemeralPorts() (first, last int) {
	value := r.required(ephemeralPortsKey)
	if value == "" {
		return 0, 0
	}
	ports := r.optionalList(ephemeralPortsKey)
	if len(ports) != portsInEphemeralKey {
		r.addError(ephemeralPortsKey, "%q is not FIRST,LAST", value)
		return 0, 0
	}
	first, errFirst := strconv.Atoi(ports[0])
	last, errLast := strconv.Atoi(ports[1])
	if errFirst != nil || errLast != nil || first < 1 || last < first || last > maxPort {
		r.addError(ephemeralPortsKey, "%q is not a range of ports", value)
	}
	return first, last
}

func (r *fileReader) logLevel() string {
	const key = "log.level"
	level := strings.ToLower(r.text(key, defaultLogLevel))
	if !slices.Contains(logLevels, level) {
		r.addError(key, "%q is none of %s", level, strings.Join(logLevels, ", "))
	}
	return level
}
