// An experiment of the lab: the same days played by several sides. Fields that are not here are errors.
package experiment

#Experiment: {
	// What is to be found out, in a sentence.
	about: string
	// Scenarios that come with the program by their names, others by their files, seen from this one.
	scenarios: [string, ...string]
	seeds: {
		first: int & >=0 | *1
		count: int & >=1 & <=10000 | *3
	}
	// The sides, and which of them the others are held against.
	variants: {[=~"^[a-z0-9][a-z0-9-]*$"]: #Variant}
	against: string
	// Days with real processes that are played at once, each of which needs about a core; 0 for as many as
	// there are cores, less one. Days in virtual time come first, on all cores.
	side_by_side: int & >=0 & <=64 | *0
}

#Variant: {
	// Against the decision module alone, in virtual time; else with real processes.
	virtual: bool | *false
	// The couriers' program, seen from this file; the one beside raventrestle-lab where left out.
	courier?: string
	// Operators' settings instead of the scenario's.
	settings?: {...}
}
