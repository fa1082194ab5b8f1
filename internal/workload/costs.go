package workload

import (
	"math/bits"
	"time"
)

// Features are what a host sees of a request before it sends it.
type Features struct {
	Route   string
	Account string // name of the client account, empty if there is none
	Body    int    // bytes
}

// Cost is the estimate for a request and the kind that its response times belong to.
type Cost struct {
	Work time.Duration // median time of an attempt without the wait for own attempts; 0 if unknown
	Kind *Kind
	// Relation is Work in relation to the median over all kinds of the route.
	Relation float64
}

// Kind holds the estimate of one class of requests. Requests are classified by route,
// then by size of the body, then by account.
type Kind struct {
	parent *Kind // the wider class; nil for all requests
	median float64
	total  float64 // requests, weighted
	seen   float64 // requests, weighted, decayed to at
	at     time.Time
}

// Costs estimates the work of requests by kind. It is not safe for concurrent use.
type Costs struct {
	all   *Kind
	kinds map[kindKey]*Kind
}

type kindKey struct {
	route   string
	size    int8   // class of the body's size; -1 for all
	account string // empty for all
}

const (
	// maxKinds bounds the kinds of requests. A kind takes about 150 bytes.
	maxKinds = 8192
	// costGain is the step of a median for one request in proportion to the estimate.
	costGain = 0.04
	// warmGain multiplies the steps of the first warmRequests.
	warmGain     = 4
	warmRequests = 30
	// parentWeight is the weight of the wider class, in requests. An estimate by few
	// observations is close to that of its neighbours.
	parentWeight = 20
	// kindHalfLife is the time in which the observations of a kind lose half of their
	// weight against the wider class.
	kindHalfLife = 30 * time.Second
	// requestWeight is the maximum total weight, in requests, of the sub-requests of
	// one request. They are slow at the same time when this host is busy.
	requestWeight = 4
	// sizeStep is the ratio between classes of body size, as a power of two.
	sizeStep = 2
)

// NewCosts returns costs without observations.
func NewCosts() *Costs { return &Costs{all: &Kind{}, kinds: make(map[kindKey]*Kind)} }

// sizeClass returns the class of a body's size: each one is four times the one before.
func sizeClass(bytes int) int8 { return int8(bits.Len(uint(max(bytes, 0))) / sizeStep) }

// Estimate returns the cost of a request.
func (c *Costs) Estimate(now time.Time, f Features) Cost {
	route := c.kind(kindKey{route: f.Route, size: -1}, c.all)
	kind := c.kind(kindKey{route: f.Route, size: sizeClass(f.Body)}, route)
	if f.Account != "" {
		kind = c.kind(kindKey{route: f.Route, size: sizeClass(f.Body), account: f.Account}, kind)
	}
	work := kind.estimate(now)
	cost := Cost{Work: seconds(work), Kind: kind, Relation: 1}
	if route.median > 0 {
		cost.Relation = work / route.median
	}
	return cost
}

// Lookup returns what Estimate would return, without a kind, and the time of the last
// observation of the narrowest kind that has one, or zero. It changes nothing.
func (c *Costs) Lookup(now time.Time, f Features) (cost Cost, seen time.Time) {
	kind := c.all
	for _, key := range []kindKey{{f.Route, -1, ""}, {f.Route, sizeClass(f.Body), ""}, {f.Route, sizeClass(f.Body), f.Account}} {
		if k := c.kinds[key]; k != nil {
			kind = k
		}
	}
	work := kind.estimate(now)
	cost = Cost{Work: seconds(work), Relation: 1}
	if route := c.kinds[kindKey{f.Route, -1, ""}]; route != nil && route.median > 0 {
		cost.Relation = work / route.median
	}
	for kind.parent != nil && kind.median == 0 {
		kind = kind.parent
	}
	return cost, kind.at
}

// Len returns the number of kinds.
func (c *Costs) Len() int { return len(c.kinds) }

func (c *Costs) kind(key kindKey, parent *Kind) *Kind {
	k := c.kinds[key]
	if k == nil {
		if len(c.kinds) >= maxKinds {
			clear(c.kinds) // kinds are learned again within seconds
		}
		k = &Kind{parent: parent}
		c.kinds[key] = k
	}
	return k
}

// Observe records the time that an attempt of a request with the given number of
// sub-requests took (see Observation.Net). 0 says nothing.
func (k *Kind) Observe(now time.Time, took time.Duration, subRequests int) {
	if took <= 0 {
		return // not known
	}
	weight := min(1, requestWeight/float64(max(subRequests, 1)))
	x := max(took.Seconds(), 1e-4)
	for ; k != nil; k = k.parent {
		k.observe(now, x, weight)
	}
}

func (k *Kind) observe(now time.Time, x, weight float64) {
	if k.median <= 0 {
		k.median = x
	}
	step := costGain * weight * k.median
	if k.total < warmRequests {
		step *= warmGain
	}
	if x > k.median {
		k.median += step / 2
	} else {
		k.median -= step / 2
	}
	k.median = max(k.median, 1e-4)
	k.total += weight
	k.seen, k.at = k.weight(now)+weight, now
}

func (k *Kind) weight(now time.Time) float64 {
	return k.seen * decayFactor(now.Sub(k.at), kindHalfLife)
}

// estimate returns the kind's median in seconds, drawn towards that of the wider class
// by as much as it has few recent observations.
func (k *Kind) estimate(now time.Time) float64 {
	if k.parent == nil || k.parent.parent == nil && k.median > 0 {
		return k.median // routes differ too much to draw one towards the others
	}
	wider := k.parent.estimate(now)
	n := k.weight(now)
	if k.median == 0 {
		return wider
	}
	return (n*k.median + parentWeight*wider) / (n + parentWeight)
}
