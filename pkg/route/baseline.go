package route

// PrimaryOnly is the baseline that sends every read to the primary.
type PrimaryOnly struct{}

// Name implements Policy.
func (PrimaryOnly) Name() string {
	return "primary"
}

// Choose implements Policy. It never takes a replica.
func (PrimaryOnly) Choose(*Request, []Candidate) Choice {
	return none("all reads go to the primary")
}

// RoundRobin is the baseline that takes the replicas in turn, passing over
// those that would break a guarantee.
type RoundRobin struct {
	next int
}

// Name implements Policy.
func (*RoundRobin) Name() string {
	return "round robin"
}

// Choose implements Policy.
func (p *RoundRobin) Choose(r *Request, candidates []Candidate) Choice {
	reason := "no replica is known"
	for range candidates {
		i := p.next % len(candidates)
		p.next = i + 1
		c := &candidates[i]
		if c.Primary {
			continue
		}
		if !c.Reachable || c.Status == nil {
			reason = "replica is suspected or unreachable"
			continue
		}
		opinion := Lag{}.Judge(r, c)
		if opinion.Advice == Exclude {
			reason = opinion.Reason
			continue
		}
		return Choice{Index: i, Reason: "replica is next in turn"}
	}
	return none(reason)
}
