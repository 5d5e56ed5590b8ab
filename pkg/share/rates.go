package share

import (
	"math"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// accountDivision divides one account's rate and burst.
type accountDivision struct {
	rate   *quantity
	burst  *quantity
	demand []float64
	floor  Rate
}

// limitsOf returns the account's rate and burst.
func limitsOf(a *catalogue.Account) (rate, burst Milli) {
	return Milli(a.Rate * MilliPerUnit), Milli(a.Burst * MilliPerUnit)
}

func (d *draft) divideAccount(name core.AccountName, active, lost []*Slot) {
	v := d.newAccountDivision(name, active, lost)
	v.setRateTargets()
	v.setBurstTargets()
	guard := d.table.Guards.Rates[name]
	v.rate.keep(int64(guard.Rate))
	v.burst.keep(int64(guard.Burst))
	settled := !v.rate.pending() && !v.burst.pending()
	if v.rate.excess() || v.burst.excess() || settled && v.needed() {
		v.rate.move()
		v.burst.move()
	}
	if v.unused() {
		v.rate.grow(1)
		v.burst.grow(1)
	}
	d.storeRates(name, active, v)
}

func (d *draft) newAccountDivision(name core.AccountName, active, lost []*Slot) *accountDivision {
	var bound Rate
	if account := d.a.limits.Account(name); account != nil {
		bound.Rate, bound.Burst = limitsOf(account)
	}
	v := &accountDivision{
		rate:   newQuantity(int64(bound.Rate), len(active)),
		burst:  newQuantity(int64(bound.Burst), len(active)),
		demand: make([]float64, len(active)),
	}
	for _, s := range lost {
		v.rate.lost += int64(s.Accounts[name].Held.Rate)
		v.burst.lost += int64(s.Accounts[name].Held.Burst)
	}
	for i, s := range active {
		r := s.Accounts[name]
		v.rate.held[i], v.rate.limit[i] = int64(r.Held.Rate), int64(r.Limit.Rate)
		v.burst.held[i], v.burst.limit[i] = int64(r.Held.Burst), int64(r.Limit.Burst)
		v.demand[i] = d.a.demand.account(s.Instance, name) * MilliPerUnit
	}
	v.floor = d.table.Floors.Rates[name]
	return v
}

// setRateTargets gives each slot the floor, then the rest max-min fair by
// demand. What nobody asks for is headroom: it goes in proportion to demand and
// floor, since a large demand varies more than a small one.
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
	given := maxMin(wanted, rest)
	headroom := proportional(weights, rest-sum(given))
	for i := range given {
		v.rate.target[i] = floor + given[i] + headroom[i]
	}
}

// proportional divides amount by weight, rounded down.
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

// maxMin divides amount over the wanted figures: nobody gets more than wanted,
// and nobody could get more without taking from one that has less.
func maxMin(wanted []int64, amount int64) []int64 {
	order := make([]int, len(wanted))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(min(max(wanted[a]-wanted[b], -1), 1)) })
	given := make([]int64, len(wanted))
	for position, i := range order {
		level := amount / int64(len(order)-position)
		given[i] = min(wanted[i], level)
		amount -= given[i]
	}
	return given
}

// setBurstTargets divides the burst in proportion to the rate targets. A burst
// below one statement admits nothing, so every slot gets one statement first;
// if the burst does not reach that far, slots that have one or have demand go
// before others.
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

// needed tells whether the shares are worth moving: a slot lacks its floor, a
// slot with demand cannot admit anything, one slot is far short of its demand,
// or all together lack a noticeable part of the account's rate.
func (v *accountDivision) needed() bool {
	short := 0.0
	for i, demand := range v.demand {
		limit := float64(v.rate.limit[i])
		if limit < floorTolerance*float64(v.floor.Rate) {
			return true
		}
		if demand > 0 && v.burst.limit[i] < MilliPerUnit && v.burst.target[i] >= MilliPerUnit {
			return true
		}
		lack := min(demand, float64(v.rate.target[i])) - limit
		noise := smoothedNoise * math.Sqrt(demand*MilliPerUnit)
		if lack > slotNoise*noise {
			return true
		}
		short += max(lack-accountNoise*noise, 0)
	}
	return short > shortTolerance*float64(v.rate.bound)
}

// unused tells whether enough is free to be worth a write.
func (v *accountDivision) unused() bool {
	return exceedsTolerance(v.rate) || exceedsTolerance(v.burst)
}

func exceedsTolerance(q *quantity) bool {
	return float64(q.room()) > unusedTolerance*float64(q.bound)
}

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
