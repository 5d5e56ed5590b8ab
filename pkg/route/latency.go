package route

import "time"

// DefaultSlow is the status round trip beyond which a replica gets no work. A
// healthy one answers within about 2 ms between failure domains.
const DefaultSlow = 250 * time.Millisecond

// latencyUnit is the latency that scores 1.
const latencyUnit = 20 * time.Millisecond

// openingScore stands for the time to open a first connection (12 to 27 ms in
// the reference deployments).
const openingScore = 0.5

// replacingScore stands for closing a connection to another member first. It
// keeps reads from taking the connection that the next write needs.
const replacingScore = 2

// Latency excludes a slow member, and prefers one that answers quickly and has
// an open connection.
type Latency struct {
	// Slow is the round trip beyond which a member gets no work; 0 is no bound.
	Slow time.Duration
}

// Name implements Factor.
func (Latency) Name() string {
	return "latency"
}

// Judge implements Factor.
func (l Latency) Judge(_ *Request, c *Candidate) Opinion {
	if l.Slow > 0 && c.Latency > l.Slow {
		return Opinion{Advice: Exclude, Reason: "replica responds slowly"}
	}
	score := float64(c.Latency+c.Service) / float64(latencyUnit)
	if c.Connections == 0 {
		score += firstConnection(c.Full)
	}
	return Opinion{Score: score, Reason: "replica responds quickest"}
}

func firstConnection(full bool) float64 {
	if full {
		return replacingScore
	}
	return openingScore
}
