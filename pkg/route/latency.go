package route

import "time"

// DefaultLatencyLimit is the status round-trip time above which a replica gets no
// reads. A healthy replica responds within about 2 ms between failure domains.
const DefaultLatencyLimit = 250 * time.Millisecond

// latencyUnit is the latency that scores 1.
const latencyUnit = 20 * time.Millisecond

// newConnectionScore represents the time to open a first connection to the member
// (12 to 27 ms in the reference deployments).
const newConnectionScore = 0.5

// replaceConnectionScore represents closing a connection to another member first.
// It keeps reads from taking the connection that the next write needs.
const replaceConnectionScore = 2

// Latency excludes a slow member, and prefers one that responds quickly and to
// which a connection is open.
type Latency struct {
	// Limit is the status round-trip time above which a member gets no reads; 0
	// means no limit.
	Limit time.Duration
}

// Name implements Factor.
func (Latency) Name() string {
	return "latency"
}

// Assess implements Factor.
func (l Latency) Assess(_ *Request, c *Candidate) Assessment {
	if l.Limit > 0 && c.Latency > l.Limit {
		return Assessment{Eligibility: Excluded, Reason: "replica responds slowly"}
	}
	score := float64(c.Latency+c.Service) / float64(latencyUnit)
	if c.Connections == 0 {
		score += firstConnectionScore(c.MustReplace)
	}
	return Assessment{Score: score, Reason: "replica responds quickest"}
}

// firstConnectionScore returns the score of a member without an open connection.
// mustReplace is set when another connection must be closed first.
func firstConnectionScore(mustReplace bool) float64 {
	if mustReplace {
		return replaceConnectionScore
	}
	return newConnectionScore
}
