package route

// PrimaryOnly is the baseline policy that sends every read to the primary.
type PrimaryOnly struct{}

// Name implements Policy.
func (PrimaryOnly) Name() string {
	return "primary"
}

// Choose implements Policy. It never chooses a replica.
func (PrimaryOnly) Choose(*Request, []Candidate) Choice {
	return noChoice("all reads go to the primary")
}

// RoundRobin is the baseline policy that uses the replicas in turn and skips those
// that would violate the floor or the accepted staleness.
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
		assessment := Lag{}.Assess(r, c)
		if assessment.Eligibility == Excluded {
			reason = assessment.Reason
			continue
		}
		return Choice{Index: i, Reason: "replica is next in turn"}
	}
	return noChoice(reason)
}
