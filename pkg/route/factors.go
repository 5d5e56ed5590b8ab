package route

// Factors is the policy that chooses the replica with the lowest sum of scores over
// all factors.
type Factors struct {
	factors []Factor
}

// NewFactors returns a policy with the given factors, or with all factors at their
// default settings if none is given.
func NewFactors(factors ...Factor) *Factors {
	if len(factors) == 0 {
		factors = []Factor{Lag{}, Slots{}, Domain{}, Latency{Limit: DefaultLatencyLimit}}
	}
	return &Factors{factors: factors}
}

// Name implements Policy.
func (p *Factors) Name() string {
	return "factors"
}

// Choose implements Policy.
func (p *Factors) Choose(r *Request, candidates []Candidate) Choice {
	best := noChoice("no replica is known")
	lowest := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Primary {
			continue
		}
		score, assessment := p.assess(r, c)
		if assessment.Eligibility == Excluded {
			if best.Index < 0 {
				best.Reason = assessment.Reason
			}
			continue
		}
		if best.Index < 0 || score < lowest {
			lowest = score
			best = Choice{Index: i, Reason: assessment.Reason}
		}
	}
	return best
}

// assess returns the sum of the scores, and the assessment that excludes the
// candidate or, if none does, the one with the highest score.
func (p *Factors) assess(r *Request, c *Candidate) (float64, Assessment) {
	if !c.Reachable || c.Status == nil {
		return 0, Assessment{Eligibility: Excluded, Reason: "replica is suspected or unreachable"}
	}
	sum := 0.0
	decisive := Assessment{Score: -1}
	for _, f := range p.factors {
		a := f.Assess(r, c)
		if a.Eligibility == Excluded {
			return 0, a
		}
		sum += a.Score
		if a.Score > decisive.Score {
			decisive = a
		}
	}
	return sum, decisive
}
