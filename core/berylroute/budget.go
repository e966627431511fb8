package berylroute

// This file defines the budgets of retries and of bytes between regions.

import (
	"time"
)

// Budget is a token bucket that refills with time and with earned units.
type Budget struct {
	credit, capacity float64
	perSecond        float64
	last             time.Time
}

// NewBudget returns a full budget of the given capacity that refills by perSecond units a
// second.
func NewBudget(now time.Time, perSecond, capacity float64) *Budget {
	return &Budget{credit: capacity, capacity: capacity, perSecond: perSecond, last: now}
}

func (budget *Budget) refill(now time.Time) {
	if elapsed := now.Sub(budget.last); elapsed > 0 {
		budget.credit = min(budget.credit+elapsed.Seconds()*budget.perSecond, budget.capacity)
		budget.last = now
	}
}

// Earn adds units, as a first attempt does for later retries.
func (budget *Budget) Earn(units float64) { budget.credit = min(budget.credit+units, budget.capacity) }

// Spend takes units if they are available and reports whether it did.
func (budget *Budget) Spend(now time.Time, units float64) bool {
	budget.refill(now)
	if budget.credit < units {
		return false
	}
	budget.credit -= units
	return true
}

// Charge takes units that are already spent; the budget may become negative.
func (budget *Budget) Charge(now time.Time, units float64) {
	budget.refill(now)
	budget.credit -= units
}

// Remaining returns the remaining units.
func (budget *Budget) Remaining(now time.Time) float64 {
	budget.refill(now)
	return budget.credit
}
