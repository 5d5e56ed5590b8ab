package route

// Factors is the policy that adds the scores of all factors over the replicas
// and takes the lowest sum.
type Factors struct {
	factors []Factor
}

// NewFactors returns a policy of the given factors, or of all of them with
// their default settings when none is given.
func NewFactors(factors ...Factor) *Factors {
	if len(factors) == 0 {
		factors = []Factor{Lag{}, Slots{}, Domain{}, Latency{Slow: DefaultSlow}}
	}
	return &Factors{factors: factors}
}

// Name implements Policy.
func (p *Factors) Name() string {
	return "factors"
}

// Choose implements Policy.
func (p *Factors) Choose(r *Request, candidates []Candidate) Choice {
	best := none("no replica is known")
	lowest := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Primary {
			continue
		}
		score, opinion := p.judge(r, c)
		if opinion.Advice == Exclude {
			if best.Index < 0 {
				best.Reason = opinion.Reason
			}
			continue
		}
		if best.Index < 0 || score < lowest {
			lowest = score
			best = Choice{Index: i, Reason: opinion.Reason}
		}
	}
	return best
}

// judge returns the sum of the scores, and the opinion that excludes the
// candidate or else the one that weighs most.
func (p *Factors) judge(r *Request, c *Candidate) (float64, Opinion) {
	if !c.Reachable || c.Status == nil {
		return 0, Opinion{Advice: Exclude, Reason: "replica is suspected or unreachable"}
	}
	sum := 0.0
	deciding := Opinion{Score: -1}
	for _, f := range p.factors {
		o := f.Judge(r, c)
		if o.Advice == Exclude {
			return 0, o
		}
		sum += o.Score
		if o.Score > deciding.Score {
			deciding = o
		}
	}
	return sum, deciding
}
