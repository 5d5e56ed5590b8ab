package route

// remoteScore is the cost of leaving the failure domain. One way is about 1 ms,
// which is worth less than one busy slot out of two or three.
const remoteScore = 0.25

// Domain prefers members in the failure domain of this instance.
type Domain struct{}

// Name implements Factor.
func (Domain) Name() string {
	return "domain"
}

// Judge implements Factor.
func (Domain) Judge(r *Request, c *Candidate) Opinion {
	if c.Domain == r.Home {
		return Opinion{Reason: "replica is in the same failure domain"}
	}
	return Opinion{Score: remoteScore, Reason: "replica is in another failure domain"}
}
