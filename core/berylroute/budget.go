package berylroute

// This file defines the budgets of retries and of bytes between regions.

import (
	"time"
)

// Budget is a bucket that refills with time and with earned credit.
type Budget struct {
	level, most float64
	perSecond   float64
	last        time.Time
}

// NewBudget returns a full budget of most units that refills by perSecond.
func NewBudget(now time.Time, perSecond, most float64) *Budget {
	return &Budget{level: most, most: most, perSecond: perSecond, last: now}
}

func (budget *Budget) refill(now time.Time) {
	if elapsed := now.Sub(budget.last); elapsed > 0 {
		budget.level = min(budget.level+elapsed.Seconds()*budget.perSecond, budget.most)
		budget.last = now
	}
}

// Earn adds credit, as a first attempt does for later retries.
func (budget *Budget) Earn(units float64) { budget.level = min(budget.level+units, budget.most) }

// Spend takes units if they are there and says whether it did.
func (budget *Budget) Spend(now time.Time, units float64) bool {
	budget.refill(now)
	if budget.level < units {
		return false
	}
	budget.level -= units
	return true
}

// Charge takes units that are already spent; the level may fall below zero.
func (budget *Budget) Charge(now time.Time, units float64) {
	budget.refill(now)
	budget.level -= units
}

// Left returns the units left.
func (budget *Budget) Left(now time.Time) float64 {
	budget.refill(now)
	return budget.level
}
