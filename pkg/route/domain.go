package route

// remoteScore is the score of a member in another failure domain. One way takes
// about 1 ms, which matters less than one busy slot out of two or three.
const remoteScore = 0.25

// Domain prefers members in the failure domain of this instance.
type Domain struct{}

// Name implements Factor.
func (Domain) Name() string {
	return "domain"
}

// Assess implements Factor.
func (Domain) Assess(r *Request, c *Candidate) Assessment {
	if c.Domain == r.LocalDomain {
		return Assessment{Reason: "replica is in the same failure domain"}
	}
	return Assessment{Score: remoteScore, Reason: "replica is in another failure domain"}
}
