// The operators' settings of a courier. Every field has a unit in its name, a range and a default;
// a file need only say what differs. Fields that are not here are errors.
package settings

import "list"

#Settings: {
	// What the courier writes to standard error.
	log: {
		// One line for each event: key=value pairs, or a JSON object.
		format: *"text" | "json"
		// The least that is written. SIGHUP changes it.
		level: *"info" | "debug" | "warn" | "error"
	}

	// Where the operators' commands reach a running courier.
	admin: {
		// Path of a Unix socket, made with mode 0600; empty for none. At most 100 bytes.
		socket: *"" | =~"^/.{1,99}$"
	}

	// What the courier gave up as failed: kept, and sent again by a rule.
	undeliverable: {
		// Keep failed messages at all. Takes effect at the next start.
		keep: bool | *false
		// Folder of the store; empty for "undeliverable" in the folder that lasts. Next start.
		folder: *"" | =~"^/.+$"
		// Dead letters give way above this sum of their sizes. The file may be twice as large.
		max_bytes: int & >=65536 & <=1099511627776 | *67108864
		// Dead letters give way above this number.
		max_letters: int & >=1 & <=10000000 | *100000
		// Dead letters older than this are dropped, whatever became of them.
		max_age_s: number & >=1 & <=31536000 | *259200
		// A dead letter that has its end (delivered, discarded) stays to be looked at for so long.
		settled_age_s: number & >=0 & <=31536000 | *3600
		// Wait for the disk, so that dead letters outlast a power cut and not the process alone. Next start.
		sync: bool | *true

		// Sending again.
		resend: {
			// Send again without being asked.
			automatic: bool | *true
			// Resends of one dead letter, at most.
			max_resends: int & >=1 & <=100 | *5
			// A dead letter is not sent again later than this after its failure.
			last_date_s: number & >=1 & <=31536000 | *86400
			// The pace of one destination, in calls a second from all couriers together, of which each
			// takes its part: first, and at most.
			first_rate: number & >=0.01 & <=1000 | *1
			max_rate:   number & >=0.01 & <=10000 | *20
			// Each delivery raises the pace by this share of it.
			growth: number & >0 & <=4 | *0.25
			// After a failure the dead letter, and its destination, rest so long; twice as long after each more.
			backoff_s: number & >=0.05 & <=3600 | *2
			// The longest such rest.
			max_backoff_s: number & >=0.05 & <=86400 | *300
			// A rest is drawn shorter or longer by up to this share.
			jitter: number & >=0 & <=0.9 | *0.2
			// The most of the courier's slots, and of what it may hold, that resends take.
			slots_share: number & >0 & <=0.5 | *0.25
			held_share:  number & >0 & <=0.5 | *0.1
		}
	}

	// The couriers that share what they learn. Without this record nothing is shared and no port opened.
	// All couriers of a fleet have the same max_datagram, gossip_interval_s and keys.
	fleet?: {
		// Own address, IP:port, for UDP and TCP; loopback or private.
		bind: #Address
		// Address that the others reach this courier at, where it is not bind; empty for bind.
		advertise: *"" | #Address
		// Couriers to join, IP:port (names are not looked up: a fleet comes together without a name service).
		seeds: [...#Address] & list.MaxItems(64) | *[]
		// Name of the site (zone) that this courier is in.
		site: =~"^[A-Za-z0-9._-]{1,64}$"
		// File of base64 keys, one a line, of 16, 24 or 32 bytes: the first encrypts, all decrypt. Empty for none.
		key_file: *"" | =~"^/.+$"
		// Couriers known at once, at most; further ones are refused.
		max_members: int & >=2 & <=4096 | *512
		// Facts held, and the sum of their sizes, at most.
		max_facts: int & >=64 & <=1000000 | *8192
		max_bytes: int & >=65536 & <=16777216 | *2097152
		// Changes are passed on so often.
		gossip_interval_s: number & >=0.02 & <=10 | *0.5
		// One other courier is probed so often.
		probe_interval_s: number & >=0.05 & <=30 | *1
		// A seed that is not among the living is tried so often by the whole fleet: a member of n tries one on average
		// every n times this. It is also the longest wait of a courier that is alone.
		seeds_interval_s: number & >=0.1 & <=3600 | *15
		// Largest UDP packet, in bytes. What is longer goes by TCP.
		max_datagram: int & >=576 & <=8192 | *1400
	}

	// What the courier does, written for a check after a run. Without this record nothing is written. Next start.
	history?: {
		// Path of the file, made with mode 0600. The courier's lives follow one another in it; no other courier writes there.
		file: =~"^/.+$"
		// The file grows no larger. What comes then is counted and not written.
		max_bytes: int & >=65536 & <=1099511627776 | *268435456
	}
}

#Address: =~"^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[1-9][0-9]{0,4}$"
