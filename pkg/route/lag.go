package route

// lagWeight keeps lag from deciding between replicas that both qualify unless
// the other factors are equal.
const lagWeight = 0.2

// Lag excludes a member that has not applied the floor or is older than the
// accepted staleness, and prefers the fresher one.
type Lag struct{}

// Name implements Factor.
func (Lag) Name() string {
	return "lag"
}

// Judge implements Factor.
func (Lag) Judge(r *Request, c *Candidate) Opinion {
	if !c.Status.Covers(r.Floor) {
		return Opinion{Advice: Exclude, Reason: "replica has not applied the session's floor"}
	}
	if c.Age > r.MaxAge {
		return Opinion{Advice: Exclude, Reason: "replica is older than the accepted staleness"}
	}
	if r.MaxAge <= 0 {
		return Opinion{Reason: "replica is up to date"}
	}
	share := float64(c.Age) / float64(r.MaxAge)
	return Opinion{Score: lagWeight * share, Reason: "replica is fresh enough"}
}
