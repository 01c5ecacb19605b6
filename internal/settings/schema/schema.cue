// The operators' settings of a courier. The name of a field includes its unit, and most fields have a range and a
// default. A file contains only what differs from the defaults. Unknown fields are errors.
package settings

import "list"

#Settings: {
	// The log on standard error.
	log: {
		// One line for each event: key=value pairs, or a JSON object.
		format: *"text" | "json"
		// Lowest level that is logged. A reload by SIGHUP changes it.
		level: *"info" | "debug" | "warn" | "error"
	}

	// The socket through which the operators' commands reach a running courier.
	admin: {
		// Path of the Unix socket, created with mode 0600; empty for none. At most 100 bytes.
		socket: *"" | =~"^/.{1,99}$"
	}

	// The store of dead letters: messages whose delivery failed for good. They can be sent again.
	undeliverable: {
		// Whether failed messages are stored. A change takes effect at the next start.
		keep: bool | *false
		// Directory of the store; empty for "undeliverable" in the state directory. A change takes effect at the next start.
		folder: *"" | =~"^/.+$"
		// Maximum total size of the dead letters; above it, some are dropped. The file may be twice as large.
		max_bytes: int & >=65536 & <=1099511627776 | *67108864
		// Maximum number of dead letters; above it, some are dropped.
		max_letters: int & >=1 & <=10000000 | *100000
		// Dead letters older than this are dropped in any state.
		max_age_s: number & >=1 & <=31536000 | *259200
		// How long a delivered or discarded dead letter stays visible.
		settled_age_s: number & >=0 & <=31536000 | *3600
		// Whether writes are synced to the disk, so that dead letters survive a power failure and not only a crash of the
		// process. A change takes effect at the next start.
		sync: bool | *true

		// Repeated delivery of dead letters.
		resend: {
			// Whether dead letters are sent again without an operator's command.
			automatic: bool | *true
			// Maximum number of resends of one dead letter.
			max_resends: int & >=1 & <=100 | *5
			// A dead letter is no longer sent again when this much time has passed since its failure.
			last_date_s: number & >=1 & <=31536000 | *86400
			// Initial and maximum rate to one destination, in calls per second of all couriers together. Each courier uses
			// its share of the rate.
			first_rate: number & >=0.01 & <=1000 | *1
			max_rate:   number & >=0.01 & <=10000 | *20
			// Each successful delivery raises the rate by this fraction of it.
			growth: number & >0 & <=4 | *0.25
			// Backoff of a dead letter and of its destination after a failure. It doubles with each further failure.
			backoff_s: number & >=0.05 & <=3600 | *2
			// Maximum backoff.
			max_backoff_s: number & >=0.05 & <=86400 | *300
			// Each backoff is shortened or extended at random by up to this fraction.
			jitter: number & >=0 & <=0.9 | *0.2
			// Maximum fraction of the courier's call slots, and of the messages that it may hold, that resends use.
			slots_share: number & >0 & <=0.5 | *0.25
			held_share:  number & >0 & <=0.5 | *0.1
		}
	}

	// Gossip between couriers, which share what they learn. Without this record nothing is shared and no port is opened.
	// All couriers of a fleet need the same max_datagram, gossip_interval_s and keys.
	fleet?: {
		// Address to listen on, IP:port, for UDP and TCP; loopback or private.
		bind: #Address
		// Address at which other couriers reach this one, if it differs from bind; empty for bind.
		advertise: *"" | #Address
		// Couriers to join, IP:port. Host names are not accepted, so that a fleet can form without a name service.
		seeds: [...#Address] & list.MaxItems(64) | *[]
		// Name of the site (zone) that this courier is in.
		site: =~"^[A-Za-z0-9._-]{1,64}$"
		// File of base64 keys of 16, 24 or 32 bytes, one per line. The first encrypts, all decrypt. Empty for no encryption.
		key_file: *"" | =~"^/.+$"
		// Maximum number of known couriers; further ones are refused.
		max_members: int & >=2 & <=4096 | *512
		// Maximum number of stored facts, and their maximum total size.
		max_facts: int & >=64 & <=1000000 | *8192
		max_bytes: int & >=65536 & <=16777216 | *2097152
		// Interval at which changes are sent to other couriers.
		gossip_interval_s: number & >=0.02 & <=10 | *0.5
		// Interval at which one other courier is probed.
		probe_interval_s: number & >=0.05 & <=30 | *1
		// Interval at which the fleet together tries to join a seed that is not a live member: each of n members tries one
		// every n intervals on average. It is also the longest wait between attempts of a courier that is alone.
		seeds_interval_s: number & >=0.1 & <=3600 | *15
		// Maximum size of a UDP packet in bytes. Longer messages use TCP.
		max_datagram: int & >=576 & <=8192 | *1400
	}

	// A record of the courier's actions, to be checked after a run. Without this record nothing is written. A change takes
	// effect at the next start.
	history?: {
		// Path of the file, created with mode 0600. Each process of the courier appends to it; no other courier may use it.
		file: =~"^/.+$"
		// Maximum size of the file. Further records are dropped and counted.
		max_bytes: int & >=65536 & <=1099511627776 | *268435456
	}
}

#Address: =~"^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[1-9][0-9]{0,4}$"
