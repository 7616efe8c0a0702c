package fair

import (
	"math"

	"gypsumcrank/core/clock"
)

// Ledger keeps what each account demands of a service, used or waited for, as a mean
// over the recent past in which older demand counts less. What an account demanded
// beyond its share is its debt, which fades once it demands less.
//
// The mean is rebuilt by a new planner within a few half-lives, so it is not stored.
type Ledger struct {
	HalfLife clock.Millis

	at      clock.Millis
	classes map[Class]map[string]float64
}

// DefaultHalfLife is the time after which past demand counts half.
const DefaultHalfLife = 5 * clock.Second

// forgotten is the share of a service below which an account's demand is dropped.
const forgotten = 1e-4

// Update records what the accounts demand: dominant shares by class and account,
// which count for the time since the last update.
func (l *Ledger) Update(now clock.Millis, demand map[Class]map[string]float64) {
	if l.classes == nil {
		l.classes, l.at = make(map[Class]map[string]float64), now
	}
	keep := math.Exp2(-float64(now-l.at) / float64(l.HalfLife))
	l.at = now
	for class, accounts := range l.classes {
		for account, mean := range accounts {
			if mean*keep < forgotten && demand[class][account] == 0 {
				delete(accounts, account)
				continue
			}
			accounts[account] = keep * mean
		}
	}
	for class, accounts := range demand {
		if l.classes[class] == nil {
			l.classes[class] = make(map[string]float64)
		}
		for account, share := range accounts {
			l.classes[class][account] += (1 - keep) * share
		}
	}
}

// Mean returns the mean demand by account in a class. The caller must not change it.
func (l *Ledger) Mean(class Class) map[string]float64 { return l.classes[class] }

// All returns the mean demand by class and account. The caller must not change it.
func (l *Ledger) All() map[Class]map[string]float64 { return l.classes }
