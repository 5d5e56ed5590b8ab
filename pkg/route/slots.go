package route

// Slots prefers the member with the least work for each of its slots.
type Slots struct{}

// Name implements Factor.
func (Slots) Name() string {
	return "slots"
}

// Judge implements Factor. The work of other instances is known from the
// member's own count, which includes the statements of this one.
func (Slots) Judge(_ *Request, c *Candidate) Opinion {
	running := max(c.Running, c.Status.SlotsBusy)
	work := float64(running + c.Queued)
	return Opinion{
		Score:  work / float64(max(c.Slots, 1)),
		Reason: "replica has the most room",
	}
}
