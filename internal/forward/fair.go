package forward

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// FairShares divides the admitted share of a route's requests among the accounts that send
// them, so that an account that sends much more than its weight bears the shedding. It is
// not safe for concurrent use.
type FairShares struct {
	accounts map[string]*demand
}

// demand is what an account has sent lately.
type demand struct {
	weight float64
	amount float64 // requests, decayed
	at     time.Time
}

// Parameters of FairShares.
const (
	// demandHalfLife is short against the seconds for which accounts send too much.
	demandHalfLife = time.Second
	// maxDemandAccounts bounds the accounts whose demand is kept. Above it those with the
	// least demand are forgotten.
	maxDemandAccounts = 1024
	// minFairness is the least share of an account's requests that is admitted, relative to
	// the share of all requests.
	minFairness = 0.25
	// minDemand is forgotten.
	minDemand = 0.01
)

// Record records a request of an account.
func (f *FairShares) Record(now time.Time, account string, weight float64) {
	if f.accounts == nil {
		f.accounts = make(map[string]*demand)
	}
	d := f.accounts[account]
	if d == nil {
		if len(f.accounts) >= maxDemandAccounts {
			f.forget(now)
		}
		d = &demand{}
		f.accounts[account] = d
	}
	d.amount, d.at = d.amountAt(now)+1, now
	d.weight = weight
	if weight <= 0 {
		d.weight = 1
	}
}

func (d *demand) amountAt(now time.Time) float64 {
	return d.amount * math.Exp2(-max(now.Sub(d.at), 0).Seconds()/demandHalfLife.Seconds())
}

// forget removes the accounts without demand, or else the one with the least.
func (f *FairShares) forget(now time.Time) {
	least, amount := "", math.Inf(1)
	for name, d := range f.accounts {
		a := d.amountAt(now)
		if a < minDemand {
			delete(f.accounts, name)
		}
		if a < amount || a == amount && name < least {
			least, amount = name, a
		}
	}
	delete(f.accounts, least)
}

// Share returns the share of an account's requests that is admitted if the given share of
// all requests is. The admitted requests of each account are at most a level times its
// weight, the same level for all, so that the accounts below it lose nothing. No account
// gets less than a quarter of the share of all.
func (f *FairShares) Share(now time.Time, account string, share float64) float64 {
	own := f.accounts[account]
	if share >= 1 || own == nil || len(f.accounts) < 2 {
		return share
	}
	type load struct{ amount, weight float64 }
	loads := make([]load, 0, len(f.accounts))
	total, weights := 0.0, 0.0
	for _, d := range f.accounts {
		l := load{d.amountAt(now), d.weight}
		loads = append(loads, l)
		total, weights = total+l.amount, weights+l.weight
	}
	slices.SortFunc(loads, func(a, b load) int { return cmp.Compare(a.amount/a.weight, b.amount/b.weight) })
	room, level := share*total, 0.0
	for _, l := range loads {
		level = room / weights
		if l.amount/l.weight > level {
			break
		}
		room, weights = room-l.amount, weights-l.weight
	}
	amount := own.amountAt(now)
	return min(max(level*own.weight/amount, minFairness*share), 1)
}

// RecoverIn returns the time in which a share of requests that is admitted rises to all of
// them if every answer is in time.
func RecoverIn(share float64) time.Duration {
	steps := math.Ceil(max(1-share, 0) / admissionIncrease)
	return time.Duration(steps) * stepInterval
}
