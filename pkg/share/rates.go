package share

import (
	"math"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// accountDivision divides one account's rate and burst over the active slots. The
// elements of demand belong to the same slots as those of rate and burst.
type accountDivision struct {
	rate   *allocation
	burst  *allocation
	demand []float64
	floor  Rate
}

// accountLimits returns the account's rate and burst.
func accountLimits(a *catalogue.Account) (rate, burst Milli) {
	return Milli(a.Rate * MilliPerUnit), Milli(a.Burst * MilliPerUnit)
}

// divideAccount divides the rate and burst of one account over the active slots.
func (d *draft) divideAccount(name core.AccountName, active, lost []*Slot) {
	v := d.newAccountDivision(name, active, lost)
	v.setRateTargets()
	v.setBurstTargets()
	retained := d.table.RetainedFloors.Rates[name]
	v.rate.keepFloor(int64(retained.Rate))
	v.burst.keepFloor(int64(retained.Burst))
	settled := !v.rate.awaitingReduction() && !v.burst.awaitingReduction()
	if v.rate.overcommitted() || v.burst.overcommitted() || settled && v.needsRebalance() {
		v.rate.rebalance()
		v.burst.rebalance()
	}
	if v.hasUnallocated() {
		v.rate.distributeUnallocated(1)
		v.burst.distributeUnallocated(1)
	}
	d.storeRates(name, active, v)
}

// newAccountDivision collects the shares and the demand of one account. The
// limits of an account that the catalogue no longer contains are zero.
func (d *draft) newAccountDivision(name core.AccountName, active, lost []*Slot) *accountDivision {
	var limits Rate
	if account := d.allocator.catalogue.Account(name); account != nil {
		limits.Rate, limits.Burst = accountLimits(account)
	}
	v := &accountDivision{
		rate:   newAllocation(int64(limits.Rate), len(active)),
		burst:  newAllocation(int64(limits.Burst), len(active)),
		demand: make([]float64, len(active)),
	}
	for _, s := range lost {
		v.rate.heldByLost += int64(s.Accounts[name].Held.Rate)
		v.burst.heldByLost += int64(s.Accounts[name].Held.Burst)
	}
	for i, s := range active {
		r := s.Accounts[name]
		v.rate.held[i], v.rate.limit[i] = int64(r.Held.Rate), int64(r.Limit.Rate)
		v.burst.held[i], v.burst.limit[i] = int64(r.Held.Burst), int64(r.Limit.Burst)
		v.demand[i] = d.allocator.demand.account(s.Instance, name) * MilliPerUnit
	}
	v.floor = d.table.Floors.Rates[name]
	return v
}

// setRateTargets gives each slot the floor, then divides the rest max-min fair by
// demand. Capacity beyond all demand is headroom; it is divided in proportion to
// demand plus floor, because a large demand varies more than a small one.
func (v *accountDivision) setRateTargets() {
	n := int64(len(v.demand))
	if n == 0 {
		return
	}
	floor := int64(v.floor.Rate)
	wanted := make([]int64, n)
	weights := make([]float64, n)
	for i, demand := range v.demand {
		wanted[i] = max(int64(demand)-floor, 0)
		weights[i] = demand + float64(floor) + 1
	}
	rest := max(v.rate.available()-n*floor, 0)
	granted := maxMin(wanted, rest)
	headroom := proportional(weights, rest-sum(granted))
	for i := range granted {
		v.rate.target[i] = floor + granted[i] + headroom[i]
	}
}

// proportional divides amount in proportion to the weights, rounded down.
func proportional(weights []float64, amount int64) []int64 {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	parts := make([]int64, len(weights))
	for i, w := range weights {
		parts[i] = int64(float64(amount) * (w / total))
	}
	return parts
}

// maxMin divides amount max-min fair: no part exceeds the amount wanted, and none
// could grow without taking from a smaller one.
func maxMin(wanted []int64, amount int64) []int64 {
	order := make([]int, len(wanted))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(min(max(wanted[a]-wanted[b], -1), 1)) })
	granted := make([]int64, len(wanted))
	for position, i := range order {
		level := amount / int64(len(order)-position)
		granted[i] = min(wanted[i], level)
		amount -= granted[i]
	}
	return granted
}

