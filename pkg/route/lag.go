package route

// lagWeight is small so that lag decides between eligible replicas only if the
// other factors are about equal.
const lagWeight = 0.2

// Lag excludes a member that has not applied the floor or exceeds the accepted
// staleness, and prefers the one with less lag.
type Lag struct{}

// Name implements Factor.
func (Lag) Name() string {
	return "lag"
}

// Assess implements Factor.
func (Lag) Assess(r *Request, c *Candidate) Assessment {
	if !c.Status.Covers(r.Floor) {
		return Assessment{Eligibility: Excluded, Reason: "replica has not applied the session's floor"}
	}
	if c.Age > r.MaxAge {
		return Assessment{Eligibility: Excluded, Reason: "replica is older than the accepted staleness"}
	}
	if r.MaxAge <= 0 {
		return Assessment{Reason: "replica is up to date"}
	}
	fraction := float64(c.Age) / float64(r.MaxAge)
	return Assessment{Score: lagWeight * fraction, Reason: "replica is fresh enough"}
}
