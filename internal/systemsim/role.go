package systemsim

// stepRolePeriodically steps the leadership as the leader's loop does: at intervals, beside the changes of the status.
func (i *instance) stepRolePeriodically() {
	i.stepRole()
	i.after(roleInterval, i.stepRolePeriodically)
}

// stepRole stands in for the leader of the singleton roles: it acts whenever it may.
func (i *instance) stepRole() {
	i.role = i.leadership.Step(i.clock(), i.currentStatus())
	if i.role.MayAct {
		i.world.recordRoleAction(i)
	}
}

// mayAct says whether the instance may act in the singleton roles at this moment.
func (i *instance) mayAct() bool {
	return i.running && !i.frozen && i.role.MayAct && i.currentStatus().IsLeader
}
