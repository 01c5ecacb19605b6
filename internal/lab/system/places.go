package system

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
)

// Each process has a loopback address of its own, as each machine has one. All use the same ports, which are looked
// for anew in each run.
const (
	controlNet   = "127.77.0."
	routerNet    = "127.77.1."
	endpointNet  = "127.77.2."
	firstPort    = 20000
	portRange    = 10000
	portAttempts = 50

	portControl   = 0 // from the first port on
	portFront     = 1
	portReadiness = 2
	portEndpoint  = 3
	portInternal  = 4
	portsInternal = 4
	portsInAll    = portInternal + portsInternal
)

var errNoPorts = errors.New("no free ports found")

// places knows who listens where.
type places struct{ first int }

// findPlaces looks for ports that are free on all addresses.
func findPlaces() (places, error) {
	for range portAttempts {
		at := places{first: firstPort + rand.IntN(portRange)/portsInAll*portsInAll}
		if at.free() {
			return at, nil
		}
	}
	return places{}, errNoPorts
}

func (p places) free() bool {
	for _, prefix := range []string{controlNet, routerNet, endpointNet} {
		for port := range portsInAll {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, p.first+port))
			if err != nil {
				return false
			}
			_ = listener.Close() // it was only a try
		}
	}
	return true
}

func (p places) at(prefix string, number, port int) string {
	return fmt.Sprintf("%s%d:%d", prefix, number+1, p.first+port)
}

func (p places) control(number int) string   { return p.at(controlNet, number, portControl) }
func (p places) front(number int) string     { return p.at(routerNet, number, portFront) }
func (p places) readiness(number int) string { return p.at(routerNet, number, portReadiness) }
func (p places) endpoint(number int) string  { return p.at(endpointNet, number, portEndpoint) }

// zoneOf spreads everything over three zones.
func zoneOf(number int) string { return []string{"north", "east", "south"}[number%instances] }

// common is what all settings files have.
func (w *world) common(name, ip string, number int, bootstrap bool) string {
	var seeds []string
	for instance := range instances {
		seeds = append(seeds, w.places.control(instance))
	}
	return fmt.Sprintf(`node_name=%s
ip=%s
zone=%s
region=loopback
ephemeral_ports=%d,%d
seeds=%s
bootstrap=%t
limits.cores=1
limits.memory_mb=256
limits.max_fds=1024
heartbeat_ms=%d
fault_tolerance.machines=1
bounds.grace_s=%d
`, name, ip, zoneOf(number), w.places.first+portInternal, w.places.first+portInternal+portsInternal-1,
		strings.Join(seeds, ","), bootstrap, heartbeat.Milliseconds(), w.graceSeconds)
}

// controlSettings returns the settings file of a control instance. Bootstrap is true only at the first start of all.
func (w *world) controlSettings(number int, bootstrap bool) string {
	name := fmt.Sprintf("control-%d", number+1)
	return w.common(name, fmt.Sprintf("%s%d", controlNet, number+1), number, bootstrap) + fmt.Sprintf(`role=control
serves=control_plane
counts_for_quorum=true
listen.control=%s
data_dir=%s
`, w.places.control(number), w.dataDirectory(number))
}

func (w *world) dataDirectory(number int) string {
	return w.file(fmt.Sprintf("control-%d.data", number+1))
}

func (w *world) routerSettings(number int) string {
	name := fmt.Sprintf("router-%d", number+1)
	return w.common(name, fmt.Sprintf("%s%d", routerNet, number+1), number, true) + fmt.Sprintf(`role=router
serves=edge
listen.front=%s
listen.readiness=%s
`, w.places.front(number), w.places.readiness(number))
}
