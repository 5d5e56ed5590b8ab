package failover

// State returns the name of the group's state in the chart "group".
func (g *Group) State() string {
	return g.rules.group.StateName(g.state)
}