// setBurstTargets divides the burst. Each slot first gets its floor, at least one
// statement, because a burst below one statement admits nothing. The rest is
// divided in proportion to the rate targets. If the burst is too small for all
// slots, slots with demand go first, and among them those that already have a
// statement.
func (v *accountDivision) setBurstTargets() {
	floor := max(int64(v.floor.Burst), MilliPerUnit)
	rest := v.burst.available()
	total := sum(v.rate.target)
	for _, i := range v.burstOrder() {
		v.burst.target[i] = min(floor, rest/floor*floor)
		rest -= v.burst.target[i]
	}
	if total == 0 || rest <= 0 {
		return
	}
	for i, rate := range v.rate.target {
		if v.burst.target[i] > 0 {
			v.burst.target[i] += int64(float64(rest) * (float64(rate) / float64(total)))
		}
	}
}

// burstOrder returns the slots in the order in which they get their first
// statement of burst.
func (v *accountDivision) burstOrder() []int {
	order := make([]int, len(v.demand))
	for i := range order {
		order[i] = i
	}
	rank := func(i int) int {
		switch {
		case v.demand[i] > 0 && v.burst.limit[i] >= MilliPerUnit:
			return 0
		case v.demand[i] > 0:
			return 1
		case v.burst.limit[i] >= MilliPerUnit:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(order, func(a, b int) int { return rank(a) - rank(b) })
	return order
}

// needsRebalance reports whether the shortfall justifies new limits: a slot is
// below its floor, a slot with demand cannot admit anything, one slot is far
// below its demand, or the shortfalls of all slots add up to a noticeable part of
// the account's rate.
func (v *accountDivision) needsRebalance() bool {
	total := 0.0
	for i, demand := range v.demand {
		limit := float64(v.rate.limit[i])
		if limit < floorTolerance*float64(v.floor.Rate) {
			return true
		}
		if demand > 0 && v.burst.limit[i] < MilliPerUnit && v.burst.target[i] >= MilliPerUnit {
			return true
		}
		shortfall := min(demand, float64(v.rate.target[i])) - limit
		noise := smoothedDeviation * math.Sqrt(demand*MilliPerUnit)
		if shortfall > slotNoiseFactor*noise {
			return true
		}
		total += max(shortfall-accountNoiseFactor*noise, 0)
	}
	return total > shortfallTolerance*float64(v.rate.capacity)
}

// hasUnallocated reports whether enough is unallocated to be worth a table write.
func (v *accountDivision) hasUnallocated() bool {
	return exceedsTolerance(v.rate) || exceedsTolerance(v.burst)
}

// exceedsTolerance reports whether more than unallocatedTolerance of the capacity
// is unallocated.
func exceedsTolerance(a *allocation) bool {
	return float64(a.unallocated()) > unallocatedTolerance*float64(a.capacity)
}

// storeRates writes the new shares in one account into the draft.
func (d *draft) storeRates(name core.AccountName, active []*Slot, v *accountDivision) {
	for i, s := range active {
		old := s.Accounts[name]
		next := RateShare{
			Held:  Rate{Rate: Milli(v.rate.held[i]), Burst: Milli(v.burst.held[i])},
			Limit: Rate{Rate: Milli(v.rate.limit[i]), Burst: Milli(v.burst.limit[i])},
		}
		if next == old {
			continue
		}
		if next.Limit.Rate < old.Limit.Rate || next.Limit.Burst < old.Limit.Burst {
			s.RatesLowered = d.table.Revision
		}
		s.setRate(name, next)
		d.changed = true
	}
}
