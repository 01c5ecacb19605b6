package node

import (
	"net"
	"strconv"

	"raventrestle/internal/nodeconfig"
)

// reloadSeeds takes over the seeds of the settings file. Its other settings apply at the next start.
func (n *Node) reloadSeeds() {
	config, err := n.readConfig()
	if err != nil {
		n.log.Error().Err(err).Msg("settings.rejected")
		return
	}
	n.subscription.SetSeeds(seedAddresses(config))
	n.log.Info().Strs("seeds", config.Seeds).Msg("settings.reloaded")
}

// readSeeds returns the seeds of the settings file, those of the start if it can't be read.
func (n *Node) readSeeds() []string {
	config, err := n.readConfig()
	if err != nil {
		config = n.config
	}
	return seedAddresses(config)
}

// seedAddresses returns the addresses on which the seeds listen for routers: their IPs with the first ephemeral port. A
// seed that is no address is left out.
func seedAddresses(config *nodeconfig.Config) []string {
	var addresses []string
	for _, seed := range config.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(config.FirstEphemeralPort)))
	}
	return addresses
}
