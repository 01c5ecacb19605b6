package systemsim

// stepRolePeriodically looks at the role as its holder's loop does: now and then, and when the replica's status moves.
func (i *instance) stepRolePeriodically() {
	i.stepRole()
	i.after(roleInterval, i.stepRolePeriodically)
}

// stepRole stands in for the holder of the roles: it notes that it acts whenever it may.
func (i *instance) stepRole() {
	i.role = i.leadership.Step(i.clock(), i.currentStatus())
	if i.role.MayAct {
		i.world.recordRoleAction(i)
	}
}

// mayAct tells whether the instance may act in a role at this moment.
func (i *instance) mayAct() bool {
	return i.running && !i.frozen && i.role.MayAct && i.currentStatus().IsLeader
}
