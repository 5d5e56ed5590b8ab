package route

// Slots prefers the member with the least work per slot, and excludes one that may
// get no further statement at present.
type Slots struct{}

// Name implements Factor.
func (Slots) Name() string {
	return "slots"
}

// Assess implements Factor. The statements of other instances are known from the
// member's own count, which includes those of this instance.
func (Slots) Assess(_ *Request, c *Candidate) Assessment {
	if c.Exhausted {
		return Assessment{Eligibility: Excluded, Reason: "the replica's allowance is used up"}
	}
	running := max(c.Running, c.Status.SlotsBusy)
	load := float64(running + c.Queued)
	return Assessment{
		Score:  load / float64(max(c.Slots, 1)),
		Reason: "replica has the most room",
	}
}
